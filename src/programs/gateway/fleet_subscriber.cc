#include "programs/gateway/fleet_subscriber.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <utility>

#include "envelope.pb.h"
#include "limpethatch/process/boot_time.h"
#include "limpethatch/process/bounded_number.h"
#include "limpethatch/process/compression.h"
#include "limpethatch/process/log.h"

namespace limpethatch {
namespace {

using std::chrono::milliseconds;

// Control instances push changes; the periodic watch request detects that the
// current one is unreachable. A change must be in force within 2 s, so both the
// period and the reply timeout are a fraction of that.
constexpr Duration kWatchPeriod = milliseconds(700);
constexpr Duration kReplyTimeout = milliseconds(300);
// While a configuration is on its way, the reply comes behind it.
constexpr Duration kTransferReplyTimeout = std::chrono::seconds(1);
constexpr Duration kCheckPeriod = milliseconds(100);
// Targets are current for a little longer than one watch period and its reply.
constexpr Duration kMaxTargetsAge = milliseconds(1200);
// Settings name at most three seeds. The part of a gateway's hash that chose
// its seed does not choose the next instance.
constexpr size_t kMaxSeeds = 3;

std::optional<milliseconds> StateAge(const wire::FleetNews& news) {
  if (!news.has_state_age_ms()) {
    return std::nullopt;
  }
  return std::chrono::floor<milliseconds>(
      BoundedTime<milliseconds>(news.state_age_ms()));
}

// The configuration in `news` if it is newer than `version`.
std::optional<wire::FleetConfiguration> NewerConfiguration(
    const wire::FleetNews& news,
    uint64_t version) {
  if (news.has_configuration() && news.configuration().version() > version) {
    return news.configuration();
  }
  if (news.packed_configuration().empty() ||
      news.configuration_version() <= version) {
    return std::nullopt;
  }
  const std::optional<std::string> bytes =
      DecompressCommand(news.packed_configuration());
  wire::FleetConfiguration configuration;
  if (!bytes || !configuration.ParseFromString(*bytes)) {
    Log(LogLevel::kError, "configuration_unreadable",
        {{"version", news.configuration_version()},
         {"from", news.from()},
         {"bytes", news.packed_configuration().size()}});
    return std::nullopt;
  }
  return configuration;
}

}  // namespace

FleetSubscriber::FleetSubscriber(TimerService& timers,
                                 Messenger& messenger,
                                 const GatewaySettings& settings,
                                 Callbacks callbacks)
    : timers_(timers),
      messenger_(messenger),
      settings_(settings),
      callbacks_(std::move(callbacks)),
      spread_(std::hash<std::string>()(settings.process.id)),
      freshness_(Clock::now()) {
  for (const Endpoint& endpoint : settings.ControlEndpoints()) {
    AddControlInstance(endpoint);
  }
  current_index_ = spread_ % control_instances_.size();
}

void FleetSubscriber::Start() {
  started_ = true;
  SendWatch(Clock::now());
  timers_.Every(kCheckPeriod, [this](TimePoint now) { CheckReply(now); });
}

void FleetSubscriber::AddControlInstance(const Endpoint& control_instance) {
  if (std::none_of(control_instances_.begin(), control_instances_.end(),
                   [&](const ControlInstance& known) {
                     return known.endpoint == control_instance;
                   })) {
    control_instances_.push_back({.endpoint = control_instance});
  }
}

void FleetSubscriber::OfferRelay(const wire::RelayGateway& offer) {
  relay_offer_ = offer;
  if (started_) {
    SendWatch(Clock::now());
  }
}

void FleetSubscriber::CheckReply(TimePoint now) {
  const Duration elapsed = now - watch_sent_at_;
  const Duration timeout =
      freshness_.ExpectsTransfer(now) ? kTransferReplyTimeout : kReplyTimeout;
  if (!reply_received_ && elapsed >= timeout) {
    reply_missed_ = true;
    messenger_.Reset(current().endpoint, watch_sent_at_);
    Log(LogLevel::kInfo, "control_instance_abandoned",
        {{"control", current().endpoint.ToString()}, {"reason", "no_answer"}});
    SwitchControlInstance(now);
  } else if (reply_received_ && elapsed >= kWatchPeriod) {
    SendWatch(now);
  }
}

size_t FleetSubscriber::NextControlInstance() const {
  const size_t count = control_instances_.size();
  std::optional<size_t> untried;
  const size_t others = count - 1;
  for (size_t i = 0; i < others; ++i) {
    const size_t step = 1 + (spread_ / kMaxSeeds + i) % others;
    const size_t index = (current_index_ + step) % count;
    const ControlInstance& candidate = control_instances_[index];
    if (!candidate.tried && candidate.reachable) {
      return index;
    }
    if (!candidate.tried && !untried) {
      untried = index;
    }
  }
  return untried.value_or((current_index_ + 1) % count);
}

void FleetSubscriber::SwitchControlInstance(TimePoint now) {
  has_quorum_contact_ = false;
  current().tried = true;
  const bool all_tried =
      std::all_of(control_instances_.begin(), control_instances_.end(),
                  [](const ControlInstance& known) { return known.tried; });
  current_index_ = NextControlInstance();
  if (!all_tried) {
    SendWatch(now);
    return;
  }
  for (ControlInstance& known : control_instances_) {
    known.tried = false;
  }
  if (!routes_ && unconfirmed_) {
    PutInForce(unconfirmed_->news, std::move(unconfirmed_->configuration));
  }
  // The next round begins with the next periodic check and not at once, as all
  // control instances may be without a quorum.
  reply_received_ = true;
  watch_sent_at_ = now - kWatchPeriod;
}

void FleetSubscriber::SendWatch(TimePoint now) {
  wire::Envelope envelope;
  wire::Watch& watch = *envelope.mutable_watch();
  watch.set_reply_to(settings_.peers.ToString());
  watch.set_instance(settings_.process.id);
  watch.set_configuration_version(routes_ ? routes_->version() : 0);
  watch.set_epoch(epoch_);
  watch.set_revision(revision_);
  watch.set_answer_missed(std::exchange(reply_missed_, false));
  *watch.mutable_relay() = relay_offer_;
  watch_sent_at_ = now;
  reply_received_ = false;
  messenger_.Send(current().endpoint, envelope.SerializeAsString());
}

void FleetSubscriber::OnFleetNews(const wire::FleetNews& news) {
  for (const std::string& text : news.control_endpoints()) {
    Endpoint control_instance;
    if (ParseEndpoint(text, &control_instance)) {
      AddControlInstance(control_instance);
      callbacks_.on_control_instance(control_instance);
    }
  }
  // A newer configuration is accepted from any control instance, as versions
  // only increase. The first one must be recent, though.
  const TimePoint now = Clock::now();
  if (auto newer = NewerConfiguration(news, routes_ ? routes_->version() : 0)) {
    if (routes_ || news.quorum_contact()) {
      PutInForce(news, std::move(*newer));
    } else {
      OfferUnconfirmed(news, *newer);
    }
  }
  ReportFreshness(news, now);
  if (news.from() != current().endpoint.ToString()) {
    return;
  }
  reply_received_ = true;
  if (news.base_revision() == 0 || news.epoch() != epoch_ ||
      news.base_revision() <= revision_) {
    ApplyTargets(news);
  }
  if (has_quorum_contact_ != news.quorum_contact()) {
    has_quorum_contact_ = news.quorum_contact();
    Log(LogLevel::kInfo,
        has_quorum_contact_ ? "quorum_contact_established"
                            : "quorum_contact_lost",
        {{"control", news.from()}, {"state_age_ms", StateAge(news)}});
  }
  if (!news.quorum_contact()) {
    SwitchControlInstance(now);
    return;
  }
  last_quorum_contact_at_ = now;
  last_quorum_contact_boot_time_ = TimeSinceBoot();
  freshness_.SetInstances(static_cast<size_t>(news.control_endpoints_size()));
  callbacks_.on_target_rates(news.target_rates());
  callbacks_.on_suspects(news.suspects());
  if (news.usage_window_ms() > 0) {
    callbacks_.on_usage_window(
        BoundedTime<milliseconds>(news.usage_window_ms()));
  }
  if (news.has_relays()) {
    callbacks_.on_relays(news.relays());
  }
  for (ControlInstance& known : control_instances_) {
    known.tried = false;
    known.reachable =
        std::find(news.control_endpoints().begin(),
                  news.control_endpoints().end(),
                  known.endpoint.ToString()) != news.control_endpoints().end();
  }
}

void FleetSubscriber::ReportFreshness(const wire::FleetNews& news,
                                      TimePoint now) {
  ConfigurationReport report;
  report.instance = news.from();
  report.version = news.configuration_version();
  if (report.version == 0) {
    // An earlier release, which sends the configuration whenever it is newer.
    report.version = news.has_configuration() ? news.configuration().version()
                     : routes_                ? routes_->version()
                                              : 0;
  }
  report.knows_leader = !news.leader().empty();
  if (news.quorum_contact()) {
    report.age = StateAge(news);
  }
  freshness_.OnReport(report, now);
}

void FleetSubscriber::OfferUnconfirmed(
    const wire::FleetNews& news,
    const wire::FleetConfiguration& configuration) {
  if (!unconfirmed_ ||
      unconfirmed_->configuration.version() < configuration.version()) {
    unconfirmed_.emplace(UnconfirmedConfiguration{news, configuration});
    unconfirmed_->news.clear_targets();
    unconfirmed_->news.clear_packed_configuration();
  }
}

void FleetSubscriber::PutInForce(const wire::FleetNews& news,
                                 wire::FleetConfiguration configuration) {
  routes_ = std::make_shared<RouteTable>(std::move(configuration));
  freshness_.OnInForce(routes_->version());
  Log(LogLevel::kInfo, "configuration_in_force",
      {{"version", routes_->version()},
       {"from", news.from()},
       {"quorum_contact", news.quorum_contact()},
       {"state_age_ms", StateAge(news)}});
  unconfirmed_.reset();
}

void FleetSubscriber::ApplyTargets(const wire::FleetNews& news) {
  if (news.epoch() != epoch_ && news.base_revision() != 0) {
    return;  // An incremental update to a target table of another epoch.
  }
  if (news.epoch() == epoch_ && news.revision() <= revision_) {
    return;
  }
  epoch_ = news.epoch();
  revision_ = news.revision();
  bool changed = false;
  for (const wire::TargetRecord& target : news.targets()) {
    if (target.draining()) {
      changed |= MarkLeavingRecord(target.id(), target.born_ms());
    }
    wire::TargetRecord& known = target_records_[target.id()];
    if (known.born_ms() > target.born_ms() ||
        (known.born_ms() == target.born_ms() &&
         (known.gone() || known.sequence() > target.sequence()) &&
         !target.gone())) {
      // Another control instance sent a newer record: of a later incarnation or
      // announcement, or the end of this incarnation.
      continue;
    }
    known = target;
    changed = true;
    if (known.gone()) {
      leaving_.erase(known.id());
    }
    callbacks_.on_target(target);
  }
  if (changed) {
    RebuildTargetTable();
  }
}

bool FleetSubscriber::MarkLeavingRecord(const std::string& target,
                                        uint64_t incarnation) {
  const auto [known, added] = leaving_.try_emplace(target, incarnation);
  if (!added && known->second >= incarnation) {
    return false;
  }
  known->second = incarnation;
  return true;
}

bool FleetSubscriber::MarkLeaving(const std::string& target,
                                  uint64_t incarnation) {
  if (!MarkLeavingRecord(target, incarnation)) {
    return false;
  }
  RebuildTargetTable();
  return true;
}

bool FleetSubscriber::HasCurrentTargets() const {
  return has_quorum_contact_ &&
         TimeSinceBoot() - last_quorum_contact_boot_time_ < kMaxTargetsAge;
}

void FleetSubscriber::RebuildTargetTable() {
  std::vector<Target> targets;
  for (const auto& [id, record] : target_records_) {
    Target target;
    if (record.gone() || !ParseEndpoint(record.address(), &target.address)) {
      continue;
    }
    target.id = id;
    target.service = record.service();
    target.zone = record.zone();
    target.slots = std::max<uint32_t>(record.slots(), 1);
    target.incarnation = record.born_ms();
    target.software_version = record.software_version();
    const auto leaving = leaving_.find(id);
    target.leaving =
        leaving != leaving_.end() && leaving->second == record.born_ms();
    targets.push_back(std::move(target));
  }
  TargetTable next(std::move(targets), &target_table_);
  target_table_ = std::move(next);
  Log(LogLevel::kInfo, "targets_changed",
      {{"targets", target_table_.targets().size()}, {"revision", revision_}});
}

}  // namespace limpethatch
