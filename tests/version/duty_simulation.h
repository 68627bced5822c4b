// Control instances that hold a duty one after another, and the platform that
// carries out their calls, without a network or a clock.
#ifndef LIMPETHATCH_TESTS_VERSION_DUTY_SIMULATION_H_
#define LIMPETHATCH_TESTS_VERSION_DUTY_SIMULATION_H_

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "limpethatch/process/duties/duty_lease.h"
#include "limpethatch/version/fleet_ledger.h"

namespace limpethatch::testing {

// As the consensus guarantees, a leader is elected only after the lease of the
// former one, a leader that is cut off commits nothing, and the next leader
// commits some of what it left behind.
class DutySimulation {
 public:
  static constexpr Duration kLease = std::chrono::seconds(3);
  static constexpr Duration kSendBound = std::chrono::milliseconds(300);
  static constexpr size_t kInstances = 3;
  static constexpr uint8_t kKinds = 20;  // Of steps.

  struct Call {
    std::string holder;
    uint64_t token = 0;
    TimePoint sent_at;
    TimePoint executed_at;
  };

  DutySimulation() {
    wire::Command command;
    command.mutable_log_format_raise()->set_format(
        static_cast<uint32_t>(LogFormat::kOrganisations));
    log_.push_back(command);
    instances_.resize(kInstances);
    for (size_t i = 0; i < kInstances; ++i) {
      Restart(i, 0);
    }
  }

  void Step(uint8_t kind, uint8_t choice) {
    const size_t i = choice % kInstances;
    switch (kind % kKinds) {
      case 0:
      case 1:
        return Elect(i, choice);
      case 2:
        instances_[i].cut = true;
        return;
      case 3:
      case 4:
        instances_[i].cut = false;
        return;
      case 5:
        return Restart(i, choice);
      case 6:
        return Refuse(choice);
      case 7:
      case 8:
        return Advance(std::chrono::milliseconds(2 * choice));
      case 9:
      case 10:
        return Advance(std::chrono::milliseconds(10 * choice));
      default:
        for (size_t each = 0; each < kInstances; ++each) {
          Work((i + each) % kInstances, choice);
        }
    }
  }

  // Carried out, in this order.
  std::vector<Call> Executed() const {
    std::vector<Call> calls = calls_;
    std::stable_sort(calls.begin(), calls.end(),
                     [](const Call& a, const Call& b) {
                       return a.executed_at < b.executed_at;
                     });
    return calls;
  }
  // A call was made with a token that the platform had refused to its sender.
  bool used_refused_token() const { return used_refused_token_; }

 private:
  struct Instance {
    FleetLedger ledger;
    size_t applied = 0;
    std::unique_ptr<DutyLease> lease;
    bool cut = false;
    bool leading = false;
    uint64_t term = 0;
    TimePoint leading_since;
    TimePoint lease_until;
    std::vector<wire::Command> uncommitted;
    uint64_t refused_token = 0;
  };

  static constexpr Duration kConsensusLease = std::chrono::milliseconds(500);

  static std::string NameOf(size_t i) { return "control-" + std::to_string(i); }

  void Apply(Instance& instance, size_t end) {
    for (; instance.applied < end; ++instance.applied) {
      wire::CommandResult result;
      instance.ledger.Apply(log_[instance.applied], &result);
    }
  }
  // With the snapshot of some earlier state.
  void Restart(size_t i, uint8_t choice) {
    Instance& instance = instances_[i];
    Instance source;
    Apply(source, log_.size() * choice / UINT8_MAX);
    instance = Instance();
    instance.cut = choice % 2 == 1;
    instance.ledger.Restore(source.ledger.Snapshot());
    instance.applied = source.applied;
    instance.lease = std::make_unique<DutyLease>(
        NameOf(i), DutyLeaseOptions{kLease, kSendBound});
  }
  void Elect(size_t i, uint8_t choice) {
    Instance& candidate = instances_[i];
    for (Instance& instance : instances_) {
      if (instance.leading && now_ < instance.lease_until) {
        return;
      }
    }
    if (candidate.cut) {
      return;
    }
    for (Instance& instance : instances_) {
      // The old leader learns of the election only if it is not cut off.
      instance.leading = instance.leading && instance.cut;
      if (choice % 2 == 0) {
        log_.insert(log_.end(), instance.uncommitted.begin(),
                    instance.uncommitted.end());
      }
      instance.uncommitted.clear();
    }
    candidate.leading = true;
    candidate.term = ++term_;
    candidate.leading_since = now_;
    candidate.lease_until = now_ + kConsensusLease;
  }
  void Advance(Duration time) {
    // In steps, in which a leader that is not cut off renews its lease.
    for (const TimePoint end = now_ + time; now_ < end;) {
      now_ = std::min(end, now_ + kConsensusLease / 2);
      for (Instance& instance : instances_) {
        if (instance.leading && !instance.cut && instance.term == term_) {
          instance.lease_until = now_ + kConsensusLease;
        }
      }
    }
  }
  // The platform has seen a higher token than those in the log.
  void Refuse(uint8_t choice) {
    if (choice % 8 != 0) {
      return;
    }
    for (Instance& instance : instances_) {
      if (!calls_.empty() && calls_.back().token > 0 &&
          instance.ledger.duties().Find("usage").token == calls_.back().token &&
          instance.leading && !instance.cut) {
        instance.lease->OnRefused(calls_.back().token, now_);
        instance.refused_token = calls_.back().token;
      }
    }
  }
  void Work(size_t i, uint8_t choice) {
    Instance& instance = instances_[i];
    if (!instance.cut) {
      Apply(instance,
            instance.leading ? log_.size() : log_.size() - choice % 2);
    }
    const auto leadership = [&] {
      return DutyLeadership{instance.leading && now_ < instance.lease_until,
                            instance.term, instance.leading_since};
    };
    if (instance.lease->MustClaim(leadership(),
                                  instance.ledger.duties().Find("usage"))) {
      wire::Command command;
      wire::DutyClaim& claim = *command.mutable_duty_claim();
      claim.set_duty("usage");
      claim.set_holder(NameOf(i));
      claim.set_term(instance.term);
      claim.set_refused_token(instance.lease->refused_token());
      if (instance.cut) {
        instance.uncommitted.push_back(command);
      } else {
        log_.push_back(command);
        Apply(instance, log_.size());
      }
    }
    const auto token = instance.lease->TokenAt(
        now_, leadership(), instance.ledger.duties().Find("usage"));
    if (!token) {
      return;
    }
    used_refused_token_ |= *token <= instance.refused_token;
    const Duration to_send = kSendBound * (choice % 4) / 3;
    const Duration to_execute = (kLease * (choice % 16)) / 16;
    calls_.push_back(
        {NameOf(i), *token, now_ + to_send, now_ + to_send + to_execute});
  }

  TimePoint now_ = TimePoint() + std::chrono::hours(1);
  uint64_t term_ = 0;
  std::vector<wire::Command> log_;
  std::vector<Instance> instances_;
  std::vector<Call> calls_;
  bool used_refused_token_ = false;
};

}  // namespace limpethatch::testing

#endif  // LIMPETHATCH_TESTS_VERSION_DUTY_SIMULATION_H_
