#include "programs/control/usage_reporter.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "limpethatch/process/log.h"
#include "limpethatch/version/usage/usage_window.h"

namespace limpethatch {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kDuty = "usage";
constexpr Duration kCallTimeout = std::chrono::seconds(1);
constexpr size_t kMaxAnswerBytes = 64UL * 1024;
// Time after which a proposal that has not been applied is repeated. Commands
// are applied within a few milliseconds, or the leader loses its lease.
constexpr Duration kProposalTimeout = milliseconds(500);
// The part of the time until a report is due that passes before the window is
// recorded: 4 of 10 s. Gateways send their counts in it, and a leader that is
// elected afterwards still has time for the report.
constexpr double kRecordDelayShare = 0.4;

UsageRecorderOptions RecorderOptions(const DutySettings& settings) {
  UsageRecorderOptions options;
  options.window = settings.usage_window;
  options.record_delay = std::chrono::duration_cast<Duration>(
      settings.usage_due * kRecordDelayShare);
  return options;
}

uint64_t CountRequests(const wire::UsageWindow& window) {
  uint64_t requests = 0;
  for (const wire::OrganisationUsage& usage : window.counts()) {
    requests += usage.requests();
  }
  return requests;
}

int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

UsageReportOutcome ToReportOutcome(platform::DutyAnswer answer) {
  switch (answer) {
    case platform::DutyAnswer::kDone:
      return UsageReportOutcome::kAcknowledged;
    case platform::DutyAnswer::kLimited:
      return UsageReportOutcome::kUnavailable;
    case platform::DutyAnswer::kFenced:
    case platform::DutyAnswer::kFailed:
      return UsageReportOutcome::kRefused;
  }
  return UsageReportOutcome::kRefused;
}

const char* LogName(platform::DutyAnswer answer) {
  switch (answer) {
    case platform::DutyAnswer::kDone:
      return "acknowledged";
    case platform::DutyAnswer::kFenced:
      return "fenced";
    case platform::DutyAnswer::kLimited:
      return "limited";
    case platform::DutyAnswer::kFailed:
      return "failed";
  }
  return "unknown";
}

}  // namespace

UsageReporter::UsageReporter(boost::asio::io_context& io,
                             const DutySettings& settings,
                             std::string name,
                             DutyLeaseOptions lease,
                             const WallClock& wall_clock,
                             Host host)
    : io_(io),
      settings_(settings),
      name_(std::move(name)),
      wall_clock_(wall_clock),
      host_(std::move(host)),
      client_(io, HttpClientOptions{}),
      lease_(name_, lease),
      recorder_(RecorderOptions(settings)) {}

void UsageReporter::OnLeadershipChange() {
  recorder_.Reset();
  queue_.Reset();
  next_claim_at_ = TimePoint();
  next_settled_at_ = TimePoint();
  proposed_window_.reset();
  TrackHolding(std::nullopt);
}

void UsageReporter::Run(TimePoint now) {
  const DutyLeadership leadership = host_.leadership(now);
  if (!leadership.active ||
      host_.ledger().log_format() < LogFormat::kOrganisations) {
    return;
  }
  Claim(now, leadership);
  Record(now, leadership);
  StartReport(now);
}

std::optional<wire::UsageCountsReply> UsageReporter::Receive(
    const wire::UsageCounts& counts) {
  const UsageLedger& ledger = host_.ledger().usage();
  const UsageCountsOutcome outcome =
      recorder_.Collect(counts, ledger, wall_clock_.Now());
  if (outcome == UsageCountsOutcome::kLate ||
      outcome == UsageCountsOutcome::kNotStored) {
    Log(LogLevel::kWarning,
        outcome == UsageCountsOutcome::kLate ? "usage_counts_late"
                                             : "usage_counts_not_stored",
        {{"gateway", counts.instance()},
         {"window", counts.window().number()},
         {"next_window", ledger.next_window()},
         {"requests", CountRequests(counts.window())}});
  }
  if (outcome == UsageCountsOutcome::kNotStored) {
    return std::nullopt;
  }
  wire::UsageCountsReply reply;
  reply.set_next_window(ledger.next_window());
  return reply;
}

std::optional<uint64_t> UsageReporter::Token(TimePoint now) {
  return lease_.TokenAt(now, host_.leadership(now),
                        host_.ledger().duties().Find(kDuty));
}

void UsageReporter::TrackHolding(const std::optional<uint64_t>& token) {
  if (std::exchange(holds_duty_, token.has_value()) != token.has_value()) {
    Log(LogLevel::kInfo, token ? "duty_held" : "duty_lost",
        {{"duty", kDuty}, {"token", token.value_or(0)}});
  }
}

void UsageReporter::Claim(TimePoint now, const DutyLeadership& leadership) {
  const DutyHolding holding = host_.ledger().duties().Find(kDuty);
  if (now < next_claim_at_ || !lease_.MustClaim(leadership, holding)) {
    return;
  }
  next_claim_at_ = now + kProposalTimeout;
  wire::Command command;
  wire::DutyClaim& claim = *command.mutable_duty_claim();
  claim.set_duty(std::string(kDuty));
  claim.set_holder(name_);
  claim.set_term(leadership.term);
  claim.set_refused_token(lease_.refused_token());
  const bool proposed = host_.propose(command);
  Log(LogLevel::kInfo, "duty_claim",
      {{"duty", kDuty},
       {"term", leadership.term},
       {"previous_holder", holding.holder},
       {"previous_token", holding.token},
       {"refused_token", lease_.refused_token()},
       {"outcome", proposed ? "proposed" : "not_proposed"}});
}

void UsageReporter::Record(TimePoint now, const DutyLeadership& leadership) {
  const FleetLedger& ledger = host_.ledger();
  const WallTime wall_now = wall_clock_.Now();
  const std::optional<wire::UsageRecord> planned = recorder_.Plan(
      ledger.usage(), ledger.configuration().organisations_size() > 0, wall_now,
      now - leadership.since);
  wire::UsageRecord settled;
  if (planned) {
    *settled.mutable_settled() = planned->settled();
  }
  const int too_old = settled.settled_size();
  for (const uint64_t window : queue_.AcknowledgedIn(ledger.usage())) {
    settled.add_settled(window);
  }
  if (!settled.settled().empty() && now >= next_settled_at_) {
    next_settled_at_ = now + kProposalTimeout;
    Propose(settled);
    Log(too_old > 0 ? LogLevel::kWarning : LogLevel::kDebug,
        "usage_windows_settled",
        {{"windows", settled.settled_size()}, {"unreported", too_old}});
  }
  if (!planned || (!planned->has_window() && planned->first_window() == 0)) {
    return;
  }
  const bool begins = !planned->has_window();
  const uint64_t number =
      begins ? planned->first_window() : planned->window().number();
  const std::pair window(number, begins);
  if (proposed_window_ == window &&
      now < window_proposed_at_ + kProposalTimeout) {
    return;
  }
  proposed_window_ = window;
  window_proposed_at_ = now;
  wire::UsageRecord record = *planned;
  record.clear_settled();
  const bool proposed = Propose(record);
  const Duration since_end =
      wall_now - UsageWindowEnd(number, settings_.usage_window);
  Log(LogLevel::kInfo, begins ? "usage_windows_begin" : "usage_window_recorded",
      {{"window", number},
       {"organisations", record.window().counts_size()},
       {"requests", CountRequests(record.window())},
       {"gateways", recorder_.CountInstances(number)},
       {"after_end_ms", ToMilliseconds(since_end)},
       {"outcome", proposed ? "proposed" : "not_proposed"}});
}

bool UsageReporter::Propose(const wire::UsageRecord& record) {
  wire::Command command;
  *command.mutable_usage_record() = record;
  return host_.propose(command);
}

void UsageReporter::StartReport(TimePoint now) {
  TrackHolding(Token(now));
  if (calling_ || !holds_duty_ || !queue_.Next(host_.ledger().usage(), now)) {
    return;
  }
  calling_ = true;
  Spawn(io_, [this](Yield yield) {
    Report(yield);
    calling_ = false;
  });
}

void UsageReporter::Report(Yield yield) {
  const TimePoint start = Clock::now();
  const std::optional<uint64_t> token = Token(start);
  const wire::UsageWindow* next = queue_.Next(host_.ledger().usage(), start);
  if (!token || !next) {
    return;
  }
  const wire::UsageWindow window = *next;
  HttpCallOptions options;
  options.deadline = start + kCallTimeout;
  options.connect_timeout = DutyLeaseOptions().send_bound;
  options.fresh_connection = true;
  options.max_body_bytes = kMaxAnswerBytes;
  const HttpOutcome outcome = client_.Call(
      yield, settings_.platform,
      platform::EncodeUsageReport(window, {name_, *token}), options);
  const TimePoint now = Clock::now();
  const bool answered = outcome.progress == CallProgress::kAnswered;
  const platform::DutyAnswer answer =
      answered ? platform::DecodeDutyAnswer(outcome.response.status)
               : platform::DutyAnswer::kFailed;
  const Duration since_end =
      wall_clock_.Now() -
      UsageWindowEnd(window.number(), settings_.usage_window);
  const bool done = answer == platform::DutyAnswer::kDone;
  Log(done ? LogLevel::kInfo : LogLevel::kWarning, "usage_reported",
      {{"window", window.number()},
       {"token", *token},
       {"organisations", window.counts_size()},
       {"requests", CountRequests(window)},
       {"outcome", answered ? LogName(answer) : "unanswered"},
       {"status", outcome.response.status},
       {"reason", answered ? "" : outcome.error.message()},
       {"after_end_ms", ToMilliseconds(since_end)},
       {"late", since_end > settings_.usage_due},
       {"took_ms", ToMilliseconds(now - start)}});
  if (answer == platform::DutyAnswer::kFenced) {
    lease_.OnRefused(*token, now);
  }
  windows_reported_ += done ? 1 : 0;
  queue_.OnAnswer(
      window.number(),
      answered ? ToReportOutcome(answer) : UsageReportOutcome::kUnavailable,
      now);
}

}  // namespace limpethatch
