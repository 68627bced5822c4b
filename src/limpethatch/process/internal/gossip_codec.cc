#include "limpethatch/process/internal/gossip_codec.h"

#include <algorithm>

namespace limpethatch {
namespace {

wire::MemberRecord::Kind EncodeKind(MemberKind kind) {
  switch (kind) {
    case MemberKind::kInstance:
      return wire::MemberRecord::INSTANCE;
    case MemberKind::kEngine:
      return wire::MemberRecord::ENGINE;
    case MemberKind::kService:
      return wire::MemberRecord::SERVICE;
  }
  return wire::MemberRecord::SERVICE;
}

MemberKind DecodeKind(wire::MemberRecord::Kind kind) {
  switch (kind) {
    case wire::MemberRecord::INSTANCE:
      return MemberKind::kInstance;
    case wire::MemberRecord::ENGINE:
      return MemberKind::kEngine;
    default:
      return MemberKind::kService;
  }
}

}  // namespace

uint32_t EncodeAge(TimePoint since, TimePoint now) {
  constexpr int64_t kMaxUnits = UINT32_MAX;
  const int64_t units = (now - since + kAgeUnit / 2) / kAgeUnit;
  return static_cast<uint32_t>(std::clamp<int64_t>(units, 0, kMaxUnits));
}

void EncodeRecord(const Member& member,
                  TimePoint now,
                  wire::MemberRecord* record) {
  record->set_id(member.info.id);
  record->set_address(member.info.address);
  record->set_kind(EncodeKind(member.info.kind));
  record->set_group(member.info.group);
  record->set_zone(member.info.zone);
  record->set_slots(member.info.slots);
  record->set_version(member.info.version);
  record->set_checks_fencing(member.info.checks_fencing);
  record->set_incarnation(member.info.incarnation);
  record->set_base_sequence(member.base_sequence);
  record->set_record_sequence(member.record_sequence);
  record->set_leaving(member.leaving);
  record->set_gone_sequence(member.gone_sequence);
  record->set_sequence(member.sequence);
  if (member.heard_at) {
    record->set_heard(true);
    record->set_age_units(EncodeAge(*member.heard_at, now));
    record->set_running(member.load.running);
    record->set_queued(member.load.queued);
    record->set_cache_percent(member.load.cache_percent);
  }
}

Member DecodeRecord(const wire::MemberRecord& record, TimePoint now) {
  Member member;
  member.info = {.id = record.id(),
                 .address = record.address(),
                 .kind = DecodeKind(record.kind()),
                 .group = record.group(),
                 .zone = record.zone(),
                 .slots = record.slots(),
                 .version = record.version(),
                 .checks_fencing = record.checks_fencing(),
                 .incarnation = record.incarnation()};
  member.key = MemberKey(record.id(), record.incarnation());
  member.base_sequence = record.base_sequence();
  member.record_sequence = record.record_sequence();
  member.leaving = record.leaving();
  member.gone_sequence = record.gone_sequence();
  member.sequence = record.sequence();
  if (record.heard()) {
    member.heard_at = now - record.age_units() * kAgeUnit;
    member.load = {record.running(), record.queued(), record.cache_percent()};
  }
  return member;
}

void EncodeChange(const Member& member, wire::MemberChange* change) {
  change->set_key(member.key);
  change->set_base_sequence(member.base_sequence);
  change->set_record_sequence(member.record_sequence);
  change->set_version(member.info.version);
  change->set_leaving(member.leaving);
  change->set_gone_sequence(member.gone_sequence);
}

ChangeEntry DecodeChange(const wire::MemberChange& change) {
  return {.base_sequence = change.base_sequence(),
          .record_sequence = change.record_sequence(),
          .version = change.version(),
          .leaving = change.leaving(),
          .gone_sequence = change.gone_sequence()};
}

void AddHeartbeat(const Member& member,
                  TimePoint now,
                  wire::Heartbeats* heartbeats) {
  heartbeats->add_keys(static_cast<uint32_t>(member.key));
  heartbeats->add_sequences(member.sequence);
  heartbeats->add_age_units(EncodeAge(*member.heard_at, now));
  heartbeats->add_running(member.load.running);
  heartbeats->add_queued(member.load.queued);
  heartbeats->add_cache_percent(member.load.cache_percent);
}

void ForEachHeartbeat(const wire::Heartbeats& heartbeats,
                      TimePoint now,
                      const std::function<void(uint32_t short_key,
                                               const HeartbeatEntry&)>& visit) {
  const int count = heartbeats.keys_size();
  for (const int size :
       {heartbeats.sequences_size(), heartbeats.age_units_size(),
        heartbeats.running_size(), heartbeats.queued_size(),
        heartbeats.cache_percent_size()}) {
    if (size != count) {
      return;
    }
  }
  for (int i = 0; i < count; ++i) {
    HeartbeatEntry entry;
    entry.sequence = heartbeats.sequences(i);
    entry.heard_at = now - heartbeats.age_units(i) * kAgeUnit;
    entry.load = {heartbeats.running(i), heartbeats.queued(i),
                  heartbeats.cache_percent(i)};
    visit(heartbeats.keys(i), entry);
  }
}

void EncodeReport(const ReportKey& key,
                  const ReachabilityTable::Report& report,
                  TimePoint now,
                  wire::Reachability* out) {
  out->set_target(key.target);
  out->set_reporter(key.reporter);
  out->set_counter(report.counter);
  out->set_reachable(report.reachable);
  out->set_age_units(EncodeAge(report.reported_at, now));
}

}  // namespace limpethatch
