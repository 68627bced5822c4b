// An entry instance's calls to the control group.
//
// A command that was sent and not answered is sent again, also to another
// replica. That is harmless because the ledgers make each command idempotent
// for its sender:
//   ManifestApply   a change id that was seen returns its first outcome;
//   ClaimOpen       the holder of a claim is granted the same attempt again,
//                   so a holder has one call at a time open for one key;
//   ClaimAnswer, ClaimRelease, ClaimAbandon
//                   name holder and attempt, and do nothing a second time;
//   StepOpen        a step with the same digest is the same step;
//   SampleTake      a pull that is repeated is the same pull, and attempts that
//                   a lost answer assigned end with the next full list;
//   SampleRecord, SampleReturn
//                   name the epoch of the attempt;
//   StepFetch       names what the trainer has, which only grows;
//   VersionPublish  the version only grows;
//   HolderGone      a holder is an incarnation, gone once and for all.
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
  Endpoint reply_to;  // Where this process's messenger listens.
  std::vector<Endpoint> replicas = {};  // At least one; more may be added.
  Duration attempt_timeout = std::chrono::milliseconds(300);
  Duration round_pause = std::chrono::milliseconds(100);
  Duration hello_period = std::chrono::seconds(1);
};

struct ControlOutcome {
  ControlCertainty certainty = ControlCertainty::kNotApplied;
  wire::CommandResult result;  // Set if certainty is kDone.
};

// What the control group said last.
struct ControlNews {
  wire::HelloReply reply;
  TimePoint received_at;
};

// Safe from any thread. The messenger must outlive it.
class ControlClient {
 public:
  ControlClient(boost::asio::io_context& io,
                Messenger& messenger,
                ControlClientOptions options);
  // Open calls end by themselves at their deadlines.
  ~ControlClient();

  // Has the group apply `command` and waits for its result, at most until
  // `deadline`.
  ControlOutcome Call(Yield yield,
                      const wire::Command& command,
                      TimePoint deadline);

  // The current manifest if it is newer than `newer_than`.
  // Error: std::errc::timed_out.
  Result<wire::ManifestReply> FetchManifest(Yield yield,
                                            uint64_t newer_than,
                                            TimePoint deadline);

  // Error: std::errc::timed_out.
  Result<wire::StatusReply> Status(Yield yield, TimePoint deadline);

  // The accepted manifests that are kept. Error: std::errc::timed_out.
  Result<wire::HistoryReply> History(Yield yield, TimePoint deadline);

  // How fast error budgets burn, as the leader counts. Error:
  // std::errc::timed_out.
  Result<wire::BurnReply> Burn(Yield yield, TimePoint deadline);

  // Another replica that may be asked; known ones are ignored.
  void AddReplica(const Endpoint& replica);

  // Sends the request to the leader and waits for its answer. `patience` is
  // added to the time that one try may take, for requests that the leader
  // holds back. Error: std::errc::timed_out if nothing was done or may have
  // been.
  struct Answer {
    ControlCertainty certainty = ControlCertainty::kNotApplied;
    wire::ControlReply reply;  // Set if certainty is kDone.
  };
  Answer SendRequest(Yield yield,
                     wire::ControlRequest request,
                     TimePoint deadline,
                     Duration extra_timeout = {});

  // Takes in a reply from the messenger; replies to nothing are ignored.
  void OnReply(const wire::ControlReply& reply);

  // Says hello each period from now on, with what `fill` puts into it.
  void StartHello(TimerService& timers,
                  std::function<void(wire::Hello& hello)> fill);

  // The incarnation that calls are made under. One that the group has
  // declared gone, as after a long cut, is followed by a new one.
  uint64_t incarnation() const;

  // Takes a new incarnation if `gone` is still the present one.
  void RenewIncarnation(uint64_t gone_incarnation);

  // The newest reply to a hello; nothing before the first.
  std::optional<ControlNews> news() const;

 private:
  class Calls;

  std::shared_ptr<Calls> calls_;
  boost::asio::io_context& io_;
  const Duration hello_period_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_CONTROL_CLIENT_H_
