#include "limpethatch/request/quarantine_arbiter.h"

#include <algorithm>
#include <utility>

#include "limpethatch/request/digest.h"

namespace limpethatch {

std::string ArbiterOf(std::string_view service,
                      std::span<const std::string> instances) {
  std::string best;
  uint64_t weight = 0;
  for (const std::string& instance : instances) {
    const uint64_t own = ContentDigest(instance + "\n" + std::string(service));
    if (best.empty() || own > weight) {
      best = instance;
      weight = own;
    }
  }
  return best;
}

QuarantineArbiter::QuarantineArbiter(PoisonRegistry* registry,
                                     Duration lease,
                                     TimePoint start)
    : registry_(registry), lease_(lease), grants_allowed_from_(start + lease) {}

void QuarantineArbiter::Enqueue(QuarantineRequest request) {
  waiting_.push_back(std::move(request));
}

void QuarantineArbiter::OnRunEnded(std::string_view digest) {
  if (const auto found = grants_.find(digest); found != grants_.end()) {
    grants_.erase(found);
  }
}

QuarantineArbiter::Answers QuarantineArbiter::Decide(
    std::span<const TargetProcess> targets,
    TimePoint now,
    std::vector<PoisonMark>* marks) {
  ExpireGrants(now, marks);
  Answers answers;
  std::deque<QuarantineRequest> still_waiting;
  for (QuarantineRequest& request : waiting_) {
    const PoisonStatus status = registry_->StatusOf(request.digest, now);
    if (status == PoisonStatus::kRefused || now >= request.deadline) {
      answers.push_back({std::move(request), QuarantineVerdict::kRefuse, {}});
    } else if (status == PoisonStatus::kClear) {
      answers.push_back(
          {std::move(request), QuarantineVerdict::kRunUnrestricted, {}});
    } else if (const TargetProcess* free = FindFreeTarget(targets);
               free != nullptr && now >= grants_allowed_from_ &&
               !grants_.contains(request.digest)) {
      grants_.emplace(request.digest, Grant{*free, now + lease_});
      answers.push_back(
          {std::move(request), QuarantineVerdict::kRunQuarantined, *free});
    } else {
      still_waiting.push_back(std::move(request));
    }
  }
  waiting_ = std::move(still_waiting);
  return answers;
}

void QuarantineArbiter::ExpireGrants(TimePoint now,
                                     std::vector<PoisonMark>* marks) {
  std::erase_if(grants_, [&](const auto& entry) {
    const auto& [digest, grant] = entry;
    if (now < grant.lease_end) {
      return false;
    }
    const auto lost = registry_->OnOutcomeUnknown(grant.process, digest, now);
    marks->insert(marks->end(), lost.begin(), lost.end());
    return true;
  });
}

const TargetProcess* QuarantineArbiter::FindFreeTarget(
    std::span<const TargetProcess> targets) const {
  const auto free = std::find_if(
      targets.begin(), targets.end(), [&](const TargetProcess& target) {
        return std::none_of(
            grants_.begin(), grants_.end(), [&](const auto& entry) {
              return entry.second.process.target == target.target;
            });
      });
  return free == targets.end() ? nullptr : &*free;
}

}  // namespace limpethatch
