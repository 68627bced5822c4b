#include "programs/entry/poison_guard.h"

#include <fmt/format.h>

#include <charconv>
#include <utility>

#include "limpethatch/connection/http_error.h"
#include "limpethatch/process/log.h"

namespace limpethatch {
namespace {

// Names of services can't begin so.
constexpr std::string_view kContentClaims = "!suspect";
constexpr std::string_view kTargetClaims = "!quarantine";
constexpr Duration kLockPause = std::chrono::milliseconds(100);
// In which marks reach every instance that can be reached.
constexpr Duration kMarkSpread = std::chrono::milliseconds(800);
constexpr int kHealthProbes = 3;
constexpr Duration kHealthTime = std::chrono::milliseconds(500);
constexpr Duration kHealthPause = std::chrono::milliseconds(50);

using wire::ClaimOutcome;

std::string Encode(const PoisonMark& mark) {
  return fmt::format("{}{}\n{}\n{}\n{}", kPoisonMarkPrefix, mark.digest,
                     mark.process.target, mark.process.incarnation,
                     static_cast<int>(mark.evidence));
}

std::string_view NextLine(std::string_view* text) {
  const size_t end = text->find('\n');
  const std::string_view line = text->substr(0, end);
  text->remove_prefix(end == std::string_view::npos ? text->size() : end + 1);
  return line;
}

template <typename Number>
bool ParseNumber(std::string_view text, Number* number) {
  const char* end = text.data() + text.size();
  return std::from_chars(text.data(), end, *number).ptr == end && !text.empty();
}

bool Decode(std::string_view text, PoisonMark* mark) {
  text.remove_prefix(kPoisonMarkPrefix.size());
  mark->digest = NextLine(&text);
  mark->process.target = NextLine(&text);
  int evidence = 0;
  if (!ParseNumber(NextLine(&text), &mark->process.incarnation) ||
      !ParseNumber(text, &evidence) || evidence < 0 ||
      evidence > static_cast<int>(PoisonEvidence::kOutcomeUnknown)) {
    return false;
  }
  mark->evidence = static_cast<PoisonEvidence>(evidence);
  return true;
}

}  // namespace

TryPermit PoisonGuard::Permit(Yield yield,
                              const GuardedRequest& request,
                              const ChooseTarget& choose) {
  TryPermit permit;
  bool holder_lost = false;
  while (true) {
    const PoisonStatus status =
        registry_.StatusOf(request.digest, Clock::now());
    if (status == PoisonStatus::kRefused || holder_lost) {
      Unlock(permit);
      permit.refused = true;
      return permit;
    }
    if (status == PoisonStatus::kClear) {
      Unlock(permit);
      permit.target = choose({});
      return permit;
    }
    if (!permit.locks.empty()) {
      LockTarget(yield, request, choose, permit);
      return permit;
    }
    if (Clock::now() >= request.deadline) {
      return permit;
    }
    // Once it is locked it is judged again: marks came before the lock did.
    if (!TryLock(yield, std::string(kContentClaims), request.digest,
                 request.deadline, permit, &holder_lost)) {
      SleepFor(yield, kLockPause);
    }
  }
}

bool PoisonGuard::TryLock(Yield yield,
                          const std::string& service,
                          const std::string& key,
                          TimePoint deadline,
                          TryPermit& permit,
                          bool* lost) {
  TryPermit::Lock lock{{service, key, context_.Holder(), 0},
                       context_.open_keys.TryOpen(service, key)};
  if (!lock.hold) {
    return false;
  }
  wire::Command command;
  wire::ClaimOpen* open = command.mutable_claim_open();
  open->set_service(service);
  open->set_key(key);
  open->set_holder(lock.claim.holder);
  const ControlOutcome opened = context_.control.Call(yield, command, deadline);
  if (opened.certainty == ControlCertainty::kUncertain) {
    ReleaseUncertain(context_, lock.hold, lock.claim, "");
  }
  if (opened.certainty != ControlCertainty::kDone) {
    return false;
  }
  const ClaimOutcome& outcome = opened.result.claim();
  *lost = outcome.verdict() == ClaimOutcome::UNKNOWN;
  if (outcome.verdict() == ClaimOutcome::STALE_HOLDER) {
    context_.RenewHolder(lock.claim.holder);
  }
  if (outcome.verdict() != ClaimOutcome::GRANTED) {
    return false;
  }
  lock.claim.attempt = outcome.attempt();
  permit.locks.push_back(std::move(lock));
  return true;
}

void PoisonGuard::LockTarget(Yield yield,
                             const GuardedRequest& request,
                             const ChooseTarget& choose,
                             TryPermit& permit) {
  std::vector<std::string> taken;
  while (Clock::now() < request.deadline) {
    const RoutedTargetPtr target = choose(taken);
    if (!target) {
      taken.clear();
      SleepFor(yield, kLockPause);
      continue;
    }
    const std::string key =
        fmt::format("{}#{}", target->target.id, target->target.incarnation);
    bool lost = false;
    if (TryLock(yield, std::string(kTargetClaims), key, request.deadline,
                permit, &lost)) {
      permit.target = target;
      permit.quarantined = true;
      return;
    }
    taken.push_back(target->target.id);
  }
  Unlock(permit);
}

void PoisonGuard::Unlock(TryPermit& permit) {
  for (const TryPermit::Lock& lock : std::exchange(permit.locks, {})) {
    Release(context_, lock.hold, lock.claim);
  }
}

void PoisonGuard::Ended(Yield yield,
                        const GuardedRequest& request,
                        TryPermit& permit,
                        std::error_code error) {
  if (!error) {
    ShareAll(registry_.OnFinished(request.digest, Clock::now()));
  } else if (permit.target && Died(yield, permit.target->target, error)) {
    const Target& target = permit.target->target;
    Log(LogLevel::kWarning, "target_died",
        {{"target", target.id},
         {"digest", request.digest},
         {"quarantined", permit.quarantined}});
    ShareAll(registry_.OnTargetCrashed({target.id, target.incarnation},
                                       request.digest, permit.quarantined,
                                       Clock::now()));
    SleepFor(yield, kMarkSpread);
  }
  Unlock(permit);
}

bool PoisonGuard::Died(Yield yield,
                       const Target& target,
                       std::error_code error) {
  if (!context_.settings.poison_guard || error == HttpError::kNoProgress ||
      error == HttpError::kDeadlineExceeded) {
    return false;
  }
  HttpRequest health;
  health.path = "/health";
  // A process that is just ending may still take connections.
  for (int probe = 0; probe < kHealthProbes; ++probe) {
    HttpCallOptions options;
    options.deadline = Clock::now() + kHealthTime;
    options.fresh_connection = true;
    const CallProgress progress =
        context_.client.Call(yield, target.address, health, options).progress;
    if (progress != CallProgress::kMaybeRan) {
      return progress == CallProgress::kNotSent;
    }
    SleepFor(yield, kHealthPause);
  }
  return true;
}

void PoisonGuard::ShareAll(const std::vector<PoisonMark>& marks) {
  for (const PoisonMark& mark : marks) {
    share_(Encode(mark));
  }
}

void PoisonGuard::OnMark(const std::string& text) {
  PoisonMark mark;
  if (text.starts_with(kPoisonMarkPrefix) && Decode(text, &mark)) {
    registry_.Merge({&mark, 1}, Clock::now());
  }
}

}  // namespace limpethatch
