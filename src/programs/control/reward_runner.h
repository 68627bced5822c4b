// Runs the calls that score samples and records their scores. Used by the
// leader, on the thread of one io_context.
#ifndef LIMPETHATCH_PROGRAMS_CONTROL_REWARD_RUNNER_H_
#define LIMPETHATCH_PROGRAMS_CONTROL_REWARD_RUNNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "limpethatch/connection/http_client.h"
#include "limpethatch/process/latency_histogram.h"
#include "limpethatch/process/timer_service.h"
#include "limpethatch/request/reward_scheduler.h"
#include "platform/reward_codec.h"
#include "programs/control/run_listener.h"

namespace limpethatch {

class RewardRunner {
 public:
  // The load that a target stated in an answer.
  using LoadObserver = std::function<
      void(const std::string& target, uint32_t running, uint32_t waiting)>;

  RewardRunner(boost::asio::io_context& io,
               TimerService& timers,
               RewardScheduler& scheduler,
               RunListener listener,
               LoadObserver on_load);

  void Start(RewardStart start);
  void Stop(const SampleKey& key);
  // Cancels all calls and discards what is not recorded yet.
  void Reset();

  // Counters since the start of the process, for metrics.
  struct Counters {
    uint64_t sent = 0;
    uint64_t scored = 0;
    uint64_t failed = 0;
    uint64_t not_run = 0;
    uint64_t broken = 0;
    uint64_t stopped = 0;
    uint64_t given_up = 0;  // Samples that ended because their calls failed.
  };
  const Counters& counters() const { return counters_; }
  // Of the calls that brought a score.
  const LatencyHistogram& latency() const { return latency_; }

 private:
  struct Call {
    explicit Call(RewardStart call_start) : start(std::move(call_start)) {}

    RewardStart start;
    std::shared_ptr<HttpCancelToken> cancel =
        std::make_shared<HttpCancelToken>();
    bool stopped = false;
    TimePoint started_at;
    std::string score;
    std::string reason;  // Why there is no score, for the log line.
  };
  using CallPtr = std::shared_ptr<Call>;

  void Run(Yield yield, const CallPtr& call);
  RewardOutcome CallTarget(Yield yield, Call& call);
  // Evaluates the head of an answer; sets the score, which is valid once the
  // body is complete.
  RewardOutcome OnHead(const platform::RewardHead& head, Call& call);
  void ReportUnfinished(const Call& call,
                        const HttpRequest& request,
                        std::error_code error);
  void End(Call& call, RewardOutcome outcome);
  // Adds the end of the call to what is recorded next.
  void Record(const Call& call, RewardOutcome outcome);
  void ScheduleFlush();
  void Flush();

  boost::asio::io_context& io_;
  TimerService& timers_;
  RewardScheduler& scheduler_;
  RunListener listener_;
  LoadObserver on_load_;
  HttpClient client_;
  uint64_t generation_ = 0;  // Increases with each Reset.
  std::map<SampleKey, CallPtr> calls_;
  wire::SamplesAdvance unrecorded_;
  bool flush_scheduled_ = false;
  Counters counters_;
  LatencyHistogram latency_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_CONTROL_REWARD_RUNNER_H_
