// Simulation of instances and targets in several zones, on a network that
// drops, delays and duplicates messages, with simulated time. Include before
// Criterion.
#ifndef LIMPETHATCH_TESTS_PROCESS_GOSSIP_SIMULATION_H_
#define LIMPETHATCH_TESTS_PROCESS_GOSSIP_SIMULATION_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "limpethatch/process/membership.h"

namespace limpethatch {

class GossipSimulation {
 public:
  struct Instance {
    MemberInfo info;
    std::unique_ptr<Membership> membership;  // Null while it is down.
  };
  struct Target {
    Announcement announcement;
    bool up = true;
    TimePoint next;
  };

  GossipSimulation(int zones, int instances, int targets, uint64_t seed)
      : random_(seed) {
    for (int i = 0; i < instances; ++i) {
      const MemberInfo info{.id = "entry-" + std::to_string(i),
                            .address = "10.0.0." + std::to_string(i) + ":70",
                            .kind = MemberKind::kInstance,
                            .group = "",
                            .zone = Zone(i % zones)};
      instances_[info.id] = {info, nullptr};
      Start(info.id);
    }
    for (int i = 0; i < targets; ++i) {
      AddTarget("target-" + std::to_string(i), Zone(i % zones));
    }
  }

  static std::string Zone(int i) { return "zone-" + std::to_string(i); }

  void AddTarget(const std::string& id, const std::string& zone) {
    Target& target = targets_[id];
    target.announcement.info = {.id = id,
                                .address = id + ":80",
                                .kind = MemberKind::kEngine,
                                .group = "pool",
                                .zone = zone,
                                .slots = 8,
                                .version = 1,
                                .incarnation = 1};
    target.next = now_ + Duration(random_() % 1'000'000'000);
  }

  // Starts or restarts an instance that knows only its seeds.
  void Start(const std::string& id) {
    Instance& instance = instances_.at(id);
    ++instance.info.incarnation;
    instance.membership = std::make_unique<Membership>(
        MembershipOptions{
            .self = instance.info,
            .seeds = {{"10.0.0.0", 70}, {"10.0.0.1", 70}, {"10.0.0.2", 70}}},
        MarkRules{.merge = [](auto, auto a, auto b) -> std::string {
                    return std::string(std::max(a, b));
                  },
                  .lifetime = [](auto) { return std::chrono::minutes(10); }},
        std::mt19937_64(random_()), now_);
  }

  void Restart(Target& target, uint64_t version) {
    target.up = true;
    ++target.announcement.info.incarnation;
    target.announcement.info.version = version;
    target.announcement.sequence = 0;
    target.announcement.leaving = false;
    target.next = now_;
  }

  void Leave(Target& target) {
    target.announcement.leaving = true;
    target.next = now_;
  }

  // Runs for `length` and calls `check` after each tick.
  void Run(
      Duration length,
      const std::function<void()>& check = [] {}) {
    for (const TimePoint end = now_ + length; now_ < end; now_ += kStep) {
      Deliver();
      AnnounceTargets();
      for (auto& [id, instance] : instances_) {
        if (instance.membership) {
          instance.membership->Tick(now_);
          Send(instance);
        }
      }
      check();
    }
  }

  // Returns one instance's view of a member; nullopt if it is not listed.
  std::optional<MemberView> View(const std::string& instance,
                                 const std::string& member) const {
    for (MemberView& view : instances_.at(instance).membership->Members(now_)) {
      if (view.info.id == member) {
        return view;
      }
    }
    return std::nullopt;
  }

  // Returns true if `holds` is true for every running instance in `zone`, or in
  // all zones if `zone` is empty.
  bool OnAllInstances(
      const std::function<bool(const std::string& instance)>& holds,
      const std::string& zone = "") const {
    return std::all_of(
        instances_.begin(), instances_.end(), [&](const auto& entry) {
          const auto& [id, instance] = entry;
          return !instance.membership ||
                 (!zone.empty() && instance.info.zone != zone) || holds(id);
        });
  }

  // Returns true if every running instance lists exactly the members that are
  // up, in their current states.
  bool Converged() const {
    return OnAllInstances([&](const std::string& id) {
      std::map<std::string, std::tuple<uint64_t, uint64_t, MemberState>> want,
          have;
      for (const auto& [name, target] : targets_) {
        const auto& [info, sequence, leaving, load] = target.announcement;
        if (target.up) {
          want[name] = {
              info.incarnation, info.version,
              leaving ? MemberState::kLeaving : MemberState::kServing};
        }
      }
      for (const auto& [name, instance] : instances_) {
        if (instance.membership && name != id) {
          want[name] = {instance.info.incarnation, 0, MemberState::kServing};
        }
      }
      for (const MemberView& view :
           instances_.at(id).membership->Members(now_)) {
        have[view.info.id] = {view.info.incarnation, view.info.version,
                              view.state};
      }
      return want == have;
    });
  }

  TimePoint now() const { return now_; }
  std::map<std::string, Instance>& instances() { return instances_; }
  std::map<std::string, Target>& targets() { return targets_; }

  double loss = 0;
  double duplication = 0;
  Duration max_delay = std::chrono::milliseconds(5);
  std::set<std::string> isolated_zones;  // Each is partitioned from all others.
  // Connections that drop all messages until reopened, as pairs of addresses.
  std::set<std::pair<std::string, std::string>> silent_connections;

 private:
  static constexpr Duration kStep = Membership::kTickPeriod;

  struct Packet {
    TimePoint due;
    std::string to;  // Address.
    std::string from_zone;
    std::shared_ptr<const wire::GossipMessage> message;
    bool operator<(const Packet& other) const { return due > other.due; }
  };

  bool Chance(double probability) {
    return std::uniform_real_distribution<>()(random_) < probability;
  }

  void Send(const Instance& from) {
    MembershipOutput output = from.membership->TakeOutput();
    for (const Endpoint& peer : output.unresponsive_peers) {
      silent_connections.erase({from.info.address, peer.ToString()});
    }
    for (GossipSend& send : output.sends) {
      const auto message =
          std::make_shared<wire::GossipMessage>(std::move(send.message));
      for (const Endpoint& to : send.to) {
        for (int copies = Chance(duplication) ? 2 : 1; copies > 0; --copies) {
          if (!Chance(loss) && !silent_connections.contains(
                                   {from.info.address, to.ToString()})) {
            const Duration delay(random_() % max_delay.count());
            packets_.push(
                {now_ + delay, to.ToString(), from.info.zone, message});
          }
        }
      }
    }
  }

  void Deliver() {
    while (!packets_.empty() && packets_.top().due <= now_) {
      const Packet packet = packets_.top();
      packets_.pop();
      for (auto& [id, instance] : instances_) {
        const std::string& zone = instance.info.zone;
        const bool cut = zone != packet.from_zone &&
                         (isolated_zones.contains(zone) ||
                          isolated_zones.contains(packet.from_zone));
        if (instance.membership && instance.info.address == packet.to && !cut) {
          instance.membership->Receive(*packet.message, packet.due);
          Send(instance);
        }
      }
    }
  }

  // Each target announces itself to a random instance of its zone.
  void AnnounceTargets() {
    for (auto& [id, target] : targets_) {
      if (!target.up || target.next > now_) {
        continue;
      }
      target.next = now_ + std::chrono::seconds(1);
      ++target.announcement.sequence;
      std::vector<Membership*> choices;
      for (auto& [name, instance] : instances_) {
        if (instance.membership &&
            instance.info.zone == target.announcement.info.zone) {
          choices.push_back(instance.membership.get());
        }
      }
      if (!choices.empty()) {
        choices[random_() % choices.size()]->Announce(target.announcement,
                                                      now_);
      }
    }
  }

  std::mt19937_64 random_;
  TimePoint now_{std::chrono::hours(1)};
  std::map<std::string, Instance> instances_;
  std::map<std::string, Target> targets_;
  std::priority_queue<Packet> packets_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_TESTS_PROCESS_GOSSIP_SIMULATION_H_
