// Estimates when a target would finish a request, from the load that it reports
// and from this instance's own calls.
#ifndef LIMPETHATCH_REQUEST_TARGETS_TARGET_ESTIMATE_H_
#define LIMPETHATCH_REQUEST_TARGETS_TARGET_ESTIMATE_H_

#include <cstddef>
#include <vector>

#include "limpethatch/process/clock.h"
#include "limpethatch/request/targets/load_report.h"

namespace limpethatch {

struct TargetForecast {
  Duration finish{};  // Until a request sent now would be answered.
  // A request sent now would have to wait for a slot.
  bool is_saturated = false;
};

// A fresh report outweighs history; as it ages, the estimate returns to the
// history of its figures. Not thread-safe.
class TargetEstimate {
 public:
  void OnSent(TimePoint now);
  // The figures are bounded first. Returns false if they had to be.
  bool OnLoad(const LoadReport& report, TimePoint now);
  // An answer without the four figures came.
  void OnNoLoad() { lacks_load_ = true; }
  // `latency` is the time since the call's OnSent.
  void OnAnswered(Duration latency, TimePoint now);
  // The call failed or was cancelled, so that the whole latency is unknown.
  void OnAbandoned(Duration latency, TimePoint now);

  // Whether the target's last answer stated the four figures, and whether it
  // did not; both are false before the first answer.
  bool reports_load() const { return reports_ > 0 && !lacks_load_; }
  bool lacks_load() const { return lacks_load_; }
  // Mean duration of a request at the target's usual pace; 0 if unknown.
  Duration typical_work() const;
  // `service_work` is the typical work over the targets of the service, used
  // while little is known of this one.
  TargetForecast Estimate(Duration service_work, TimePoint now) const;
  // How much the history of own calls still counts, 0 to 1.
  double HistoryWeight(TimePoint now) const;
  // Time since the last report.
  Duration ReportAge(TimePoint now) const { return now - reported_at_; }
  // Time since a call began or ended there.
  Duration IdleTime(TimePoint now) const { return now - used_at_; }

  // Requests beyond the target's share of them, as a negative number; see
  // RecordSent.
  double share_credit() const { return share_credit_; }
  void set_share_credit(double credit) { share_credit_ = credit; }

 private:
  void AddWork(Duration latency, TimePoint now);
  void RemoveOutstanding(TimePoint sent_at);
  // Requests there now, of all instances, without the one to be sent.
  double Load(TimePoint now) const;
  double Pace(TimePoint now) const;

  std::vector<TimePoint> sent_at_;  // Of outstanding calls, oldest first.
  bool lacks_load_ = false;
  size_t reports_ = 0;
  LoadReport last_;
  TimePoint reported_at_;
  double last_other_load_ = 0;   // Of other instances, by the last report.
  double usual_other_load_ = 0;  // Moving averages over reports.
  double usual_pace_ = 1;
  double answers_ = 0;  // Weighted by how much each still counts.
  double work_s_ = 0;   // Moving average over calls, at the usual pace.
  TimePoint answered_at_;
  TimePoint used_at_;
  double share_credit_ = 0;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_TARGETS_TARGET_ESTIMATE_H_
