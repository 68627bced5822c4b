// One change from its arrival at an instance to its acknowledgement, over a
// simulated control group.
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

#include "limpethatch/connection/internal/control_retry.h"
#include "process/consensus_simulation.h"

#include <criterion/criterion.h>

using namespace std::chrono_literals;

namespace limpethatch {
namespace {

constexpr size_t kFounders = 3;
constexpr size_t kInstances = 6;
constexpr Duration kStep = 5ms;
// As that of control instances.
constexpr Duration kCallTimeout = 900ms;
// Elections, membership changes and snapshots end within this time.
constexpr Duration kSettlingTime = 5s;

// A group whose members may be replaced for good.
class Group {
 public:
  explicit Group(uint64_t seed) : simulation(kInstances, seed, kFounders) {
    simulation.RunUntil(10s, [&] { return simulation.Leader().has_value(); });
  }

  bool IsMember(size_t instance) {
    const std::optional<size_t> leader = simulation.Leader();
    if (!leader) {
      return false;
    }
    const auto& members = simulation.at(*leader).members().members();
    return std::any_of(members.begin(), members.end(), [&](const auto& one) {
      return one.id() == simulation.id(instance);
    });
  }
  std::vector<size_t> Members() {
    std::vector<size_t> members;
    for (size_t i = 0; i < kInstances; ++i) {
      if (IsMember(i)) {
        members.push_back(i);
      }
    }
    return members;
  }
  std::optional<size_t> Find(const std::string& id) const {
    for (size_t i = 0; i < kInstances; ++i) {
      if (simulation.id(i) == id) {
        return i;
      }
    }
    return std::nullopt;
  }

  // A member is gone for good, and an instance that was none takes its place.
  void Replace(size_t choice) {
    const std::vector<size_t> members = Members();
    size_t successor = 0;
    while (successor < kInstances &&
           (IsMember(successor) || !simulation.up(successor))) {
      ++successor;
    }
    if (members.size() != kFounders || successor == kInstances) {
      return;
    }
    const size_t lost = members[choice % members.size()];
    simulation.Crash(lost);
    const auto change = [&](auto propose) {
      simulation.RunUntil(20s, [&] {
        const std::optional<size_t> leader = simulation.Leader();
        return leader &&
               !propose(simulation.at(*leader), simulation.now(*leader));
      });
    };
    change([&](Consensus& leader, TimePoint now) {
      return leader.AddReplica(simulation.id(successor), "", now);
    });
    simulation.RunUntil(20s, [&] {
      return simulation.up(successor) && simulation.at(successor).IsVoter();
    });
    change([&](Consensus& leader, TimePoint now) {
      return leader.RemoveReplica(simulation.id(lost), now);
    });
    // The next loss is tolerated once this one is made up for.
    simulation.RunUntil(20s, [&] {
      const std::optional<size_t> leader = simulation.Leader();
      return leader && simulation.at(*leader).MembersCommitted();
    });
    simulation.Run(kSettlingTime);
  }

  void InjectEvent(uint32_t choice) {
    const std::vector<size_t> members = Members();
    if (members.empty()) {
      simulation.Run(kStep);
      return;
    }
    const size_t member = members[(choice >> 8) % members.size()];
    switch (choice % 6) {
      case 0:
        Replace(choice >> 8);
        break;
      case 1:
        simulation.Compact(member);
        break;
      case 2:
        simulation.Crash(member);
        simulation.Run(std::chrono::milliseconds((choice >> 16) % 2000));
        simulation.Start(member);
        break;
      case 3:
        if (const auto leader = simulation.Leader()) {
          simulation.at(*leader).TransferLeadership(simulation.now(*leader));
        }
        break;
      case 4:
        simulation.SetIsolated(member, true);
        simulation.Run(std::chrono::milliseconds((choice >> 16) % 3000));
        simulation.SetIsolated(member, false);
        break;
      default:
        simulation.Propose();
    }
  }

  // True if the instance, called with a change, has an answer in time.
  bool IsChangeAcknowledged(size_t instance) {
    ControlRetryOptions options;
    options.deadline = time_ + kCallTimeout;
    // The founders are tried in the same order whoever is gone.
    options.order.clear();
    for (size_t i = 0; i < kInstances; ++i) {
      options.order.push_back(i);
    }
    const auto others = std::stable_partition(
        options.order.begin(), options.order.end(),
        [&](size_t other) { return simulation.up(other); });
    options.responsive = static_cast<size_t>(others - options.order.begin());
    ControlRetry retry(options);
    std::vector<std::pair<size_t, std::string>> proposed;
    while (true) {
      for (const auto& [attempt, command] : proposed) {
        if (simulation.acknowledged().contains(command)) {
          retry.OnReply(attempt, ControlReplyOutcome::kOk, {});
        }
      }
      const ControlAction action =
          retry.Next(time_, Find(simulation.at(instance).leader()));
      if (action.kind == ControlAction::Kind::kFinish) {
        return action.certainty == ControlCertainty::kDone;
      }
      if (action.kind == ControlAction::Kind::kSend &&
          simulation.up(action.replica)) {
        Consensus& asked = simulation.at(action.replica);
        const std::optional<size_t> leader = Find(asked.leader());
        if (const auto command = simulation.ProposeAt(action.replica)) {
          proposed.emplace_back(action.attempt, *command);
        } else {
          retry.OnReply(action.attempt,
                        asked.leading() ? ControlReplyOutcome::kUnavailable
                                        : ControlReplyOutcome::kNotLeader,
                        asked.leading() ? std::nullopt : leader);
        }
      }
      simulation.Run(kStep);
      time_ += kStep;
    }
  }

  ConsensusSimulation simulation;

 private:
  TimePoint time_{};
};

}  // namespace

// Members are replaced, restarted, cut off, compact their logs and hand over;
// then, in calm, a change is sent to any member, then to the next.
Test(change_path, a_change_in_calm_is_acknowledged_by_any_member) {
  cr_assert(rc::check([] {
    const auto number = rc::gen::resize(
        rc::kNominalSize, rc::gen::inRange<uint32_t>(0, 1U << 31));
    Group group(*number);
    const auto events =
        *rc::gen::resize(12, rc::gen::container<std::vector<uint32_t>>(number));
    for (const uint32_t event : events) {
      group.InjectEvent(event);
    }
    group.simulation.Run(kSettlingTime);
    const std::vector<size_t> members = group.Members();
    RC_ASSERT(!members.empty());
    for (const size_t member : members) {
      if (group.simulation.up(member)) {
        RC_ASSERT(group.IsChangeAcknowledged(member));
      }
    }
    RC_ASSERT(group.simulation.violation() == "");
  }));
}

}  // namespace limpethatch
