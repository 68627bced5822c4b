// Schedules the calls that score samples.
//
// Their service also serves live requests, and its targets run requests in the
// order of arrival. So calls wait here rather than at a target, take only slots
// that live requests are unlikely to need, and run in the order in which they
// complete the groups that trainers wait for.
#ifndef LIMPETHATCH_REQUEST_REWARD_SCHEDULER_H_
#define LIMPETHATCH_REQUEST_REWARD_SCHEDULER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "limpethatch/process/clock.h"
#include "limpethatch/process/target_rate_limits.h"
#include "limpethatch/request/route_table.h"
#include "limpethatch/request/router.h"
#include "limpethatch/version/job_ledger.h"

namespace limpethatch {

enum class RewardOutcome {
  kScored,  // A score arrived; it is not recorded yet.
  kFailed,  // The target answered with an error of its own.
  kNotRun,  // The target refused the call without running it.
  kBroken,  // No usable answer; the target may have run the call.
};

struct RewardStart {
  SampleKey key;
  std::string sample;  // Its id.
  wire::RewardCall call;
  RoutedTargetPtr target;
  CallTicket ticket;
  uint32_t max_failures = 1;  // Failures that end the sample.
  std::string organisation;   // Of the job; empty: none.
};

struct RewardPlan {
  std::vector<SampleKey> stops;
  std::vector<RewardStart> starts;
};

struct RewardSchedulerOptions {
  // One slot in this many of each target is left to live requests, and at least
  // one, unless the target has a single slot.
  uint32_t slots_per_live_slot = 3;
  // Time for which a target that failed a call does not get it again.
  Duration exclusion_period = std::chrono::seconds(1);
  // Delay before another attempt of a call that a target refused.
  Duration refusal_backoff = std::chrono::milliseconds(60);
  // Delay before another attempt of a call without a usable answer; doubled
  // with each further one up to the maximum.
  Duration initial_backoff = std::chrono::milliseconds(20);
  Duration max_backoff = std::chrono::seconds(2);
};

// The state that a plan depends on.
struct RewardContext {
  const JobLedger& jobs;
  const RouteTable& routes;
  const TargetTable& targets;
  TargetRateLimits& rate_limits;
  // Whether the call may run; false if targets crashed while running it.
  std::function<bool(const wire::RewardCall& call)> may_run;
  std::function<uint64_t()> random;
};

// Not synchronised.
class RewardScheduler {
 public:
  // `zone` is that of this process, whose targets are preferred.
  explicit RewardScheduler(std::string zone,
                           RewardSchedulerOptions options = {});

  // Returns the calls to stop and to start now. The starts count as running
  // until EndCall.
  RewardPlan Plan(const RewardContext& context, TimePoint now);
  void EndCall(const SampleKey& key, RewardOutcome outcome, TimePoint now);
  // Failures of the call that are on record or were reported to EndCall; 0 if
  // the sample does not await its score.
  uint32_t failures(const SampleKey& key) const;
  // Discards all state, for instance after a change of leader.
  void Reset() { calls_.clear(); }

  size_t running() const;

 private:
  struct Call {
    bool running = false;
    bool stopping = false;
    bool ended = false;  // A score or the last failure is being recorded.
    std::string target;  // Of the latest attempt.
    uint32_t failures = 0;
    uint32_t max_failures = 1;
    Duration backoff{};
    TimePoint retry_at;  // No attempt before.
    std::string excluded_target;
    TimePoint excluded_until;
  };
  struct Candidate {
    SampleKey key;
    // Smaller ones go first: groups that nobody waits for last, groups whose
    // text is still being generated before those, earlier jobs first, and those
    // groups first that need the fewest scores.
    bool spare = false;
    bool lacks_text = false;
    size_t job_order = 0;
    uint32_t unscored = 0;
  };

  void PlanStops(const JobLedger& jobs, RewardPlan* plan);
  std::vector<Candidate> Waiting(const JobLedger& jobs, TimePoint now);
  static void RankGroups(const Job& job,
                         size_t job_order,
                         std::vector<Candidate*> candidates);
  // Starts the call if a target may take it now.
  void StartCall(const RewardContext& context,
                 const Candidate& candidate,
                 TimePoint now,
                 RewardPlan* plan);
  RoutedTargetPtr ChooseTarget(const RewardContext& context,
                               const std::string& service,
                               const Call& call,
                               TimePoint now) const;

  const RewardSchedulerOptions options_;
  const Router router_;
  std::map<SampleKey, Call> calls_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_REWARD_SCHEDULER_H_
