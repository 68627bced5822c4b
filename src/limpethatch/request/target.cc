#include "limpethatch/request/target.h"

#include <algorithm>
#include <utility>

#include "limpethatch/request/digest.h"

namespace limpethatch {
namespace {

// The same incarnation of the target in the previous table; null if none.
const RoutedTarget* FindPrevious(const Target& target,
                                 const TargetTable* previous) {
  const RoutedTarget* known =
      previous == nullptr ? nullptr : previous->FindTarget(target.id);
  return known != nullptr && known->target.incarnation == target.incarnation
             ? known
             : nullptr;
}

RoutedTargetPtr MakeRouted(Target target, const TargetTable* previous) {
  auto routed = std::make_shared<RoutedTarget>();
  const RoutedTarget* known = FindPrevious(target, previous);
  routed->stats = known ? known->stats : std::make_shared<TargetStats>();
  routed->estimate =
      known ? known->estimate : std::make_shared<TargetEstimate>();
  routed->id_hash = ContentDigest(target.id);
  const TargetLoad& load = target.load;
  const double reported = static_cast<double>(load.running) + load.waiting;
  const double own = routed->stats->OutstandingAt(load.measured);
  routed->reported_other_work = std::max(0.0, reported - own);
  routed->target = std::move(target);
  return routed;
}

void SetMeanOtherWork(ServiceTargets& service) {
  double sum = 0;
  size_t reports = 0;
  for (const RoutedTargetPtr& routed : service.all) {
    if (routed->target.load.measured != TimePoint()) {
      sum += routed->reported_other_work;
      ++reports;
    }
  }
  service.mean_other_work =
      reports == 0 ? 0 : sum / static_cast<double>(reports);
}

}  // namespace

TargetTable::TargetTable(std::vector<Target> targets,
                         const TargetTable* previous) {
  for (Target& target : targets) {
    RoutedTargetPtr routed = MakeRouted(std::move(target), previous);
    targets_.insert_or_assign(routed->target.id, routed);
  }
  for (const auto& [id, routed] : targets_) {
    if (routed->target.leaving) {
      continue;
    }
    ServiceTargets& service = services_[routed->target.service];
    service.all.push_back(routed);
    service.by_zone[routed->target.zone].push_back(routed);
  }
  for (auto& [name, service] : services_) {
    SetMeanOtherWork(service);
    const ServiceTargets* known =
        previous == nullptr ? nullptr : previous->Find(name);
    service.group =
        known == nullptr ? std::make_shared<TargetGroup>() : known->group;
  }
}

TargetTable TargetTable::Copy() const {
  TargetTable copy;
  for (const auto& [id, routed] : targets_) {
    auto own = std::make_shared<RoutedTarget>(*routed);
    own->stats = std::make_shared<TargetStats>();
    own->stats->CopyFrom(*routed->stats);
    copy.targets_.emplace(id, std::move(own));
  }
  copy.services_ = services_;
  const auto replace = [&](std::vector<RoutedTargetPtr>& targets) {
    for (RoutedTargetPtr& target : targets) {
      target = copy.targets_.find(target->target.id)->second;
    }
  };
  for (auto& [name, service] : copy.services_) {
    replace(service.all);
    for (auto& [zone, targets] : service.by_zone) {
      replace(targets);
    }
    auto group = std::make_shared<TargetGroup>();
    group->CopyFrom(*service.group);
    service.group = std::move(group);
  }
  return copy;
}

const ServiceTargets* TargetTable::Find(std::string_view service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second;
}

const RoutedTarget* TargetTable::FindTarget(std::string_view id) const {
  const auto found = targets_.find(id);
  return found == targets_.end() ? nullptr : found->second.get();
}

CallTicket::CallTicket(const RoutedTarget& routed,
                       RequestClass request_class,
                       TimePoint now)
    : stats_(routed.stats), request_class_(request_class), started_(now) {
  stats_->Begin(request_class, now);
}

CallTicket::~CallTicket() {
  Finish(CallOutcome::kCancelled, started_);
}

void CallTicket::Finish(CallOutcome outcome, TimePoint now) {
  if (const auto stats = std::exchange(stats_, nullptr)) {
    stats->End(request_class_, outcome, now - started_, now);
  }
}

}  // namespace limpethatch
