#include "programs/entry/service_states.h"

#include <algorithm>

namespace limpethatch {
namespace {

constexpr std::string_view kAdaptive = "adaptive";
constexpr std::string_view kNone = "none";

// When load rises, requests queue at their targets. These must not be mistaken
// for silent connections, because an abandoned request still runs at its
// target.
constexpr SilenceOptions kPlainSilenceOptions{std::chrono::milliseconds(700),
                                              std::chrono::milliseconds(1500)};
// A live completion may wait for an engine slot before its first token.
constexpr SilenceOptions kEngineSilenceOptions{std::chrono::milliseconds(1000),
                                               std::chrono::milliseconds(1500)};

double TotalSlots(const ServiceTargets* targets) {
  double slots = 0;
  if (targets != nullptr) {
    for (const RoutedTargetPtr& routed : targets->all) {
      slots += routed->target.slots;
    }
  }
  return slots;
}

}  // namespace

ServiceState::ServiceState(bool limited, const SilenceOptions& silence_options)
    : admission(
          std::make_shared<AdmissionController>(AdmissionOptions{}, limited)),
      budget(RetryBudgetOptions{}),
      silence(silence_options) {}

bool ServiceStates::IsAdmissionPolicy(std::string_view name) {
  return name == kAdaptive || name == kNone;
}

ServiceStates::ServiceStates(std::string_view admission_policy)
    : limited_(admission_policy != kNone) {}

ServiceStatePtr ServiceStates::GetOrCreate(const std::string& name,
                                           TargetKind kind) {
  const auto find = [&](const States& states) {
    const auto found = states.find(name);
    return found == states.end() ? nullptr : found->second;
  };
  if (ServiceStatePtr existing = states_.Read(find)) {
    return existing;
  }
  states_.Update([&](const States& current) {
    auto next = std::make_unique<States>(current);
    next->try_emplace(name, std::make_shared<ServiceState>(
                                limited_, kind == TargetKind::kEngine
                                              ? kEngineSilenceOptions
                                              : kPlainSilenceOptions));
    return next;
  });
  return states_.Read(find);
}

void ServiceStates::OnTimer(const RcuCell<TargetTable>& targets,
                            size_t instances,
                            TimePoint now) {
  const States states = states_.Read([](const States& all) { return all; });
  for (const auto& [name, state] : states) {
    const double slots = targets.Read([&name = name](const TargetTable& table) {
      return TotalSlots(table.Find(name));
    });
    state->admission->OnTimer(
        slots / static_cast<double>(std::max<size_t>(instances, 1)), now);
  }
}

}  // namespace limpethatch
