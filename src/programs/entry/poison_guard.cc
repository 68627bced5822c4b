#include "programs/entry/poison_guard.h"

#include <fmt/format.h>

#include <charconv>
#include <utility>

#include "limpethatch/connection/http_error.h"
#include "limpethatch/process/log.h"

namespace limpethatch {
namespace {

// Claims of the guard use these in place of a service name. They can't clash,
// since service names can't begin with "!".
constexpr std::string_view kContentClaimService = "!suspect";
constexpr std::string_view kTargetClaimService = "!quarantine";
constexpr Duration kClaimRetryDelay = std::chrono::milliseconds(100);
// Time in which a mark reaches all reachable instances.
constexpr Duration kMarkPropagationDelay = std::chrono::milliseconds(800);
constexpr int kHealthProbes = 3;
constexpr Duration kHealthTimeout = std::chrono::milliseconds(500);
constexpr Duration kHealthProbeInterval = std::chrono::milliseconds(50);

using wire::ClaimOutcome;

std::string EncodeMark(const PoisonMark& mark) {
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

bool DecodeMark(std::string_view text, PoisonMark* mark) {
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

AttemptPermit PoisonGuard::AcquirePermit(Yield yield,
                                         const GuardedRequest& request,
                                         const ChooseTarget& choose) {
  AttemptPermit permit;
  bool outcome_unknown = false;
  while (true) {
    const PoisonStatus status =
        registry_.StatusOf(request.digest, Clock::now());
    if (status == PoisonStatus::kRefused || outcome_unknown) {
      ReleaseClaims(permit);
      permit.refused = true;
      return permit;
    }
    if (status == PoisonStatus::kClear) {
      ReleaseClaims(permit);
      permit.target = choose({});
      return permit;
    }
    if (!permit.claims.empty()) {
      ClaimTarget(yield, request, choose, permit);
      return permit;
    }
    if (Clock::now() >= request.deadline) {
      return permit;
    }
    // The loop checks the status again after the claim is granted, since marks
    // may have arrived while waiting.
    if (!TryClaim(yield, std::string(kContentClaimService), request.digest,
                  request.deadline, permit, &outcome_unknown)) {
      SleepFor(yield, kClaimRetryDelay);
    }
  }
}

bool PoisonGuard::TryClaim(Yield yield,
                           const std::string& service,
                           const std::string& key,
                           TimePoint deadline,
                           AttemptPermit& permit,
                           bool* outcome_unknown) {
  AttemptPermit::HeldClaim held_claim{
      {service, key, context_.Holder(), 0},
      context_.key_locks.TryAcquire(service, key)};
  if (!held_claim.key_lock) {
    return false;
  }
  wire::Command command;
  wire::ClaimOpen* open = command.mutable_claim_open();
  open->set_service(service);
  open->set_key(key);
  open->set_holder(held_claim.claim.holder);
  const ControlOutcome opened = context_.control.Call(yield, command, deadline);
  if (opened.certainty == ControlCertainty::kUncertain) {
    ReleaseUncertainClaim(context_, held_claim.key_lock, held_claim.claim, "");
  }
  if (opened.certainty != ControlCertainty::kDone) {
    return false;
  }
  const ClaimOutcome& outcome = opened.result.claim();
  *outcome_unknown = outcome.verdict() == ClaimOutcome::UNKNOWN;
  if (outcome.verdict() == ClaimOutcome::STALE_HOLDER) {
    context_.RenewHolder(held_claim.claim.holder);
  }
  if (outcome.verdict() != ClaimOutcome::GRANTED) {
    return false;
  }
  held_claim.claim.attempt = outcome.attempt();
  permit.claims.push_back(std::move(held_claim));
  return true;
}

void PoisonGuard::ClaimTarget(Yield yield,
                              const GuardedRequest& request,
                              const ChooseTarget& choose,
                              AttemptPermit& permit) {
  std::vector<std::string> excluded_targets;
  while (Clock::now() < request.deadline) {
    const RoutedTargetPtr target = choose(excluded_targets);
    if (!target) {
      excluded_targets.clear();
      SleepFor(yield, kClaimRetryDelay);
      continue;
    }
    const std::string key =
        fmt::format("{}#{}", target->target.id, target->target.incarnation);
    // Ignored: a target is skipped for whatever reason it can't be claimed.
    bool outcome_unknown = false;
    if (TryClaim(yield, std::string(kTargetClaimService), key, request.deadline,
                 permit, &outcome_unknown)) {
      permit.target = target;
      permit.quarantined = true;
      return;
    }
    excluded_targets.push_back(target->target.id);
  }
  ReleaseClaims(permit);
}

void PoisonGuard::ReleaseClaims(AttemptPermit& permit) {
  for (const AttemptPermit::HeldClaim& held_claim :
       std::exchange(permit.claims, {})) {
    ReleaseClaim(context_, held_claim.key_lock, held_claim.claim);
  }
}

void PoisonGuard::OnAttemptEnded(Yield yield,
                                 const GuardedRequest& request,
                                 AttemptPermit& permit,
                                 std::error_code error) {
  if (!error) {
    ShareMarks(registry_.OnFinished(request.digest, Clock::now()));
  } else if (permit.target && HasCrashed(yield, permit.target->target, error)) {
    const Target& target = permit.target->target;
    Log(LogLevel::kWarning, "target_crashed",
        {{"target", target.id},
         {"digest", request.digest},
         {"quarantined", permit.quarantined}});
    ShareMarks(registry_.OnTargetCrashed({target.id, target.incarnation},
                                         request.digest, permit.quarantined,
                                         Clock::now()));
    SleepFor(yield, kMarkPropagationDelay);
  }
  ReleaseClaims(permit);
}

bool PoisonGuard::HasCrashed(Yield yield,
                             const Target& target,
                             std::error_code error) {
  if (!context_.settings.poison_guard || error == HttpError::kNoProgress ||
      error == HttpError::kDeadlineExceeded) {
    return false;
  }
  HttpRequest health;
  health.path = "/health";
  // A crashing process may still accept connections for a moment, so a probe
  // that was sent but not answered is repeated.
  for (int probe = 0; probe < kHealthProbes; ++probe) {
    HttpCallOptions options;
    options.deadline = Clock::now() + kHealthTimeout;
    options.fresh_connection = true;
    const CallProgress progress =
        context_.client.Call(yield, target.address, health, options).progress;
    if (progress != CallProgress::kMaybeRan) {
      return progress == CallProgress::kNotSent;
    }
    SleepFor(yield, kHealthProbeInterval);
  }
  return true;
}

void PoisonGuard::ShareMarks(const std::vector<PoisonMark>& marks) {
  for (const PoisonMark& mark : marks) {
    share_mark_(EncodeMark(mark));
  }
}

void PoisonGuard::OnMark(const std::string& text) {
  PoisonMark mark;
  if (text.starts_with(kPoisonMarkPrefix) && DecodeMark(text, &mark)) {
    registry_.Merge({&mark, 1}, Clock::now());
  }
}

}  // namespace limpethatch
