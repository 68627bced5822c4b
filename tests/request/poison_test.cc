#include "limpethatch/request/poison_registry.h"

#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <utility>

#include "limpethatch/request/quarantine_arbiter.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;

TimePoint At(int64_t ms) {
  return TimePoint(std::chrono::hours(1) + milliseconds(ms));
}

// Discrete-event simulation of instances, targets and callers with random
// delays. Marks reach all other instances within kMarkDelayMs. An instance
// whose call failed in a crash retries it, or answers, only after that time.
class PoisonSimulation {
 public:
  static constexpr int kInstances = 5;
  static constexpr int kMarkDelayMs = 50;
  static constexpr int kLeaseMs = 5000;
  static constexpr const char* kPoison = "poison";

  PoisonSimulation(uint64_t seed, bool with_instance_failures)
      : random_(seed),
        with_instance_failures_(with_instance_failures),
        targets_(Uniform(4, 9)) {
    for (int instance = 0; instance < kInstances; ++instance) {
      registries_.push_back(std::make_unique<PoisonRegistry>(PoisonOptions{}));
    }
    arbiter_at_ = Uniform(0, kInstances - 1);
    arbiter_ = std::make_unique<QuarantineArbiter>(
        registries_[arbiter_at_].get(), milliseconds(kLeaseMs), At(-kLeaseMs));
  }

  void Run(int innocents, int resends) {
    for (int index = 0; index < innocents; ++index) {
      Schedule(Uniform(0, 1500), [=, this] {
        Offer(Uniform(0, kInstances - 1), "innocent-" + std::to_string(index));
      });
    }
    resends_left_ = resends;
    Schedule(Uniform(0, 500), [this] { Offer(0, kPoison); });
    Schedule(0, [this] { Arbitrate(); });
    while (!events_.empty()) {
      auto event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now_ms_ = event.at_ms;
      event.run();
    }
  }

  int crashes() const { return crashes_; }
  int poison_refused() const { return poison_refused_; }
  size_t finished() const { return finished_.size(); }
  int innocents_refused() const { return innocents_refused_; }

 private:
  struct Event {
    int64_t at_ms;
    uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(at_ms, order) > std::pair(other.at_ms, other.order);
    }
  };
  struct Call {
    int instance;
    std::string digest;
    bool quarantined;
    bool lost = false;  // Its instance has failed.
  };
  struct FakeTarget {
    uint64_t incarnation = 1;
    std::map<uint64_t, Call> running;
  };

  int Uniform(int from, int to) {
    return from + static_cast<int>(random_() % (to - from + 1));
  }
  TimePoint Now() const { return At(now_ms_); }
  void Schedule(int delay_ms, std::function<void()> run) {
    events_.push({now_ms_ + delay_ms, order_++, std::move(run)});
  }

  void Broadcast(int from, const std::vector<PoisonMark>& marks) {
    for (int to = 0; to < kInstances; ++to) {
      if (to != from && !marks.empty()) {
        Schedule(Uniform(0, kMarkDelayMs),
                 [=, this] { registries_[to]->Merge(marks, Now()); });
      }
    }
  }

  void Offer(int instance, const std::string& digest) {
    switch (registries_[instance]->StatusOf(digest, Now())) {
      case PoisonStatus::kClear:
        Dispatch(instance, digest, Uniform(0, int(targets_.size()) - 1), false);
        break;
      case PoisonStatus::kSuspect:
        Schedule(Uniform(0, 5), [=, this] {
          arbiter_->Enqueue({digest, std::to_string(instance), 0,
                             Now() + std::chrono::seconds(60)});
        });
        break;
      case PoisonStatus::kRefused:
        Refused(digest);
        break;
    }
  }

  void Refused(const std::string& digest) {
    if (digest != kPoison) {
      ++innocents_refused_;
      return;
    }
    ++poison_refused_;
    Resend();
  }

  void Resend() {
    if (resends_left_-- > 0) {
      Schedule(Uniform(0, 20),
               [this] { Offer(Uniform(0, kInstances - 1), kPoison); });
    }
  }

  void Arbitrate() {
    std::vector<TargetProcess> processes;
    for (size_t target = 0; target < targets_.size(); ++target) {
      processes.push_back(
          {std::to_string(target), targets_[target].incarnation});
    }
    std::shuffle(processes.begin(), processes.end(), random_);
    std::vector<PoisonMark> marks;
    for (const auto& answer : arbiter_->Decide(processes, Now(), &marks)) {
      const int instance = std::stoi(answer.request.instance);
      const std::string digest = answer.request.digest;
      Schedule(Uniform(0, 5), [=, this] {
        if (answer.verdict == QuarantineVerdict::kRunQuarantined) {
          Dispatch(instance, digest, std::stoi(answer.process.target), true);
        } else if (answer.verdict == QuarantineVerdict::kRunUnrestricted) {
          Dispatch(instance, digest, Uniform(0, int(targets_.size()) - 1),
                   false);
        } else {
          Refused(digest);
        }
      });
    }
    Broadcast(arbiter_at_, marks);
    if (now_ms_ < 60000) {
      Schedule(10, [this] { Arbitrate(); });
    }
  }

  void Dispatch(int instance,
                std::string digest,
                int target,
                bool quarantined) {
    const uint64_t call = ++calls_;
    const bool lost =
        with_instance_failures_ && quarantined && Uniform(0, 9) == 0;
    const bool poison = digest == kPoison;
    targets_[target].running[call] = {instance, digest, quarantined, lost};
    const uint64_t incarnation = targets_[target].incarnation;
    Schedule(Uniform(1, poison ? 300 : 1000), [=, this] {
      if (targets_[target].incarnation != incarnation) {
        return;  // Lost when the target crashed.
      }
      if (poison) {
        Crash(target);
      } else {
        Finish(target, call);
      }
    });
  }

  void Finish(int target, uint64_t id) {
    const Call call = targets_[target].running.at(id);
    targets_[target].running.erase(id);
    if (call.lost) {
      Schedule(100, [=, this] { Offer(call.instance, call.digest); });
      return;
    }
    finished_.insert(call.digest);
    Broadcast(call.instance,
              registries_[call.instance]->OnFinished(call.digest, Now()));
    EndAtArbiter(call);
  }

  void Crash(int target) {
    ++crashes_;
    const TargetProcess process{std::to_string(target),
                                targets_[target].incarnation};
    ++targets_[target].incarnation;
    for (const auto& [id, call] : std::exchange(targets_[target].running, {})) {
      if (call.lost) {
        if (call.digest == kPoison) {
          Schedule(kMarkDelayMs, [this] { Resend(); });
        }
        continue;
      }
      Broadcast(call.instance,
                registries_[call.instance]->OnTargetCrashed(
                    process, call.digest, call.quarantined, Now()));
      EndAtArbiter(call);
      Schedule(kMarkDelayMs,
               [=, this, call = call] { Offer(call.instance, call.digest); });
    }
  }

  void EndAtArbiter(const Call& call) {
    if (call.quarantined) {
      Schedule(kMarkDelayMs, [=, this] { arbiter_->OnRunEnded(call.digest); });
    }
  }

  std::mt19937_64 random_;
  const bool with_instance_failures_;
  std::vector<FakeTarget> targets_;
  std::vector<std::unique_ptr<PoisonRegistry>> registries_;
  std::unique_ptr<QuarantineArbiter> arbiter_;
  int arbiter_at_ = 0;
  std::priority_queue<Event> events_;
  uint64_t order_ = 0;
  uint64_t calls_ = 0;
  int64_t now_ms_ = 0;
  int resends_left_ = 0;
  int crashes_ = 0;
  int poison_refused_ = 0;
  int innocents_refused_ = 0;
  std::set<std::string> finished_;
};

const TargetProcess kFirstProcess{"a", 1};
const TargetProcess kSecondProcess{"b", 1};

}  // namespace

Test(poison, a_poison_request_crashes_at_most_two_targets_and_others_finish) {
  cr_assert(rc::check([](uint64_t seed) {
    PoisonSimulation simulation(seed, false);
    simulation.Run(40, 50);
    RC_ASSERT(simulation.crashes() <= 2);
    RC_ASSERT(simulation.finished() == 40U);
    RC_ASSERT(simulation.innocents_refused() == 0);
    RC_ASSERT(simulation.poison_refused() >= 50);
  }));
}

Test(poison, at_most_two_targets_crash_when_instances_fail_during_quarantine) {
  cr_assert(rc::check([](uint64_t seed) {
    PoisonSimulation simulation(seed, true);
    simulation.Run(40, 50);
    RC_ASSERT(simulation.crashes() <= 2);
  }));
}

Test(poison, marks_give_the_same_status_in_any_order) {
  cr_assert(rc::check([] {
    std::vector<PoisonMark> marks;
    const int count = *rc::gen::inRange(1, 20);
    for (int index = 0; index < count; ++index) {
      marks.push_back({std::string(1, *rc::gen::element('x', 'y', 'z')),
                       {std::string(1, *rc::gen::element('a', 'b', 'c')), 1},
                       *rc::gen::element(PoisonEvidence::kRunningAtCrash,
                                         PoisonEvidence::kConfirmedCause,
                                         PoisonEvidence::kFinishedSince,
                                         PoisonEvidence::kOutcomeUnknown)});
    }
    PoisonRegistry one({});
    one.Merge(marks, At(0));
    PoisonRegistry other({});
    for (const PoisonMark& mark : *rc::gen::container<std::vector<PoisonMark>>(
             rc::gen::elementOf(marks))) {
      other.Merge({&mark, 1}, At(0));
    }
    std::reverse(marks.begin(), marks.end());
    for (const PoisonMark& mark : marks) {
      other.Merge({&mark, 1}, At(0));
    }
    for (const char* digest : {"x", "y", "z"}) {
      RC_ASSERT(one.StatusOf(digest, At(0)) == other.StatusOf(digest, At(0)));
    }
    RC_ASSERT(one.Marks(At(0)) == other.Marks(At(0)));
  }));
}

Test(poison, a_confirmed_cause_clears_the_other_suspects_of_its_crashes) {
  PoisonRegistry registry({});
  registry.OnTargetCrashed(kFirstProcess, "poison", false, At(0));
  registry.OnTargetCrashed(kFirstProcess, "innocent", false, At(0));
  cr_assert(registry.StatusOf("innocent", At(1)) == PoisonStatus::kSuspect);
  registry.OnTargetCrashed(kSecondProcess, "poison", true, At(1));
  registry.OnTargetCrashed(kSecondProcess, "bystander", false, At(1));
  cr_assert(registry.StatusOf("poison", At(2)) == PoisonStatus::kRefused);
  cr_assert(registry.StatusOf("innocent", At(2)) == PoisonStatus::kClear);
  cr_assert(registry.StatusOf("bystander", At(2)) == PoisonStatus::kClear);
}

Test(poison, marks_expire_after_the_retention_time) {
  PoisonRegistry registry({.retention = std::chrono::seconds(10)});
  registry.OnTargetCrashed(kFirstProcess, "unlucky", false, At(0));
  registry.OnTargetCrashed(kSecondProcess, "unlucky", true, At(0));
  cr_assert(registry.StatusOf("unlucky", At(9999)) == PoisonStatus::kRefused);
  cr_assert(registry.StatusOf("unlucky", At(10000)) == PoisonStatus::kClear);
}

Test(poison, merging_marks_returns_the_newly_restricted_digests) {
  PoisonRegistry one({});
  PoisonRegistry other({});
  const auto marks = one.OnTargetCrashed(kFirstProcess, "poison", false, At(0));
  const auto newly_restricted = other.Merge(marks, At(0));
  cr_assert_eq(newly_restricted.size(), 1);
  cr_assert(newly_restricted[0] == "poison");
  cr_assert(other.Merge(marks, At(0)).empty());
}

Test(poison, memory_of_marks_is_bounded) {
  PoisonRegistry registry({.max_marks = 100});
  for (int index = 0; index < 1000; ++index) {
    registry.OnTargetCrashed(kFirstProcess, std::to_string(index), false,
                             At(index));
  }
  cr_assert_leq(registry.Marks(At(1000)).size(), 101);
  cr_assert(registry.StatusOf("999", At(1000)) == PoisonStatus::kSuspect);
}

Test(poison, two_unexplained_crashes_refuse_a_third_run) {
  PoisonRegistry registry({});
  registry.OnTargetCrashed(kFirstProcess, "popular", false, At(0));
  registry.OnTargetCrashed(kSecondProcess, "popular", false, At(0));
  cr_assert(registry.StatusOf("popular", At(1)) == PoisonStatus::kRefused);
  registry.OnFinished("popular", At(2));
  cr_assert(registry.StatusOf("popular", At(2)) == PoisonStatus::kClear);
}

Test(poison, suspects_never_share_a_target) {
  PoisonRegistry registry({});
  QuarantineArbiter arbiter(&registry, std::chrono::seconds(5), At(-5000));
  for (const char* digest : {"one", "two", "three"}) {
    registry.OnTargetCrashed(kFirstProcess, digest, false, At(0));
    arbiter.Enqueue({digest, "instance", 1, At(60000)});
  }
  std::vector<PoisonMark> marks;
  const std::vector<TargetProcess> targets = {{"a", 2}, kSecondProcess};
  const auto granted = arbiter.Decide(targets, At(1), &marks);
  cr_assert_eq(granted.size(), 2);
  cr_assert(granted[0].process.target != granted[1].process.target);
  cr_assert(arbiter.Decide(targets, At(2), &marks).empty());
  arbiter.OnRunEnded("one");
  cr_assert_eq(arbiter.Decide(targets, At(3), &marks).size(), 1);
}

Test(poison, a_new_arbiter_waits_until_the_former_grants_expire) {
  PoisonRegistry registry({});
  registry.OnTargetCrashed(kFirstProcess, "suspect", false, At(0));
  QuarantineArbiter arbiter(&registry, std::chrono::seconds(5), At(0));
  arbiter.Enqueue({"suspect", "instance", 1, At(60000)});
  std::vector<PoisonMark> marks;
  const std::vector<TargetProcess> targets = {{"a", 2}, kSecondProcess};
  cr_assert(arbiter.Decide(targets, At(4999), &marks).empty());
  const auto answers = arbiter.Decide(targets, At(5000), &marks);
  cr_assert_eq(answers.size(), 1);
  cr_assert(answers[0].verdict == QuarantineVerdict::kRunQuarantined);
}

}  // namespace limpethatch
