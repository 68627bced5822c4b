// Model of one service with uneven targets and the gateways that route requests
// to them, without a network. All policies run on the same recorded pattern.
#ifndef TESTS_REQUEST_UNEVEN_MODEL_H_
#define TESTS_REQUEST_UNEVEN_MODEL_H_

#include <algorithm>
#include <array>
#include <functional>
#include <queue>
#include <random>
#include <utility>
#include <vector>

#include "limpethatch/process/clock.h"
#include "limpethatch/request/targets/load_report.h"

namespace limpethatch {

inline constexpr size_t kUnevenTargets = 3;
inline constexpr size_t kUnevenGateways = 60;
inline constexpr uint32_t kUnevenSlots = 6;

inline double InSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

inline Duration OfSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

// Requests and slow phases, drawn once.
struct UnevenPattern {
  struct Request {
    TimePoint sent;
    size_t gateway = 0;
    Duration work{};  // At speed 1 without noise.
  };
  std::array<double, kUnevenTargets> speeds{0.7, 1.1, 1.7};
  std::vector<Request> requests;
  // Starts of the slow phases of each target.
  std::array<std::vector<TimePoint>, kUnevenTargets> slow;

  static constexpr Duration kSlowTime = std::chrono::milliseconds(600);
  static constexpr double kSlowShare = 0.15;
  static constexpr double kSlowFactor = 2.5;

  static UnevenPattern Record(double rate, double seconds, uint64_t seed) {
    UnevenPattern pattern;
    std::mt19937_64 random(seed);
    const TimePoint start(std::chrono::seconds(1000));
    std::exponential_distribution<double> gap(rate);
    // Mean of 25 ms: half constant, half exponential.
    std::exponential_distribution<double> variable_work(1 / 0.0125);
    for (double at = gap(random); at < seconds; at += gap(random)) {
      pattern.requests.push_back({start + OfSeconds(at),
                                  random() % kUnevenGateways,
                                  OfSeconds(0.0125 + variable_work(random))});
    }
    std::exponential_distribution<double> calm(
        kSlowShare / ((1 - kSlowShare) * InSeconds(kSlowTime)));
    for (std::vector<TimePoint>& phases : pattern.slow) {
      for (double at = calm(random); at < seconds + 10;
           at += InSeconds(kSlowTime) + calm(random)) {
        phases.push_back(start + OfSeconds(at));
      }
    }
    return pattern;
  }
};

// A target with a first-come, first-served queue. Calls arrive in the order of
// time.
class UnevenTarget {
 public:
  UnevenTarget(const UnevenPattern& pattern, size_t index)
      : speed_(pattern.speeds[index]), slow_(pattern.slow[index]) {}

  // Returns when the call ends.
  TimePoint Add(Duration work, TimePoint now) {
    const auto slot = std::min_element(slots_.begin(), slots_.end());
    const TimePoint begin = std::max(now, *slot);
    *slot = EndOf(work, begin);
    busy_ += *slot - begin;
    std::erase_if(calls_, [&](const Call& call) { return call.end <= now; });
    calls_.push_back({begin, *slot});
    return *slot;
  }

  LoadReport Report(TimePoint now) const {
    LoadReport report{.slots = kUnevenSlots};
    for (const Call& call : calls_) {
      report.running += call.begin <= now && now < call.end;
      report.waiting += now < call.begin;
    }
    report.pace = IsSlow(now) ? UnevenPattern::kSlowFactor : 1;
    return report;
  }

  Duration busy() const { return busy_; }

 private:
  struct Call {
    TimePoint begin;
    TimePoint end;
  };

  bool IsSlow(TimePoint now) const {
    const auto next = std::upper_bound(slow_.begin(), slow_.end(), now);
    return next != slow_.begin() &&
           now - *std::prev(next) < UnevenPattern::kSlowTime;
  }

  // The next time at which the target becomes slow or stops to be.
  TimePoint NextChange(TimePoint now) const {
    const auto next = std::upper_bound(slow_.begin(), slow_.end(), now);
    if (IsSlow(now)) {
      return *std::prev(next) + UnevenPattern::kSlowTime;
    }
    return next == slow_.end() ? TimePoint::max() : *next;
  }

  TimePoint EndOf(Duration work, TimePoint begin) const {
    double left_s = InSeconds(work);
    TimePoint now = begin;
    while (true) {
      const double rate =
          speed_ / (IsSlow(now) ? UnevenPattern::kSlowFactor : 1);
      const TimePoint change = NextChange(now);
      const double until_change_s =
          change == TimePoint::max() ? 1e9 : InSeconds(change - now);
      if (left_s <= until_change_s * rate) {
        return now + OfSeconds(left_s / rate);
      }
      left_s -= until_change_s * rate;
      now = change;
    }
  }

  const double speed_;
  const std::vector<TimePoint>& slow_;
  std::array<TimePoint, kUnevenSlots> slots_{};
  std::vector<Call> calls_;
  Duration busy_{};
};

// A policy as the model sees it, for all gateways.
struct UnevenPolicy {
  // Chooses a target and records that the request was sent there. `probed` are
  // the targets that were probed just now; empty without probes.
  std::function<size_t(size_t gateway,
                       const std::vector<size_t>& probed,
                       uint64_t random,
                       TimePoint now)>
      send;
  std::function<
      void(size_t gateway, size_t target, const LoadReport&, TimePoint now)>
      on_load = [](size_t, size_t, const LoadReport&, TimePoint) {};
  std::function<
      void(size_t gateway, size_t target, Duration latency, TimePoint now)>
      on_answered;
  size_t probes = 0;  // Targets that are probed before each request.
};

struct UnevenResult {
  Duration p50{};
  Duration p99{};
  double late_share = 0;       // Answered after the objective of 150 ms.
  double busiest_to_mean = 0;  // Of targets, in work time.
  double busiest_share = 0;    // Of requests.
};

inline UnevenResult RunUneven(const UnevenPattern& pattern,
                              const UnevenPolicy& policy) {
  struct Event {
    TimePoint at;
    uint64_t order;
    std::function<void(TimePoint)> run;
    bool operator<(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };
  std::priority_queue<Event> events;
  uint64_t order = 0;
  const auto schedule = [&](TimePoint at, std::function<void(TimePoint)> run) {
    events.push({at, ++order, std::move(run)});
  };
  // One way, within a zone or to another.
  const auto link_time = [](size_t gateway, size_t target) -> Duration {
    return std::chrono::microseconds(gateway % kUnevenTargets == target ? 100
                                                                        : 900);
  };
  std::vector<UnevenTarget> targets;
  for (size_t index = 0; index < kUnevenTargets; ++index) {
    targets.emplace_back(pattern, index);
  }
  std::mt19937_64 random(7);
  std::vector<Duration> latencies;
  std::array<size_t, kUnevenTargets> sent{};

  const auto send = [&](const UnevenPattern::Request& request,
                        const std::vector<size_t>& probed, TimePoint now) {
    const size_t gateway = request.gateway;
    const size_t target = policy.send(gateway, probed, random(), now);
    const Duration link = link_time(gateway, target);
    ++sent[target];
    schedule(now + link, [&, gateway, target, link, now](TimePoint arrived) {
      const TimePoint end = targets[target].Add(request.work, arrived);
      schedule(end, [&, gateway, target, link, now](TimePoint ended) {
        const LoadReport report = targets[target].Report(ended);
        schedule(ended + link, [&, gateway, target, report,
                                now](TimePoint answered) {
          policy.on_load(gateway, target, report, answered);
          policy.on_answered(gateway, target, answered - now, answered);
          latencies.push_back(answered - request.sent);
        });
      });
    });
  };

  for (const UnevenPattern::Request& request : pattern.requests) {
    schedule(request.sent, [&](TimePoint now) {
      if (policy.probes == 0) {
        send(request, {}, now);
        return;
      }
      std::vector<size_t> probed{0, 1, 2};
      std::shuffle(probed.begin(), probed.end(), random);
      probed.resize(policy.probes);
      Duration slowest{};
      for (const size_t target : probed) {
        const Duration link = link_time(request.gateway, target);
        slowest = std::max(slowest, link);
        schedule(now + link, [&, target, link](TimePoint arrived) {
          const LoadReport report = targets[target].Report(arrived);
          schedule(arrived + link, [&, target, report](TimePoint answered) {
            policy.on_load(request.gateway, target, report, answered);
          });
        });
      }
      schedule(now + 2 * slowest,
               [&, probed](TimePoint known) { send(request, probed, known); });
    });
  }
  while (!events.empty()) {
    const Event event = events.top();
    events.pop();
    event.run(event.at);
  }

  UnevenResult result;
  std::sort(latencies.begin(), latencies.end());
  const auto count = static_cast<double>(latencies.size());
  result.p50 = latencies[static_cast<size_t>(count * 0.5)];
  result.p99 = latencies[static_cast<size_t>(count * 0.99)];
  result.late_share =
      static_cast<double>(latencies.end() -
                          std::upper_bound(latencies.begin(), latencies.end(),
                                           std::chrono::milliseconds(150))) /
      count;
  double busy_s = 0;
  double busiest_s = 0;
  for (const UnevenTarget& target : targets) {
    busy_s += InSeconds(target.busy());
    busiest_s = std::max(busiest_s, InSeconds(target.busy()));
  }
  result.busiest_to_mean = busiest_s * kUnevenTargets / busy_s;
  result.busiest_share =
      static_cast<double>(*std::max_element(sent.begin(), sent.end())) / count;
  return result;
}

}  // namespace limpethatch

#endif  // TESTS_REQUEST_UNEVEN_MODEL_H_
