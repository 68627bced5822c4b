// The label of a sample: which weight versions made which of its tokens.
#ifndef LIMPETHATCH_VERSION_SAMPLE_LABEL_H_
#define LIMPETHATCH_VERSION_SAMPLE_LABEL_H_

#include <cstdint>

#include "ledger.pb.h"

namespace limpethatch {

using VersionRanges = google::protobuf::RepeatedPtrField<wire::VersionRange>;

// Whether the ranges cover tokens 0 to `tokens` in order, without a gap or an
// overlap, and there is at least one token.
bool RangesCover(const VersionRanges& ranges, uint32_t tokens);

// The oldest version named; `ranges` is not empty.
uint64_t OldestVersion(const VersionRanges& ranges);

// Whether a record is whole: its ranges cover its tokens and its digest is
// that of its text.
bool IsValidRecord(const wire::SampleRecord& record);

// Whether tokens of `version` are within `max_staleness` versions of
// `at_version`.
constexpr bool WithinStalenessBound(uint64_t version,
                                    uint64_t max_staleness,
                                    uint64_t at_version) {
  return version >= at_version || at_version - version <= max_staleness;
}

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_SAMPLE_LABEL_H_
