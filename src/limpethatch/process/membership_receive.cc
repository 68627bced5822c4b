// Handling of gossip messages received from other instances.

#include <utility>

#include "limpethatch/process/bounded_number.h"
#include "limpethatch/process/internal/gossip_codec.h"
#include "limpethatch/process/internal/reconcile.h"
#include "limpethatch/process/membership.h"

namespace limpethatch {
namespace {

// A message with more records is a bulk transfer and is not gossiped further.
constexpr int kMaxRecordsToSpread = 16;
constexpr int kMarkRumorRounds = 4;
// About 285 years. No valid monotonic clock exceeds this, and Duration, which
// counts nanoseconds, can't represent much more.
constexpr uint64_t kMaxSentMs = 9'000'000'000'000;
constexpr int kReportRumorRounds = 4;

bool HasContent(const wire::GossipMessage& reply) {
  return reply.has_heartbeats() || reply.records_size() > 0 ||
         reply.marks_size() > 0 || reply.buckets_size() > 0 ||
         reply.summaries_size() > 0 || reply.has_mark_summary() ||
         reply.wanted_size() > 0;
}

}  // namespace

void Membership::Receive(const wire::GossipMessage& message, TimePoint now) {
  if (message.from() == self_key_ || message.sent_ms() > kMaxSentMs) {
    return;
  }
  // Bounded above.
  const auto sent = std::chrono::milliseconds(message.sent_ms());
  const TimePoint at =
      now - delay_estimator_.ExcessDelay(message.from(), sent, now);
  wire::GossipMessage reply = NewMessage(now);
  ReceiveMembers(message, at, now, &reply);
  ReceiveHeader(message, at, &reply);
  if (message.zone() == table_.own_zone_key()) {
    ReceiveZoneState(message, at, now, &reply);
  }
  ReceiveMarks(message, at, now);
  Reconcile(message, now, &reply);
  if (!HasContent(reply)) {
    return;
  }
  const Member* sender = table_.FindByKey(message.from());
  Endpoint to;
  if (ParseEndpoint(
          sender != nullptr ? sender->info.address : message.address(), &to)) {
    reply.set_address(self_.info.address);
    Queue({to}, std::move(reply));
  }
}

void Membership::ReceiveHeader(const wire::GossipMessage& message,
                               TimePoint at,
                               wire::GossipMessage* reply) {
  if (message.manifest_version() > manifest_version_) {
    SetManifestVersion(message.manifest_version());
    output_.manifest_version_advanced = true;
  }
  const bool own_zone = message.zone() == table_.own_zone_key();
  if (!own_zone) {
    contacts_.RecordContact(message.zone(), at);
  }
  Member* sender = table_.FindByKey(message.from());
  if (sender == nullptr && table_.RetiredId(message.from()) == nullptr) {
    reply->add_wanted(message.from());
  } else if (sender != nullptr && own_zone) {
    const HeartbeatEntry entry{message.sequence(), at, sender->load};
    ApplyMergeResult(*sender, table_.MergeHeartbeat(*sender, entry), true);
  }
}

void Membership::ReceiveMembers(const wire::GossipMessage& message,
                                TimePoint at,
                                TimePoint now,
                                wire::GossipMessage* reply) {
  const bool spread = message.records_size() <= kMaxRecordsToSpread;
  for (const wire::MemberRecord& record : message.records()) {
    const MergeResult result =
        table_.MergeRecord(DecodeRecord(record, at), now);
    const Member* member = table_.Find(record.id());
    if (member == nullptr) {
      continue;
    }
    ApplyMergeResult(*member, result, spread);
    if (message.reconcile() && result.incoming_is_older) {
      EncodeRecord(*member, now, reply->add_records());
    }
  }
  for (const wire::MemberChange& change : message.changes()) {
    Member* member = table_.FindByKey(change.key());
    if (member == nullptr) {
      if (table_.RetiredId(change.key()) == nullptr) {
        reply->add_wanted(change.key());
      }
      continue;
    }
    const MergeResult result =
        table_.MergeChange(*member, DecodeChange(change), now);
    ApplyMergeResult(*member, result, true);
    if (result.needs_record) {
      reply->add_wanted(change.key());
    }
  }
}

void Membership::ReceiveZoneState(const wire::GossipMessage& message,
                                  TimePoint at,
                                  TimePoint now,
                                  wire::GossipMessage* reply) {
  const wire::ZoneContacts& contacts = message.contacts();
  for (int i = 0; i < contacts.zones_size() && i < contacts.age_units_size();
       ++i) {
    if (contacts.zones(i) != table_.own_zone_key()) {
      contacts_.RecordContact(contacts.zones(i),
                              at - contacts.age_units(i) * kAgeUnit);
    }
  }
  ForEachHeartbeat(message.heartbeats(), at,
                   [this](uint32_t short_key, const HeartbeatEntry& entry) {
                     Member* member = table_.FindByShortKey(short_key);
                     if (member != nullptr) {
                       ApplyMergeResult(*member,
                                        table_.MergeHeartbeat(*member, entry),
                                        true);
                     }
                   });
  for (const uint32_t short_key : message.probes()) {
    const Member* member = table_.FindByShortKey(short_key);
    if (member != nullptr && member->heard_at && !member->gone() &&
        now - *member->heard_at < options_.probe_after) {
      AddHeartbeat(*member, now, reply->mutable_heartbeats());
    }
  }
  for (const wire::Reachability& report : message.reachability()) {
    const ReportKey key{report.target(), report.reporter()};
    if (reachability_.Merge(key, {report.counter(), report.reachable(),
                                  at - report.age_units() * kAgeUnit})) {
      report_rumors_.Add(key, kReportRumorRounds);
      output_.members_changed = true;
    }
  }
}

void Membership::ReceiveMarks(const wire::GossipMessage& message,
                              TimePoint at,
                              TimePoint now) {
  for (const wire::MemberMark& mark : message.marks()) {
    const Duration age =
        now - at + BoundedTime<std::chrono::seconds>(mark.age_s());
    if (marks_.Merge(mark.key(), mark.value(), age, now)) {
      mark_rumors_.Add(mark.key(), kMarkRumorRounds);
      output_.changed_marks.push_back(mark.key());
    }
  }
}

void Membership::Reconcile(const wire::GossipMessage& message,
                           TimePoint now,
                           wire::GossipMessage* reply) {
  if (message.has_digest()) {
    AnswerDigest(message.digest(), table_, marks_, peers_.Random(), reply);
  }
  for (const wire::ZoneBuckets& buckets : message.buckets()) {
    AnswerBuckets(buckets, table_, reply);
  }
  for (const wire::ZoneSummary& summary : message.summaries()) {
    AnswerSummary(summary, table_, now, reply);
  }
  if (message.has_mark_summary()) {
    AnswerMarkSummary(message.mark_summary(), marks_, now, reply);
  }
  for (const uint64_t key : message.wanted()) {
    AnswerWanted(key, table_, now, reply);
  }
}

}  // namespace limpethatch
