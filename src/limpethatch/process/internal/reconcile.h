// Anti-entropy: two instances compare hashes and exchange missing records.
//
//   digest -> buckets of zones that differ -> summaries of buckets that differ
//          -> missing records, and the keys of wanted ones
#ifndef LIMPETHATCH_PROCESS_INTERNAL_RECONCILE_H_
#define LIMPETHATCH_PROCESS_INTERNAL_RECONCILE_H_

#include <cstdint>

#include "gossip.pb.h"
#include "limpethatch/process/clock.h"
#include "limpethatch/process/internal/mark_table.h"
#include "limpethatch/process/internal/member_table.h"

namespace limpethatch {

void FillDigest(const MemberTable& table,
                const MarkTable& marks,
                wire::MembershipDigest* digest);

// Each Answer function adds the answer to a message to `reply`, if any is
// needed.

// Answers with the own zone, the zones unknown to one side, and one other zone
// chosen by `random`, as far as they differ.
void AnswerDigest(const wire::MembershipDigest& digest,
                  const MemberTable& table,
                  const MarkTable& marks,
                  uint64_t random,
                  wire::GossipMessage* reply);
void AnswerBuckets(const wire::ZoneBuckets& buckets,
                   const MemberTable& table,
                   wire::GossipMessage* reply);
void AnswerSummary(const wire::ZoneSummary& summary,
                   MemberTable& table,
                   TimePoint now,
                   wire::GossipMessage* reply);
void AnswerMarkSummary(const wire::MarkSummary& summary,
                       const MarkTable& marks,
                       TimePoint now,
                       wire::GossipMessage* reply);
void AnswerWanted(uint64_t key,
                  MemberTable& table,
                  TimePoint now,
                  wire::GossipMessage* reply);

void EncodeMark(const std::string& key,
                const MarkTable::Mark& mark,
                TimePoint now,
                wire::MemberMark* out);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_INTERNAL_RECONCILE_H_
