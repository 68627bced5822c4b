// Measures the cost of the membership protocol per instance, by the number of
// instances.
//
// All instances of a deployment run in this process on a manual clock and
// exchange serialised messages. Prints one JSON object per deployment size, and
// one per figure with the slope of a linear fit over the smaller sizes and its
// extrapolation to the largest deployment.
//
//   bench-membership_cost [seconds]   simulated time per size (default 186,
//   in which the versions change twice)
#include <fmt/format.h>
#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "envelope.pb.h"
#include "limpethatch/process/membership.h"

namespace limpethatch {
namespace {

constexpr int kZones = 7;
constexpr double kTargetsPerInstance = 890.0 / 350;
constexpr double kVersionsPerDay = 930;  // Each is loaded by every target.
constexpr double kRestartsPerDay = 380;  // In a deployment of 350 instances.
constexpr int kLargestInstances = 350;
constexpr double kSecondsPerDay = 86400;
constexpr Duration kWarmUp = std::chrono::seconds(30);
// Size of nng's frame header, and of the TCP and IP headers of a message and
// its acknowledgement.
constexpr size_t kFrameBytes = 8;
constexpr size_t kTcpIpBytes = 52 + 52;

double CpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

double HeapBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

struct Cost {
  int instances = 0;
  double bytes_per_second = 0;       // Per node, sent and received.
  double wire_bytes_per_second = 0;  // Including TCP and IP headers.
  double messages_per_second = 0;    // Per node, sent.
  double cpu_percent = 0;            // Per node, of one core.
  double memory_mb = 0;              // Per node.
  // Serving targets that an instance did not list as serving, summed over
  // instances and seconds. No target fails during the run, so 0 is expected.
  int false_drops = 0;
  // Time until the last instance observes the change, from the announcement of
  // a leaving target and from the last announcement of a vanished one.
  double leaving_seconds = 0;
  double vanished_seconds = 0;
};

class Deployment {
 public:
  Deployment(int instances, double versions_per_day, uint64_t seed)
      : versions_per_day_(versions_per_day),
        restarts_per_day_(kRestartsPerDay * instances / kLargestInstances),
        random_(seed) {
    const double heap_before = HeapBytes();
    for (int i = 0; i < instances; ++i) {
      AddInstance(i);
    }
    const int targets = static_cast<int>(instances * kTargetsPerInstance);
    for (int i = 0; i < targets; ++i) {
      AddTarget(i);
    }
    Run(kWarmUp);
    heap_bytes_per_instance_ = (HeapBytes() - heap_before) / instances;
  }

  Cost Measure(Duration length) {
    sent_bytes_ = 0;
    sent_messages_ = 0;
    excluded_cpu_seconds_ = 0;
    false_drops_ = 0;
    const double cpu_before = CpuSeconds();
    Run(length);
    const double cpu = CpuSeconds() - cpu_before - excluded_cpu_seconds_;
    const double seconds = std::chrono::duration<double>(length).count();
    const double node_seconds =
        seconds * static_cast<double>(instances_.size());
    Cost cost;
    cost.instances = static_cast<int>(instances_.size());
    cost.bytes_per_second = 2 * sent_bytes_ / node_seconds;
    cost.messages_per_second = sent_messages_ / node_seconds;
    cost.wire_bytes_per_second =
        cost.bytes_per_second + 2 * kTcpIpBytes * cost.messages_per_second;
    cost.cpu_percent = 100 * cpu / node_seconds;
    cost.memory_mb = heap_bytes_per_instance_ / 1e6;
    cost.false_drops = false_drops_;
    cost.leaving_seconds = MeasureLeaving();
    cost.vanished_seconds = MeasureVanishing();
    return cost;
  }

 private:
  struct Packet {
    size_t to;
    std::string bytes;
  };

  // Runs until every instance lists `target` in `state` (not at all if `state`
  // is empty), for at most one minute. Returns the seconds since `start`.
  double SecondsUntilAllObserve(const std::string& target,
                                TimePoint start,
                                std::optional<MemberState> state) {
    const auto has_observed = [&](const std::unique_ptr<Membership>& instance) {
      for (const MemberView& view : instance->Members(now_)) {
        if (view.info.id == target) {
          return state == view.state;
        }
      }
      return state == std::nullopt;
    };
    const TimePoint end = now_ + std::chrono::minutes(1);
    while (now_ < end &&
           !std::all_of(instances_.begin(), instances_.end(), has_observed)) {
      Run(Membership::kTickPeriod);
    }
    return std::chrono::duration<double>(now_ - start).count();
  }

  double MeasureLeaving() {
    Announcement& target = targets_.front();
    target.leaving = true;
    ++target.sequence;
    const size_t to = zones_[target.info.zone].front();
    instances_[to]->Announce(target, now_);
    return SecondsUntilAllObserve(target.info.id, now_, MemberState::kLeaving);
  }

  double MeasureVanishing() {
    const Announcement target = targets_.back();
    const size_t position = targets_.size() - 1;
    while (tick_ % 10 != position % 10) {
      Run(Membership::kTickPeriod);
    }
    const TimePoint last_announcement = now_;
    Run(Membership::kTickPeriod);
    targets_.pop_back();
    return SecondsUntilAllObserve(target.info.id, last_announcement,
                                  std::nullopt);
  }

  static std::string Address(int i) {
    return fmt::format("10.20.{}.{}:7400", i / 250, i % 250);
  }

  void AddInstance(int i) {
    const MemberInfo info{.id = fmt::format("entry-{:04}", i),
                          .address = Address(i),
                          .kind = MemberKind::kInstance,
                          .group = "",
                          .zone = fmt::format("zone-{}", i % kZones),
                          .incarnation = 1'760'000'000'000};
    infos_.push_back(info);
    by_address_[info.address] = instances_.size();
    instances_.push_back(nullptr);
    started_.push_back(now_);
    zones_[info.zone].push_back(instances_.size() - 1);
    StartInstance(instances_.size() - 1);
  }

  void StartInstance(size_t index) {
    MembershipOptions options{.self = infos_[index]};
    ++infos_[index].incarnation;
    started_[index] = now_;
    for (int i = 0; i < kZones; ++i) {
      Endpoint seed;
      ParseEndpoint(Address(i), &seed);
      options.seeds.push_back(seed);
    }
    instances_[index] = std::make_unique<Membership>(
        options,
        MarkRules{.merge = [](auto, auto a, auto b) -> std::string {
                    return std::string(std::max(a, b));
                  },
                  .lifetime = [](auto) { return std::chrono::minutes(10); }},
        std::mt19937_64(random_()), now_);
  }

  void AddTarget(int i) {
    Announcement target;
    target.info = {.id = fmt::format("coach-llm-{:04}", i),
                   .address = fmt::format("10.30.{}.{}:80", i / 250, i % 250),
                   .group = "coach-llm",
                   .zone = fmt::format("zone-{}", i % kZones),
                   .slots = 16,
                   .version = 1000,
                   .incarnation = 1'760'000'000'000};
    targets_.push_back(target);
  }

  void Run(Duration length) {
    for (const TimePoint end = now_ + length; now_ < end;
         now_ += Membership::kTickPeriod) {
      ApplyChurn();
      AnnounceTargets();
      for (size_t i = 0; i < instances_.size(); ++i) {
        instances_[i]->Tick(now_);
        EnqueueOutput(i);
      }
      DeliverPackets();
      if (tick_ % 10 == 0) {
        CountFalseDrops();
      }
    }
  }

  // The CPU time spent here is excluded from the measured cost.
  void CountFalseDrops() {
    const double cpu_before = CpuSeconds();
    for (size_t i = 0; i < instances_.size(); ++i) {
      if (now_ - started_[i] < kWarmUp) {
        continue;
      }
      const std::vector<MemberView> views = instances_[i]->Members(now_);
      const auto serving =
          std::count_if(views.begin(), views.end(), [](const MemberView& view) {
            return view.info.kind == MemberKind::kEngine &&
                   view.state == MemberState::kServing;
          });
      false_drops_ +=
          static_cast<int>(targets_.size()) - static_cast<int>(serving);
    }
    excluded_cpu_seconds_ += CpuSeconds() - cpu_before;
  }

  // Returns true once per period at a rate of `per_day` and moves `next` to the
  // next due time.
  bool ConsumeIfDue(double per_day, TimePoint* next) const {
    if (per_day <= 0 || now_ < *next) {
      return false;
    }
    *next = now_ + std::chrono::duration_cast<Duration>(
                       std::chrono::duration<double>(kSecondsPerDay / per_day));
    return true;
  }

  void ApplyChurn() {
    if (ConsumeIfDue(versions_per_day_, &next_version_)) {
      for (Announcement& target : targets_) {
        ++target.info.version;
      }
      instances_[random_() % instances_.size()]->SetManifestVersion(
          ++manifest_version_);
    }
    if (ConsumeIfDue(restarts_per_day_, &next_restart_)) {
      StartInstance(random_() % instances_.size());
    }
  }

  // One tenth of the targets announce themselves at each tick, each to a random
  // instance of its own zone.
  void AnnounceTargets() {
    for (size_t i = tick_++ % 10; i < targets_.size(); i += 10) {
      Announcement& target = targets_[i];
      ++target.sequence;
      target.load = {static_cast<uint32_t>(random_() % 16),
                     static_cast<uint32_t>(random_() % 32),
                     static_cast<uint32_t>(random_() % 100)};
      const std::vector<size_t>& zone_instances = zones_[target.info.zone];
      const size_t to = zone_instances[random_() % zone_instances.size()];
      instances_[to]->Announce(target, now_);
      EnqueueOutput(to);
    }
  }

  void EnqueueOutput(size_t from) {
    for (GossipSend& send : instances_[from]->TakeOutput().sends) {
      wire::Envelope envelope;
      envelope.mutable_gossip()->Swap(&send.message);
      const std::string bytes = envelope.SerializeAsString();
      for (const Endpoint& to : send.to) {
        sent_bytes_ += static_cast<double>(bytes.size() + kFrameBytes);
        ++sent_messages_;
        packets_.push_back({by_address_.at(to.ToString()), bytes});
      }
    }
  }

  void DeliverPackets() {
    while (!packets_.empty()) {
      std::vector<Packet> batch;
      batch.swap(packets_);
      for (const Packet& packet : batch) {
        wire::Envelope envelope;
        envelope.ParseFromString(packet.bytes);
        instances_[packet.to]->Receive(envelope.gossip(), now_);
        EnqueueOutput(packet.to);
      }
    }
  }

  const double versions_per_day_;
  const double restarts_per_day_;
  std::mt19937_64 random_;
  TimePoint now_{std::chrono::hours(1)};
  size_t tick_ = 0;
  uint64_t manifest_version_ = 1;
  std::vector<MemberInfo> infos_;
  std::vector<std::unique_ptr<Membership>> instances_;
  std::vector<Announcement> targets_;
  std::map<std::string, size_t> by_address_;
  std::map<std::string, std::vector<size_t>> zones_;
  std::vector<Packet> packets_;
  double sent_bytes_ = 0;
  double sent_messages_ = 0;
  int false_drops_ = 0;
  std::vector<TimePoint> started_;
  TimePoint next_version_;
  TimePoint next_restart_;
  double excluded_cpu_seconds_ = 0;
  double heap_bytes_per_instance_ = 0;
};

// Fits a line to `points` by least squares; returns its value at `x` and stores
// its slope in `slope`.
double Extrapolate(const std::vector<std::pair<double, double>>& points,
                   double x,
                   double* slope) {
  double mean_x = 0;
  double mean_y = 0;
  for (const auto& [px, py] : points) {
    mean_x += px / static_cast<double>(points.size());
    mean_y += py / static_cast<double>(points.size());
  }
  double covariance = 0;
  double variance = 0;
  for (const auto& [px, py] : points) {
    covariance += (px - mean_x) * (py - mean_y);
    variance += (px - mean_x) * (px - mean_x);
  }
  *slope = covariance / variance;
  return mean_y + *slope * (x - mean_x);
}

void PrintFit(const char* name,
              const std::vector<Cost>& costs,
              double Cost::*figure) {
  std::vector<std::pair<double, double>> points;
  for (const Cost& cost : costs) {
    points.emplace_back(cost.instances, cost.*figure);
  }
  double slope = 0;
  const double extrapolated = Extrapolate(points, kLargestInstances, &slope);
  fmt::print(R"({{"figure":"{}","slope_per_instance":{:.4g},"at_{}":{:.4g}}})"
             "\n",
             name, slope, kLargestInstances, extrapolated);
}

void Print(const char* load, const Cost& cost) {
  fmt::print(
      R"({{"load":"{}","instances":{},"bytes_per_second_per_node":{:.0f},)"
      R"("with_tcp_ip":{:.0f},"messages_sent_per_second":{:.1f},)"
      R"("cpu_percent_per_node":{:.4f},"memory_mb_per_node":{:.3f},"false_drops":{},)"
      R"("leaving_s":{:.1f},"vanished_s":{:.1f}}})"
      "\n",
      load, cost.instances, cost.bytes_per_second, cost.wire_bytes_per_second,
      cost.messages_per_second, cost.cpu_percent, cost.memory_mb,
      cost.false_drops, cost.leaving_seconds, cost.vanished_seconds);
  std::fflush(stdout);
}

}  // namespace
}  // namespace limpethatch

int main(int argc, char** argv) {
  using namespace limpethatch;
  const std::chrono::seconds length(argc > 1 ? std::atoi(argv[1]) : 186);
  std::vector<Cost> costs;
  for (const int instances : {20, 60, 120}) {
    costs.push_back(Deployment(instances, kVersionsPerDay, 1).Measure(length));
    Print("changes", costs.back());
  }
  PrintFit("bytes_per_second_per_node", costs, &Cost::bytes_per_second);
  PrintFit("with_tcp_ip", costs, &Cost::wire_bytes_per_second);
  PrintFit("cpu_percent_per_node", costs, &Cost::cpu_percent);
  PrintFit("memory_mb_per_node", costs, &Cost::memory_mb);
  Print("changes",
        Deployment(kLargestInstances, kVersionsPerDay, 1).Measure(length));
}
