#include "limpethatch/process/internal/reconcile.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "limpethatch/process/internal/gossip_codec.h"

namespace limpethatch {
namespace {

uint64_t CombineHashes(const BucketDigests& buckets) {
  uint64_t hash = 0;
  for (const uint64_t bucket : buckets) {
    hash ^= bucket;
  }
  return hash;
}

BucketDigests BucketsOf(const MemberTable& table, uint32_t zone) {
  const auto found = table.digests().find(zone);
  return found == table.digests().end() ? BucketDigests{} : found->second;
}

void AddBuckets(const MemberTable& table,
                uint32_t zone,
                wire::GossipMessage* reply) {
  wire::ZoneBuckets* out = reply->add_buckets();
  out->set_zone(zone);
  for (const uint64_t hash : BucketsOf(table, zone)) {
    out->add_hashes(hash);
  }
}

void AddMarkSummary(const MarkTable& marks,
                    bool answer,
                    wire::GossipMessage* reply) {
  wire::MarkSummary* summary = reply->mutable_mark_summary();
  summary->set_answer(answer);
  for (const auto& [key, mark] : marks.marks()) {
    summary->add_hashes(mark.hash);
  }
}

bool Covers(uint32_t buckets, uint64_t key) {
  return ((buckets >> BucketOf(key)) & 1U) != 0;
}

}  // namespace

void FillDigest(const MemberTable& table,
                const MarkTable& marks,
                wire::MembershipDigest* digest) {
  for (const auto& [zone, buckets] : table.digests()) {
    if (const uint64_t hash = CombineHashes(buckets); hash != 0) {
      digest->add_zones(zone);
      digest->add_hashes(hash);
    }
  }
  digest->set_marks(marks.digest());
}

void AnswerDigest(const wire::MembershipDigest& digest,
                  const MemberTable& table,
                  const MarkTable& marks,
                  uint64_t random,
                  wire::GossipMessage* reply) {
  std::map<uint32_t, uint64_t> theirs;
  for (int i = 0; i < digest.zones_size() && i < digest.hashes_size(); ++i) {
    theirs[digest.zones(i)] = digest.hashes(i);
  }
  for (const auto& [zone, buckets] : table.digests()) {
    theirs.try_emplace(zone, 0);
  }
  std::vector<uint32_t> others;
  for (const auto& [zone, hash] : theirs) {
    const uint64_t ours = CombineHashes(BucketsOf(table, zone));
    if (hash == ours) {
      continue;
    }
    if (zone == table.own_zone_key() || hash == 0 || ours == 0) {
      AddBuckets(table, zone, reply);
    } else {
      others.push_back(zone);
    }
  }
  if (!others.empty()) {
    AddBuckets(table, others[random % others.size()], reply);
  }
  if (digest.marks() != marks.digest()) {
    AddMarkSummary(marks, false, reply);
  }
}

void AnswerBuckets(const wire::ZoneBuckets& buckets,
                   const MemberTable& table,
                   wire::GossipMessage* reply) {
  if (buckets.hashes_size() != kDigestBuckets) {
    return;
  }
  const BucketDigests ours = BucketsOf(table, buckets.zone());
  uint32_t differing = 0;
  for (size_t i = 0; i < kDigestBuckets; ++i) {
    if (buckets.hashes(static_cast<int>(i)) != ours[i]) {
      differing |= 1U << i;
    }
  }
  if (differing == 0) {
    return;
  }
  wire::ZoneSummary* summary = reply->add_summaries();
  summary->set_zone(buckets.zone());
  summary->set_buckets(differing);
  for (const auto& [id, member] : table.members()) {
    if (!member.gone() && Covers(differing, member.key) &&
        ZoneKey(member.info.zone) == buckets.zone()) {
      summary->add_keys(member.key);
      summary->add_states(static_cast<uint32_t>(member.StateHash()));
    }
  }
}

void AnswerSummary(const wire::ZoneSummary& summary,
                   MemberTable& table,
                   TimePoint now,
                   wire::GossipMessage* reply) {
  std::set<uint64_t> listed;
  for (int i = 0; i < summary.keys_size() && i < summary.states_size(); ++i) {
    const uint64_t key = summary.keys(i);
    listed.insert(key);
    const Member* member = table.FindByKey(key);
    if (member == nullptr && table.RetiredId(key) == nullptr) {
      reply->add_wanted(key);
    } else if (member == nullptr || member->gone() ||
               static_cast<uint32_t>(member->StateHash()) !=
                   summary.states(i)) {
      AnswerWanted(key, table, now, reply);
    }
  }
  for (const auto& [id, member] : table.members()) {
    if (!member.gone() && !listed.contains(member.key) &&
        Covers(summary.buckets(), member.key) &&
        ZoneKey(member.info.zone) == summary.zone()) {
      EncodeRecord(member, now, reply->add_records());
    }
  }
  reply->set_reconcile(reply->records_size() > 0);
}

void AnswerMarkSummary(const wire::MarkSummary& summary,
                       const MarkTable& marks,
                       TimePoint now,
                       wire::GossipMessage* reply) {
  const std::set<uint64_t> theirs(summary.hashes().begin(),
                                  summary.hashes().end());
  for (const auto& [key, mark] : marks.marks()) {
    if (!theirs.contains(mark.hash)) {
      EncodeMark(key, mark, now, reply->add_marks());
    }
  }
  if (!summary.answer()) {
    AddMarkSummary(marks, true, reply);
  }
}

void AnswerWanted(uint64_t key,
                  MemberTable& table,
                  TimePoint now,
                  wire::GossipMessage* reply) {
  const Member* member = table.FindByKey(key);
  if (const std::string* id = table.RetiredId(key);
      member == nullptr && id != nullptr) {
    member = table.Find(*id);  // Its newer incarnation.
  }
  if (member != nullptr) {
    EncodeRecord(*member, now, reply->add_records());
  }
}

void EncodeMark(const std::string& key,
                const MarkTable::Mark& mark,
                TimePoint now,
                wire::MemberMark* out) {
  out->set_key(key);
  out->set_value(mark.value);
  out->set_age_s(static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(now - mark.changed_at)
          .count()));
}

}  // namespace limpethatch
