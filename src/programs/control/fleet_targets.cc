// Targets, and the gateways that are notified of their changes.
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/wire_format_lite.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "limpethatch/process/compression.h"
#include "limpethatch/process/log.h"
#include "programs/control/fleet_service.h"

namespace limpethatch {
namespace {

using std::chrono::milliseconds;

constexpr const char* kTargetsFile = "targets";
// Changes of targets within this time are saved together.
constexpr Duration kSaveDelay = milliseconds(150);
// Of refused announcements, one in this time is logged, with the start of its
// id.
constexpr Duration kRefusalLogPeriod = std::chrono::seconds(1);
constexpr size_t kMaxLoggedIdBytes = 64;
// Changes within this time are pushed to gateways together.
constexpr Duration kPushDelay = milliseconds(2);
// Gateways do not use the age of a target's record to the second.
constexpr Duration kMaxPackedTargetsAge = std::chrono::seconds(1);
// Configurations are sent in slices of about this size, and at this period:
// less than the link of a control machine carries.
constexpr size_t kMaxSliceBytes = 512UL * 1024;
constexpr Duration kSlicePeriod = milliseconds(10);

// The serialised envelope of `news` with further fields of the news, which are
// serialised already: protobuf merges the concatenation of two messages.
std::string EnvelopeOf(const wire::FleetNews& news,
                       const std::string& more_fields) {
  std::string bytes;
  {
    google::protobuf::io::StringOutputStream stream(&bytes);
    google::protobuf::io::CodedOutputStream output(&stream);
    output.WriteTag(google::protobuf::internal::WireFormatLite::MakeTag(
        wire::Envelope::kFleetNewsFieldNumber,
        google::protobuf::internal::WireFormatLite::WIRETYPE_LENGTH_DELIMITED));
    output.WriteVarint32(
        static_cast<uint32_t>(news.ByteSizeLong() + more_fields.size()));
    news.SerializeWithCachedSizes(&output);
    output.WriteString(more_fields);
  }
  return bytes;
}

}  // namespace

void FleetService::LoadTargets() {
  const Result<std::string> contents = disk_.Read(kTargetsFile);
  wire::ControlDigest saved;
  if (!contents || !saved.ParseFromString(contents.value())) {
    return;  // The first start, or an incomplete file.
  }
  for (const wire::TargetRecord& target : saved.targets()) {
    targets_.Merge(target, Clock::now());
  }
  Log(LogLevel::kInfo, "targets_loaded",
      {{"targets", targets_.entries().size()}});
}

void FleetService::ScheduleTargetSave() {
  if (!std::exchange(save_scheduled_, true)) {
    timers_.After(kSaveDelay, [this](TimePoint) { SaveTargets(); });
  }
}

void FleetService::SaveTargets() {
  save_scheduled_ = false;
  wire::ControlDigest saved;
  for (const auto& [id, entry] : targets_.entries()) {
    *saved.add_targets() = entry.record;
  }
  if (std::error_code error =
          disk_.Replace(kTargetsFile, saved.SerializeAsString())) {
    // Not fatal: targets announce themselves again.
    Log(LogLevel::kWarning, "targets_save_failed",
        {{"error", error.message()}});
  }
}

bool FleetService::MergeTarget(const wire::TargetRecord& target,
                               TimePoint last_contact_at) {
  const uint64_t before = targets_.revision();
  const TargetChange change = targets_.Merge(target, last_contact_at);
  if (change == TargetChange::kStale) {
    return false;
  }
  crash_detector_.OnAnnounced(target);
  const TimePoint now = Clock::now();
  if (targets_.revision() != before) {
    OnTargetsChanged(before, now);
  } else {
    scheduler_.engine_table().Announce(
        targets_.entries().at(target.id()).record);
  }
  ScheduleLeaderTasks();
  return change == TargetChange::kChanged;
}

void FleetService::OnTargetsChanged(uint64_t revision, TimePoint now) {
  ScheduleTargetSave();
  for (const wire::TargetRecord& record :
       targets_.ChangedSince(revision, now)) {
    scheduler_.engine_table().Announce(record);
    Log(LogLevel::kInfo, "target_changed",
        {{"target", record.id()},
         {"service", record.service()},
         {"address", record.address()},
         {"incarnation", record.born_ms()},
         {"software_version", record.software_version()},
         {"sequence", record.sequence()},
         {"draining", record.draining()},
         {"gone", record.gone()}});
  }
}

void FleetService::OnTargetLeaving(const std::string& id,
                                   uint64_t incarnation) {
  const uint64_t before = targets_.revision();
  if (targets_.MarkDraining(id, incarnation) != TargetChange::kChanged) {
    return;
  }
  const TimePoint now = Clock::now();
  Log(LogLevel::kInfo, "target_said_it_leaves",
      {{"target", id}, {"incarnation", incarnation}});
  OnTargetsChanged(before, now);
  wire::ControlDigest digest = MakeDigest(now);
  *digest.add_targets() =
      TargetRegistry::WithAge(targets_.entries().at(id), now);
  Broadcast(digest);
  ScheduleNewsPush();
  ScheduleLeaderTasks();
}

bool FleetService::KnowsService(std::string_view service) const {
  const wire::FleetConfiguration& configuration = ledger().configuration();
  return configuration.version() == 0 ||
         std::any_of(
             configuration.services().begin(), configuration.services().end(),
             [&](const auto& declared) { return declared.name() == service; });
}

bool FleetService::HasModels(std::string_view service) const {
  const wire::FleetConfiguration& configuration = ledger().configuration();
  return std::any_of(configuration.services().begin(),
                     configuration.services().end(), [&](const auto& declared) {
                       return declared.name() == service &&
                              !declared.models().empty();
                     });
}

bool FleetService::Announce(const wire::TargetRecord& target) {
  const TimePoint now = Clock::now();
  if (MergeTarget(target, now)) {
    wire::ControlDigest digest = MakeDigest(now);
    *digest.add_targets() =
        TargetRegistry::WithAge(targets_.entries().at(target.id()), now);
    Broadcast(digest);
    ScheduleNewsPush();
  } else {
    pending_digest_targets_.insert(target.id());
  }
  return HasQuorumContact(now);
}

void FleetService::OnAnnouncementRefused(std::string_view id,
                                         std::string_view problem) {
  ++announcements_refused_;
  const TimePoint now = Clock::now();
  if (now - refusal_logged_at_ < kRefusalLogPeriod) {
    return;
  }
  refusal_logged_at_ = now;
  Log(LogLevel::kWarning, "announcement_refused",
      {{"target", id.substr(0, kMaxLoggedIdBytes)},
       {"reason", problem},
       {"refused_so_far", announcements_refused_}});
}

bool FleetService::Leave(std::string_view id, std::optional<uint64_t> born_ms) {
  const TimePoint now = Clock::now();
  if (targets_.Leave(id, born_ms, now) == TargetChange::kChanged) {
    const auto& entry = targets_.entries().find(id)->second;
    scheduler_.engine_table().Drop(id);
    ScheduleTargetSave();
    wire::ControlDigest digest = MakeDigest(now);
    *digest.add_targets() = TargetRegistry::WithAge(entry, now);
    Broadcast(digest);
    ScheduleNewsPush();
    Log(LogLevel::kInfo, "target_left",
        {{"target", id}, {"incarnation", entry.record.born_ms()}});
  }
  return HasQuorumContact(now);
}

void FleetService::Receive(const wire::Watch& watch) {
  const TimePoint now = Clock::now();
  Watcher& watcher = watchers_[watch.instance()];
  if (!ParseEndpoint(watch.reply_to(), &watcher.reply_to)) {
    watchers_.erase(watch.instance());
    configuration_transfers_.Remove(watch.instance());
    return;
  }
  configuration_transfers_.OnConfirmed(watch.instance(),
                                       watch.configuration_version());
  if (watch.answer_missed()) {
    messenger_.Reset(watcher.reply_to);
    configuration_transfers_.OnConnectionLost(watch.instance());
  }
  watcher.last_contact_at = now;
  watcher.relay = watch.relay();
  watcher.revision = watch.epoch() == epoch_ ? watch.revision() : 0;
  const wire::RelayGateways relays = ChooseRelays(watcher.relay);
  SendNews(watcher, now, &relays);
  if (watch.configuration_version() < ledger().configuration().version()) {
    ScheduleConfigurationTransfers(Duration::zero());
  }
}

void FleetService::ScheduleNewsPush() {
  if (!std::exchange(push_scheduled_, true)) {
    timers_.After(kPushDelay, [this](TimePoint) { PushNews(); });
  }
}

void FleetService::PushNews() {
  push_scheduled_ = false;
  const TimePoint now = Clock::now();
  for (auto& [instance, watcher] : watchers_) {
    SendNews(watcher, now);
  }
  ScheduleConfigurationTransfers(Duration::zero());
}

wire::FleetNews FleetService::MakeNews(TimePoint now) const {
  wire::FleetNews news;
  news.set_from(settings_.peers.ToString());
  news.set_quorum_contact(HasQuorumContact(now));
  if (const std::optional<milliseconds> age = StateAge(now)) {
    news.set_state_age_ms(static_cast<uint64_t>(age->count()));
  }
  news.set_epoch(epoch_);
  news.set_leader(replica_.LeaderEndpoint());
  news.set_configuration_version(ledger().configuration().version());
  *news.mutable_target_rates() = EncodeRateLimits();
  *news.mutable_suspects() = ledger().crashes().LiveSuspects();
  if (usage_reporter_) {
    news.set_usage_window_ms(static_cast<uint64_t>(
        std::chrono::duration_cast<milliseconds>(settings_.duties->usage_window)
            .count()));
  }
  news.add_control_endpoints(settings_.peers.ToString());
  for (const auto& [id, peer] : peers_) {
    if (MayServe(peer) && now - peer.last_contact_at < kAliveTimeout) {
      news.add_control_endpoints(peer.record.endpoint());
    }
  }
  return news;
}

const std::string& FleetService::PackedTargets(TimePoint now) {
  if (packed_targets_revision_ != targets_.revision() ||
      now - packed_targets_at_ > kMaxPackedTargetsAge) {
    wire::FleetNews news;
    for (wire::TargetRecord& target : targets_.ChangedSince(0, now)) {
      target.clear_weights();
      *news.add_targets() = std::move(target);
    }
    packed_targets_ = news.SerializeAsString();
    packed_targets_revision_ = targets_.revision();
    packed_targets_at_ = now;
  }
  return packed_targets_;
}

void FleetService::SendNews(Watcher& watcher,
                            TimePoint now,
                            const wire::RelayGateways* relays) {
  wire::FleetNews news = MakeNews(now);
  if (relays) {
    *news.mutable_relays() = *relays;
  }
  news.set_base_revision(watcher.revision);
  news.set_revision(targets_.revision());
  std::string packed_targets;
  if (watcher.revision == 0) {
    packed_targets = PackedTargets(now);
  } else {
    for (wire::TargetRecord& target :
         targets_.ChangedSince(watcher.revision, now)) {
      target.clear_weights();
      *news.add_targets() = std::move(target);
    }
  }
  watcher.revision = targets_.revision();
  messenger_.Send(watcher.reply_to, EnvelopeOf(news, packed_targets));
}

void FleetService::ScheduleConfigurationTransfers(Duration delay) {
  if (!std::exchange(transfers_scheduled_, true)) {
    timers_.After(delay, [this](TimePoint) {
      transfers_scheduled_ = false;
      SendConfigurations(Clock::now());
    });
  }
}

const std::string& FleetService::PackedConfiguration() {
  const wire::FleetConfiguration& configuration = ledger().configuration();
  if (packed_version_ != configuration.version()) {
    packed_version_ = configuration.version();
    wire::FleetConfiguration without_document = configuration;
    without_document.clear_document();
    packed_configuration_ =
        CompressCommand(without_document.SerializeAsString());
  }
  return packed_configuration_;
}

void FleetService::SendConfigurations(TimePoint now) {
  const uint64_t version = ledger().configuration().version();
  if (version == 0) {
    return;
  }
  const std::string& packed = PackedConfiguration();
  const size_t limit =
      std::max<size_t>(kMaxSliceBytes / std::max<size_t>(packed.size(), 1), 1);
  const std::vector<std::string> gateways =
      configuration_transfers_.Next(version, limit, now);
  if (!gateways.empty() && distribution_gateways_ == 0) {
    distribution_started_at_ = now;
  }
  wire::Envelope envelope;
  if (!gateways.empty()) {
    *envelope.mutable_fleet_news() = MakeNews(now);
    envelope.mutable_fleet_news()->set_packed_configuration(packed);
  }
  for (const std::string& gateway : gateways) {
    const Watcher& watcher = watchers_.at(gateway);
    envelope.mutable_fleet_news()->set_base_revision(watcher.revision);
    envelope.mutable_fleet_news()->set_revision(watcher.revision);
    messenger_.Send(watcher.reply_to, envelope.SerializeAsString());
  }
  configurations_sent_ += gateways.size();
  distribution_gateways_ += gateways.size();
  if (gateways.size() == limit) {
    ScheduleConfigurationTransfers(kSlicePeriod);
  } else if (distribution_gateways_ > 0) {
    Log(LogLevel::kInfo, "configuration_pushed",
        {{"version", version},
         {"gateways", std::exchange(distribution_gateways_, 0)},
         {"bytes", packed.size()},
         {"took_ms", std::chrono::duration_cast<milliseconds>(
                         Clock::now() - distribution_started_at_)
                         .count()}});
  }
}

}  // namespace limpethatch
