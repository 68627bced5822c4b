#include <rapidcheck.h>

#include "process/gossip_simulation.h"

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace limpethatch;

namespace {

// A large deployment: 21 instances and 24 targets in three zones.
GossipSimulation StartLargeDeployment(uint64_t seed) {
  GossipSimulation simulation(3, 21, 24, seed);
  simulation.loss = 0.1;
  simulation.duplication = 0.1;
  simulation.max_delay = 300ms;
  simulation.Run(8s);
  return simulation;
}

// One target leaves, one crashes and the others stay. Returns the violated
// requirement, or an empty string.
std::string LeaveAndCrash(uint64_t seed) {
  GossipSimulation simulation = StartLargeDeployment(seed);
  const auto leaves = simulation.targets().begin();
  const auto crashes = std::next(leaves);
  const auto stays = std::next(crashes);
  simulation.Leave(leaves->second);
  const auto last_announcement = crashes->second.next - 1s;
  crashes->second.up = false;
  const auto start = simulation.now();
  std::string fault;
  simulation.Run(6s, [&] {
    const auto all_see = [&](const auto& target,
                             std::optional<MemberState> state) {
      return simulation.OnAllInstances([&](const auto& id) {
        const auto view = simulation.View(id, target->first);
        return (view ? std::optional(view->state) : std::nullopt) == state;
      });
    };
    if (simulation.now() >= start + 2s &&
        !all_see(leaves, MemberState::kLeaving)) {
      fault = "a leaving target is not listed as leaving";
    }
    if (simulation.now() >= last_announcement + 5s &&
        !all_see(crashes, std::nullopt)) {
      fault = "a crashed target is still listed";
    }
    if (!all_see(stays, MemberState::kServing)) {
      fault = "a serving target is not listed as serving";
    }
  });
  return fault;
}

}  // namespace

Test(membership, all_instances_find_all_targets_and_each_other) {
  GossipSimulation simulation = StartLargeDeployment(1);
  cr_assert(simulation.Converged());
}

Test(membership,
     a_leaving_target_is_removed_within_2_s_and_a_crashed_one_within_5_s) {
  // Regression seeds: partitioned groups at startup, and slow propagation to
  // other zones.
  cr_assert(LeaveAndCrash(71931286962501960) == "");
  cr_assert(LeaveAndCrash(35486) == "");
  cr_assert(rc::check(
      [] { RC_ASSERT(LeaveAndCrash(*rc::gen::arbitrary<uint64_t>()) == ""); }));
}

Test(membership, random_faults_never_undo_leaving_and_all_views_converge) {
  cr_assert(rc::check([] {
    GossipSimulation simulation =
        StartLargeDeployment(*rc::gen::arbitrary<uint64_t>());
    // Newest incarnation of each target that each instance has seen leaving.
    std::map<std::pair<std::string, std::string>, uint64_t> seen_leaving;
    std::map<std::pair<std::string, std::string>, uint64_t> seen_incarnation;
    const auto check = [&] {
      for (const auto& [name, instance] : simulation.instances()) {
        if (!instance.membership) {
          continue;
        }
        const std::string instance_incarnation =
            name + "/" + std::to_string(instance.info.incarnation);
        for (const auto& view :
             instance.membership->Members(simulation.now())) {
          const auto pair = std::pair(instance_incarnation, view.info.id);
          uint64_t& incarnation = seen_incarnation[pair];
          RC_ASSERT(view.info.incarnation >= incarnation);
          incarnation = view.info.incarnation;
          if (view.state == MemberState::kLeaving) {
            seen_leaving[pair] = incarnation;
          }
          const auto left = seen_leaving.find(pair);
          RC_ASSERT(left == seen_leaving.end() ||
                    view.info.incarnation > left->second ||
                    view.state == MemberState::kLeaving);
        }
      }
    };
    uint64_t version = 1;
    for (int event = 0; event < 12; ++event) {
      auto target =
          std::next(simulation.targets().begin(), *rc::gen::inRange(0, 24));
      auto instance =
          std::next(simulation.instances().begin(), *rc::gen::inRange(0, 21));
      switch (*rc::gen::inRange(0, 7)) {
        case 0:
          simulation.Leave(target->second);
          break;
        case 1:
          target->second.up = false;
          break;
        case 2:
          simulation.Restart(target->second, ++version);
          break;
        case 3:
          target->second.announcement.info.version = ++version;
          break;
        case 4:
          instance->second.membership.reset();
          break;
        case 5:
          simulation.Start(instance->first);
          break;
        default:
          simulation.isolated_zones = {
              GossipSimulation::Zone(*rc::gen::inRange(0, 4))};
      }
      simulation.Run(std::chrono::milliseconds(*rc::gen::inRange(100, 4000)),
                     check);
    }
    for (auto& [name, instance] : simulation.instances()) {
      if (!instance.membership) {
        simulation.Start(name);
      }
    }
    simulation.isolated_zones.clear();
    simulation.Run(8s, check);
    RC_ASSERT(simulation.Converged());
  }));
}

Test(membership,
     an_isolated_zone_keeps_its_targets_and_recovers_within_five_seconds) {
  GossipSimulation simulation = StartLargeDeployment(3);
  simulation.isolated_zones = {GossipSimulation::Zone(1)};
  simulation.Run(5s);
  const auto check = [&] {
    cr_assert(simulation.OnAllInstances([&](const auto& id) {
      const bool in_isolated_zone =
          simulation.instances().at(id).info.zone == "zone-1";
      for (const auto& [name, target] : simulation.targets()) {
        const bool same_side =
            in_isolated_zone == (target.announcement.info.zone == "zone-1");
        const auto view = simulation.View(id, name);
        if (!view || view->state != (same_side ? MemberState::kServing
                                               : MemberState::kUnreachable)) {
          return false;
        }
      }
      return true;
    }));
  };
  simulation.Run(5s, check);
  simulation.targets().at("target-1").announcement.info.version = 9;
  simulation.targets().at("target-4").up = false;
  simulation.Restart(simulation.targets().at("target-2"), 5);
  simulation.Run(5s);
  simulation.isolated_zones.clear();
  simulation.Run(5s);
  cr_assert(simulation.Converged());
}

Test(membership, a_target_unreachable_from_one_zone_is_dropped_there_only) {
  GossipSimulation simulation = StartLargeDeployment(4);
  const auto report = [&](const std::string& id, bool reachable) {
    simulation.instances().at(id).membership->ReportReachability(
        "target-0", reachable, simulation.now());
  };
  const auto unreachable_in = [&](const std::string& zone) {
    return simulation.OnAllInstances(
        [&](const auto& id) {
          const auto view = simulation.View(id, "target-0");
          return view && view->state == MemberState::kUnreachable;
        },
        zone);
  };
  const auto serving_in = [&](const std::string& zone) {
    return simulation.OnAllInstances(
        [&](const auto& id) {
          const auto view = simulation.View(id, "target-0");
          return view && view->state == MemberState::kServing;
        },
        zone);
  };
  report("entry-1", false);
  simulation.Run(1s);
  cr_assert(simulation.View("entry-1", "target-0")->state ==
            MemberState::kUnreachable);
  cr_assert(
      simulation.View("entry-4", "target-0")->state == MemberState::kServing,
      "the report of one instance does not count for others");
  report("entry-4", false);
  simulation.Run(2s);
  cr_assert(unreachable_in("zone-1"));
  cr_assert(serving_in("zone-0") && serving_in("zone-2"));
  report("entry-1", true);
  report("entry-4", true);
  simulation.Run(2s);
  cr_assert(serving_in("zone-1"));
}

Test(membership, manifest_version_and_marks_reach_all_instances_and_new_ones) {
  GossipSimulation simulation = StartLargeDeployment(5);
  const auto& first = simulation.instances().at("entry-0").membership;
  const auto& other = simulation.instances().at("entry-5").membership;
  first->SetManifestVersion(12);
  first->AddMark("digest", "1", simulation.now());
  other->AddMark("digest", "2", simulation.now());
  const auto received_all = [&](const std::string& id) {
    const auto& membership = simulation.instances().at(id).membership;
    return membership->manifest_version() == 12 &&
           membership->Mark("digest") == "2";
  };
  simulation.Run(2s);
  cr_assert(simulation.OnAllInstances(received_all));
  simulation.Start("entry-7");
  simulation.Run(3s);
  cr_assert(simulation.OnAllInstances(received_all));
}

Test(membership, a_stalled_instance_drops_no_target) {
  GossipSimulation simulation = StartLargeDeployment(6);
  auto stalled = std::move(simulation.instances().at("entry-2").membership);
  simulation.Run(30s);
  simulation.instances().at("entry-2").membership = std::move(stalled);
  simulation.Run(8s, [&] {
    const auto views = simulation.instances().at("entry-2").membership->Members(
        simulation.now());
    cr_assert(std::count_if(views.begin(), views.end(), [](const auto& view) {
                return view.info.kind == MemberKind::kEngine;
              }) == 24);
  });
  cr_assert(simulation.Converged());
}

Test(membership, a_draining_instance_is_seen_as_leaving) {
  GossipSimulation simulation = StartLargeDeployment(7);
  simulation.instances().at("entry-3").membership->Leave(simulation.now());
  simulation.Run(2s);
  cr_assert(simulation.OnAllInstances([&](const auto& id) {
    return id == "entry-3" ||
           simulation.View(id, "entry-3")->state == MemberState::kLeaving;
  }));
}

Test(membership, unresponsive_connections_are_reopened) {
  GossipSimulation simulation = StartLargeDeployment(8);
  for (const auto& [from, a] : simulation.instances()) {
    for (const auto& [to, b] : simulation.instances()) {
      if (from == "entry-3" || (from < to) == (from.back() % 2 == 0)) {
        simulation.silent_connections.insert({a.info.address, b.info.address});
      }
    }
  }
  simulation.Run(180s);
  cr_assert(simulation.Converged());
  for (const auto& [from, to] : simulation.silent_connections) {
    cr_assert(from == to, "%s to %s", from.c_str(), to.c_str());
  }
}

Test(membership, mutated_messages_do_not_crash) {
  GossipSimulation simulation = StartLargeDeployment(9);
  auto& sender = *simulation.instances().at("entry-0").membership;
  std::vector<std::string> valid;
  simulation.Leave(simulation.targets().begin()->second);
  for (int i = 0; i < 20; ++i) {
    sender.AddMark("digest", std::to_string(i), simulation.now());
    sender.ReportReachability("target-3", i % 2 == 0, simulation.now());
    sender.Tick(simulation.now() + i * 100ms);
    for (const GossipSend& send : sender.TakeOutput().sends) {
      valid.push_back(send.message.SerializeAsString());
    }
  }
  cr_assert(rc::check([&] {
    std::string bytes = *rc::gen::elementOf(valid);
    for (int i = *rc::gen::inRange(1, 8); i > 0; --i) {
      bytes[*rc::gen::inRange<size_t>(0, bytes.size())] =
          *rc::gen::arbitrary<char>();
    }
    if (*rc::gen::inRange(0, 4) == 0) {
      bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size() + 1));
    }
    wire::GossipMessage message;
    if (message.ParseFromString(bytes)) {
      auto& receiver = *simulation.instances().at("entry-6").membership;
      receiver.Receive(message, simulation.now());
      receiver.Tick(simulation.now());
      receiver.Members(simulation.now());
    }
  }));
}
