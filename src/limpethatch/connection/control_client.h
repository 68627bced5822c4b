// Client for an entry instance's requests to the control group.
//
// A command that gets no answer is sent again, possibly to another replica.
// This is safe because the ledgers make each command idempotent for its sender:
//   ManifestApply   A known change id returns the outcome of its first use.
//   ClaimOpen       The holder of a claim is granted the same attempt again. A
//                   holder therefore has at most one call open for each key.
//   ClaimAnswer, ClaimRelease, ClaimAbandon
//                   They name holder and attempt; repeating them has no effect.
//   StepOpen        Steps with the same digest are the same step.
//   SampleTake      A repeated pull is the same pull. Attempts assigned in an
//                   answer that was lost end with the next pull that lists all
//                   attempts known to the holder (`all_listed`).
//   SampleRecord, SampleReturn
//                   They name the epoch of the attempt.
//   StepFetch       It names what the trainer already has, which only grows.
//   VersionPublish  The version only increases.
//   HolderGone      A holder is one incarnation, and does not return.
#ifndef LIMPETHATCH_CONNECTION_CONTROL_CLIENT_H_
#define LIMPETHATCH_CONNECTION_CONTROL_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "control.pb.h"
#include "limpethatch/connection/internal/control_retry.h"
#include "limpethatch/connection/messenger.h"
#include "limpethatch/connection/yield.h"
#include "limpethatch/process/clock.h"
#include "limpethatch/process/endpoint.h"
#include "limpethatch/process/result.h"
#include "limpethatch/process/timer_service.h"

namespace limpethatch {

struct ControlClientOptions {
  std::string instance;
  std::string zone;
  uint64_t incarnation = 0;
  Endpoint reply_to;  // The endpoint this process's messenger listens on.
  // Must not be empty. AddReplica adds further ones.
  std::vector<Endpoint> replicas = {};
  Duration attempt_timeout = std::chrono::milliseconds(300);
  Duration round_pause = std::chrono::milliseconds(100);
  Duration hello_period = std::chrono::seconds(1);
  // The leader as far as this process knows by other means, such as a replica
  // of its own. Called on the executors of calls; may be empty.
  std::function<std::optional<Endpoint>()> known_leader = {};
};

struct ControlOutcome {
  ControlCertainty certainty = ControlCertainty::kNotDone;
  wire::CommandResult result;  // Valid if certainty is kDone.
};

// The latest reply of the control group to a hello.
struct ControlNews {
  wire::HelloReply reply;
  TimePoint received_at;
};

// One sending of a request to one replica.
struct ControlAttempt {
  Endpoint replica;
  // Its reply; nullopt if none came while the call lasted.
  std::optional<ControlReplyOutcome> outcome;
};

// "ENDPOINT OUTCOME, ..." in the order of the attempts, for log lines.
std::string Describe(const std::vector<ControlAttempt>& attempts);

// Thread-safe. The messenger must outlive the client.
class ControlClient {
 public:
  ControlClient(boost::asio::io_context& io,
                Messenger& messenger,
                ControlClientOptions options);
  // Calls in progress continue and end at their deadlines at the latest.
  ~ControlClient();

  // Sends `command` to the group and waits for its result until `deadline` at
  // the latest.
  ControlOutcome Call(Yield yield,
                      const wire::Command& command,
                      TimePoint deadline);

  // Returns the current manifest if its version is greater than `newer_than`.
  // Error: std::errc::timed_out.
  Result<wire::ManifestReply> FetchManifest(Yield yield,
                                            uint64_t newer_than,
                                            TimePoint deadline);

  // Error: std::errc::timed_out.
  Result<wire::StatusReply> Status(Yield yield, TimePoint deadline);

  // Returns the accepted manifests that the group retains.
  // Error: std::errc::timed_out.
  Result<wire::HistoryReply> History(Yield yield, TimePoint deadline);

  // Returns the burn rates of the error budgets as measured by the leader.
  // Error: std::errc::timed_out.
  Result<wire::BurnReply> Burn(Yield yield, TimePoint deadline);

  // Adds a replica that requests may be sent to. Known ones are ignored.
  void AddReplica(const Endpoint& replica);
  // Records that a replica was heard from otherwise than by a reply. Those that
  // were heard from recently are asked before the others.
  void RecordContact(const Endpoint& replica, TimePoint now);

  // Sends the request to the leader and waits for its answer, which is valid if
  // its certainty is kDone. `extra_timeout` is added to the time limit of each
  // attempt, for requests that the leader may hold before it answers (long
  // polling).
  struct Answer {
    ControlCertainty certainty = ControlCertainty::kNotDone;
    wire::ControlReply reply;  // Valid if certainty is kDone.
    std::vector<ControlAttempt> attempts;
  };
  Answer SendRequest(Yield yield,
                     wire::ControlRequest request,
                     TimePoint deadline,
                     Duration extra_timeout = {});

  // Handles a reply received by the messenger. If no call waits for it, only
  // the leader that it names is added to the replicas.
  void OnReply(const wire::ControlReply& reply);

  // Sends a hello every `hello_period`, whose content `fill` sets.
  void StartHello(TimerService& timers,
                  std::function<void(wire::Hello& hello)> fill);

  // The incarnation that requests carry. It is replaced by a new one once the
  // group has declared it gone, for example after a long network partition.
  uint64_t incarnation() const;

  // Starts a new incarnation if `gone_incarnation` is still the current one.
  void RenewIncarnation(uint64_t gone_incarnation);

  // The newest reply to a hello, or nullopt before the first one.
  std::optional<ControlNews> news() const;

 private:
  class Calls;

  std::shared_ptr<Calls> calls_;
  boost::asio::io_context& io_;
  const Duration hello_period_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_CONTROL_CLIENT_H_
