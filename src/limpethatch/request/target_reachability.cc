#include "limpethatch/request/target_reachability.h"

#include <algorithm>
#include <utility>

namespace limpethatch {

bool TargetReachability::OnContact(const std::string& service, TimePoint now) {
  Service& state = services_[service];
  state.last_contact_at = now;
  state.failures.clear();
  return std::exchange(state.unreachable, false);
}

bool TargetReachability::OnFailure(const std::string& service,
                                   const std::string& target,
                                   size_t targets,
                                   TimePoint now) {
  Service& state = services_[service];
  std::erase_if(state.failures, [&](const auto& entry) {
    return now - entry.second > kFailureLifetime;
  });
  state.failures[target] = now;
  const size_t needed = std::clamp<size_t>(targets, 1, kMinFailedTargets);
  return state.failures.size() >= needed &&
         !std::exchange(state.unreachable, true);
}

bool TargetReachability::IsUnreachable(std::string_view service) const {
  const auto found = services_.find(service);
  return found != services_.end() && found->second.unreachable;
}

bool TargetReachability::IsInDoubt(std::string_view service,
                                   TimePoint now) const {
  const auto found = services_.find(service);
  return found == services_.end() ||
         now - found->second.last_contact_at > kContactLifetime;
}

std::vector<std::string> TargetReachability::UnreachableServices() const {
  std::vector<std::string> names;
  for (const auto& [name, state] : services_) {
    if (state.unreachable) {
      names.push_back(name);
    }
  }
  return names;
}

}  // namespace limpethatch
