// The label of a sample: which weight version generated which of its tokens.
#ifndef LIMPETHATCH_VERSION_SAMPLE_LABEL_H_
#define LIMPETHATCH_VERSION_SAMPLE_LABEL_H_

#include <cstdint>

#include "ledger.pb.h"

namespace limpethatch {

using VersionRanges = google::protobuf::RepeatedPtrField<wire::VersionRange>;

// Whether the ranges cover the tokens [0, `tokens`) in order, without gaps or
// overlaps, and there is at least one token.
bool RangesCover(const VersionRanges& ranges, uint32_t tokens);

// The oldest version in `ranges`, which must not be empty.
uint64_t OldestVersion(const VersionRanges& ranges);

// Whether the record's ranges cover its tokens and its digest matches its text.
bool IsValidRecord(const wire::SampleRecord& record);

// Whether `version` is at most `max_staleness` versions older than
// `at_version`.
constexpr bool WithinStalenessBound(uint64_t version,
                                    uint64_t max_staleness,
                                    uint64_t at_version) {
  return version >= at_version || at_version - version <= max_staleness;
}

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_SAMPLE_LABEL_H_
