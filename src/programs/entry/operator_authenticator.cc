#include "programs/entry/operator_authenticator.h"

#include <utility>

#include "limpethatch/process/log.h"

namespace limpethatch {
namespace {

constexpr Duration kReloadPeriod = std::chrono::seconds(2);

}  // namespace

OperatorAuthenticator::OperatorAuthenticator(std::string path)
    : path_(std::move(path)) {}

std::error_code OperatorAuthenticator::Load() {
  if (path_.empty()) {
    Log(LogLevel::kWarning, "operator_authentication_disabled");
    return {};
  }
  Reload();
  const bool loaded =
      keys_.Read([](const auto& keys) { return keys.has_value(); });
  return loaded ? std::error_code()
                : std::make_error_code(std::errc::permission_denied);
}

void OperatorAuthenticator::StartReloading(TimerService& timers) {
  if (!path_.empty()) {
    timers.Every(kReloadPeriod, [this](TimePoint /*now*/) { Reload(); });
  }
}

bool OperatorAuthenticator::Allows(const HttpRequest& request) const {
  const std::string& path = request.path;
  if (path_.empty() || path == "/healthz" || path == "/readyz" ||
      path == "/metrics") {
    return true;
  }
  return keys_.Read([&](const std::optional<OperatorKeys>& keys) {
    return keys && keys->Allows(request.headers.Get("Authorization"));
  });
}

void OperatorAuthenticator::Reload() {
  std::string problem;
  std::optional<OperatorKeys> next = OperatorKeys::Load(path_, &problem);
  if (!next) {
    if (std::exchange(last_problem_, problem) != problem) {
      Log(LogLevel::kError, "operator_keys_invalid",
          {{"file", path_}, {"problem", problem}});
    }
    return;
  }
  last_problem_.clear();
  if (keys_.Read([&](const auto& keys) { return keys == next; })) {
    return;
  }
  keys_.Update([&](const auto&) {
    return std::make_unique<std::optional<OperatorKeys>>(std::move(next));
  });
  Log(LogLevel::kInfo, "operator_keys_loaded", {{"file", path_}});
}

}  // namespace limpethatch
