// Hedges of this gateway's live calls, within the limit that the leader of the
// control instances keeps for all gateways together. Without the setting
// `hedging` nothing here is used and no message sent.
#ifndef LIMPETHATCH_PROGRAMS_GATEWAY_HEDGE_PERMITS_H_
#define LIMPETHATCH_PROGRAMS_GATEWAY_HEDGE_PERMITS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limpethatch/connection/control_client.h"
#include "limpethatch/process/metrics_text.h"
#include "limpethatch/request/hedging/hedge_delay.h"
#include "limpethatch/request/hedging/hedge_report.h"
#include "limpethatch/request/hedging/slot_reports.h"
#include "programs/gateway/gateway_settings.h"

namespace limpethatch {

// What an attempt is to its request.
struct AttemptRole {
  enum class Kind { kFirst, kRetry, kHedge };
  Kind kind = Kind::kFirst;
  // The target time that was charged for it, if it is a hedge with a permit.
  Duration charged{};
};

struct AttemptEnd {
  // The target may have worked on it.
  bool may_have_run = false;
  // It was answered, or lasted longer than another attempt that was.
  bool is_latency = false;
  bool is_answer = false;  // It brought the answer for the caller.
  Duration took{};
};

// Not synchronised; used on the gateway's thread only.
class HedgePermits {
 public:
  HedgePermits(boost::asio::io_context& io,
               ControlClient& control_client,
               std::optional<HedgingSettings> settings)
      : io_(io), control_client_(control_client), settings_(settings) {}

  // Whether hedges need a permit.
  bool enabled() const { return settings_.has_value(); }
  // When a request of the route is late, and what a hedge is expected to cost;
  // nullopt if it gets no hedge.
  std::optional<HedgeDelay::Figures> Figures(const std::string& route,
                                             TimePoint now);
  // The same without a change to what is kept.
  std::optional<HedgeDelay::Figures> PeekFigures(const std::string& route,
                                                 TimePoint now) const;
  const SlotReports& slots() const { return slots_; }
  // Adds the ids of the service's targets that have no free slot.
  void ExcludeFullTargets(const TargetTable& targets,
                          std::string_view service,
                          TimePoint now,
                          std::vector<std::string>* excluded);
  // Asks the leader for a permit for a hedge that is expected to take
  // `expected`. Calls `done` once, never within this call.
  void Ask(const std::string& route,
           Duration expected,
           std::function<void(bool granted)> done);

  // Records the load that an answer stated.
  void OnLoad(const RoutedTarget& target,
              std::optional<uint32_t> running,
              std::optional<uint32_t> waiting);
  void OnAttemptEnded(const std::string& route,
                      const AttemptRole& role,
                      const AttemptEnd& end);
  void WriteMetrics(MetricsText* text) const;

 private:
  struct RouteState {
    HedgeDelay delay;
    HedgeReport report;
  };
  enum class Verdict { kGranted, kDenied, kUnanswered };

  Verdict Query(const Yield& yield,
                const std::string& route,
                Duration expected);
  void LogDenied(const std::string& route, Verdict verdict);

  boost::asio::io_context& io_;
  ControlClient& control_client_;
  const std::optional<HedgingSettings> settings_;
  std::map<std::string, RouteState, std::less<>> routes_;
  SlotReports slots_;
  TimePoint pruned_at_;
  TimePoint denial_logged_at_;
  uint64_t denials_unlogged_ = 0;
  uint64_t asked_ = 0;
  uint64_t granted_ = 0;
  uint64_t denied_ = 0;
  uint64_t unanswered_ = 0;
  uint64_t won_ = 0;
  Duration hedge_time_{};
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_GATEWAY_HEDGE_PERMITS_H_
