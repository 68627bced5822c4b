// What the leader is told about the runs of samples and of the calls that score
// them.
#ifndef LIMPETHATCH_PROGRAMS_CONTROL_RUN_LISTENER_H_
#define LIMPETHATCH_PROGRAMS_CONTROL_RUN_LISTENER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "fleet.pb.h"
#include "limpethatch/request/unfinished_runs.h"

namespace limpethatch {

struct RunListener {
  // Proposes a command to the log; false if that is not possible now.
  std::function<bool(const wire::SamplesAdvance& advances)> record_advances;
  // A run ended, so that the schedulers have to plan again.
  std::function<void()> replan;
  // A target answered, with or without a rate limit in requests per second.
  std::function<void(const std::string& target,
                     uint64_t incarnation,
                     std::optional<double> rate_limit)>
      on_answer;
  // A target said in an answer that it is leaving.
  std::function<void(const std::string& target, uint64_t incarnation)>
      on_leaving;
  // A run ended without a complete answer, after its request was sent.
  std::function<void(const UnfinishedRun& run, bool connection_lost)>
      on_unfinished;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_CONTROL_RUN_LISTENER_H_
