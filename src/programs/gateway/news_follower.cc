#include "programs/gateway/news_follower.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "envelope.pb.h"
#include "limpethatch/process/log.h"

namespace limpethatch {
namespace {

// Changes are pushed; asking finds out that the other side is gone. Both this
// and the wait for an answer fit several times into the 2 s in which a change
// has to be in force.
constexpr Duration kAskPeriod = std::chrono::milliseconds(700);
constexpr Duration kAnswerTime = std::chrono::milliseconds(300);
constexpr Duration kCheckPeriod = std::chrono::milliseconds(100);

}  // namespace

NewsFollower::NewsFollower(TimerService& timers,
                           Messenger& messenger,
                           const GatewaySettings& settings,
                           Listener listener)
    : timers_(timers),
      messenger_(messenger),
      settings_(settings),
      listener_(std::move(listener)),
      controls_(settings.ControlEndpoints()) {
  // Gateways spread over the control instances.
  current_ = std::hash<std::string>()(settings.process.id) % controls_.size();
}

void NewsFollower::Start() {
  Ask(Clock::now());
  timers_.Every(kCheckPeriod, [this](TimePoint now) { Check(now); });
}

void NewsFollower::AddControl(const Endpoint& control) {
  if (std::find(controls_.begin(), controls_.end(), control) ==
      controls_.end()) {
    controls_.push_back(control);
  }
}

void NewsFollower::Check(TimePoint now) {
  const Duration waited = now - asked_at_;
  if (!answered_ && waited >= kAnswerTime) {
    answer_missed_ = true;
    messenger_.Reset(controls_[current_]);
    MoveOn("no_answer", now);
  } else if (answered_ && waited >= kAskPeriod) {
    Ask(now);
  }
}

void NewsFollower::MoveOn(std::string_view reason, TimePoint now) {
  Log(LogLevel::kInfo, "control_instance_left",
      {{"control", controls_[current_].ToString()}, {"reason", reason}});
  in_touch_ = false;
  current_ = (current_ + 1) % controls_.size();
  Ask(now);
}

void NewsFollower::Ask(TimePoint now) {
  wire::Envelope envelope;
  wire::Watch& watch = *envelope.mutable_watch();
  watch.set_reply_to(settings_.peers.ToString());
  watch.set_instance(settings_.process.id);
  watch.set_configuration_version(routes_ ? routes_->version() : 0);
  watch.set_epoch(epoch_);
  watch.set_revision(revision_);
  watch.set_answer_missed(std::exchange(answer_missed_, false));
  asked_at_ = now;
  answered_ = false;
  messenger_.Send(controls_[current_], envelope.SerializeAsString());
}

void NewsFollower::Receive(const wire::FleetNews& news) {
  for (const std::string& text : news.control_endpoints()) {
    Endpoint control;
    if (ParseEndpoint(text, &control)) {
      AddControl(control);
      listener_.control_instance(control);
    }
  }
  // A configuration is good wherever it comes from: versions only grow.
  if (news.has_configuration() &&
      (!routes_ || news.configuration().version() > routes_->version())) {
    routes_ = std::make_shared<RouteTable>(news.configuration());
    Log(LogLevel::kInfo, "configuration_in_force",
        {{"version", routes_->version()}, {"from", news.from()}});
  }
  if (news.from() != controls_[current_].ToString()) {
    return;
  }
  answered_ = true;
  if (news.base_revision() == 0 || news.epoch() != epoch_ ||
      news.base_revision() <= revision_) {
    TakeTargets(news);
  }
  if (news.quorum_contact()) {
    touched_at_ = Clock::now();
  }
  if (in_touch_ != news.quorum_contact()) {
    in_touch_ = news.quorum_contact();
    Log(LogLevel::kInfo, in_touch_ ? "in_touch" : "out_of_touch",
        {{"control", news.from()}});
  }
  if (!news.quorum_contact() && controls_.size() > 1) {
    // Not at once, as all of them may be without a quorum.
    answered_ = true;
    current_ = (current_ + 1) % controls_.size();
    asked_at_ = Clock::now() - kAskPeriod;
  }
}

void NewsFollower::TakeTargets(const wire::FleetNews& news) {
  if (news.epoch() != epoch_ && news.base_revision() != 0) {
    return;  // A change to a table that is not known here.
  }
  if (news.epoch() == epoch_ && news.revision() <= revision_) {
    return;
  }
  epoch_ = news.epoch();
  revision_ = news.revision();
  bool changed = false;
  for (const wire::TargetRecord& target : news.targets()) {
    wire::TargetRecord& known = records_[target.id()];
    if (known.born_ms() > target.born_ms() ||
        (known.born_ms() == target.born_ms() &&
         (known.gone() || known.sequence() > target.sequence()) &&
         !target.gone())) {
      continue;  // Another control instance knew more.
    }
    known = target;
    changed = true;
  }
  if (changed) {
    RebuildTable();
  }
}

void NewsFollower::RebuildTable() {
  std::vector<Target> targets;
  for (const auto& [id, record] : records_) {
    Target target;
    if (record.gone() || !ParseEndpoint(record.address(), &target.address)) {
      continue;
    }
    target.id = id;
    target.service = record.service();
    target.zone = record.zone();
    target.slots = std::max<uint32_t>(record.slots(), 1);
    target.incarnation = record.born_ms();
    target.leaving = record.draining();
    targets.push_back(std::move(target));
  }
  TargetTable next(std::move(targets), &table_);
  table_ = std::move(next);
  Log(LogLevel::kInfo, "targets_changed",
      {{"targets", table_.targets().size()}, {"revision", revision_}});
}

}  // namespace limpethatch
