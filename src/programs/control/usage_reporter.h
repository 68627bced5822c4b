// Records the requests of organisations and reports them to the platform, while
// this instance leads and holds the duty "usage".
#ifndef LIMPETHATCH_PROGRAMS_CONTROL_USAGE_REPORTER_H_
#define LIMPETHATCH_PROGRAMS_CONTROL_USAGE_REPORTER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "ledger.pb.h"
#include "limpethatch/connection/http_client.h"
#include "limpethatch/process/duties/duty_lease.h"
#include "limpethatch/process/wall_clock.h"
#include "limpethatch/version/fleet_ledger.h"
#include "limpethatch/version/usage/usage_recorder.h"
#include "limpethatch/version/usage/usage_report_queue.h"
#include "platform/duty_codec.h"
#include "programs/control/control_settings.h"

namespace limpethatch {

// Must be used on the thread of the io_context only.
class UsageReporter {
 public:
  struct Host {
    std::function<DutyLeadership(TimePoint now)> leadership;
    std::function<const FleetLedger&()> ledger;
    // Proposes a command; false if that is not possible now.
    std::function<bool(const wire::Command& command)> propose;
  };

  // `name` is the name of this instance in calls.
  UsageReporter(boost::asio::io_context& io,
                const DutySettings& settings,
                std::string name,
                DutyLeaseOptions lease,
                const WallClock& wall_clock,
                Host host);

  void OnLeadershipChange();
  // Claims the duty, records windows and starts calls, as far as each is due.
  void Run(TimePoint now);
  // Takes the counts of a gateway; nullopt if they cannot be stored.
  std::optional<wire::UsageCountsReply> Receive(
      const wire::UsageCounts& counts);

  // Whether this instance may act as the holder now.
  bool holds_duty() const { return holds_duty_; }
  uint64_t windows_reported() const { return windows_reported_; }

 private:
  // The token of a call that is made now; nullopt if none may be made.
  std::optional<uint64_t> Token(TimePoint now);
  void Claim(TimePoint now, const DutyLeadership& leadership);
  void Record(TimePoint now, const DutyLeadership& leadership);
  bool Propose(const wire::UsageRecord& record);
  void StartReport(TimePoint now);
  void Report(Yield yield);
  void TrackHolding(const std::optional<uint64_t>& token);

  boost::asio::io_context& io_;
  const DutySettings settings_;
  const std::string name_;
  const WallClock& wall_clock_;
  const Host host_;
  HttpClient client_;
  DutyLease lease_;
  UsageRecorder recorder_;
  UsageReportQueue queue_;
  // Proposals are repeated after these times if they have not been applied.
  TimePoint next_claim_at_;
  TimePoint next_settled_at_;
  // The window that was last proposed, and whether as the first one.
  std::optional<std::pair<uint64_t, bool>> proposed_window_;
  TimePoint window_proposed_at_;
  bool calling_ = false;
  bool holds_duty_ = false;
  uint64_t windows_reported_ = 0;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_CONTROL_USAGE_REPORTER_H_
