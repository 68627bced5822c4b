// Formats of the commands in the replicated log.
//
// A replica of an earlier build ignores what it does not know, so that its
// state would differ from then on. A format is therefore used only once all
// members of the group apply it, which the log itself records.
#ifndef LIMPETHATCH_VERSION_LOG_FORMAT_H_
#define LIMPETHATCH_VERSION_LOG_FORMAT_H_

#include <cstdint>

namespace limpethatch {

// Values are stored: they are only ever added, in ascending order.
enum class LogFormat : uint32_t {
  kBase = 0,
  kScoredSamples = 1,      // Samples with reward calls, and their scores.
  kEndsOfUnknownJobs = 2,  // The end of a job that was not submitted yet.
  kOrganisations = 3,      // Jobs of organisations, duties, usage records.
};

inline constexpr LogFormat kNewestLogFormat = LogFormat::kOrganisations;

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_LOG_FORMAT_H_
