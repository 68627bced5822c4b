// Conversion between membership state and gossip wire messages.
#ifndef LIMPETHATCH_PROCESS_INTERNAL_GOSSIP_CODEC_H_
#define LIMPETHATCH_PROCESS_INTERNAL_GOSSIP_CODEC_H_

#include <cstdint>
#include <functional>

#include "gossip.pb.h"
#include "limpethatch/process/clock.h"
#include "limpethatch/process/internal/member_table.h"
#include "limpethatch/process/internal/reachability_table.h"

namespace limpethatch {

// Unit of ages on the wire.
inline constexpr Duration kAgeUnit = std::chrono::milliseconds(20);

// Returns the time from `since` to `now` in units of kAgeUnit, rounded to the
// nearest one and clamped to the range of the result.
uint32_t EncodeAge(TimePoint since, TimePoint now);

void EncodeRecord(const Member& member,
                  TimePoint now,
                  wire::MemberRecord* record);
Member DecodeRecord(const wire::MemberRecord& record, TimePoint now);

void EncodeChange(const Member& member, wire::MemberChange* change);
ChangeEntry DecodeChange(const wire::MemberChange& change);

// Adds a member's latest announcement. `member.heard_at` must be set.
void AddHeartbeat(const Member& member,
                  TimePoint now,
                  wire::Heartbeats* heartbeats);
// Calls `visit` for each entry. Ignores all entries if the columns differ in
// length.
void ForEachHeartbeat(const wire::Heartbeats& heartbeats,
                      TimePoint now,
                      const std::function<void(uint32_t short_key,
                                               const HeartbeatEntry&)>& visit);

void EncodeReport(const ReportKey& key,
                  const ReachabilityTable::Report& report,
                  TimePoint now,
                  wire::Reachability* out);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_INTERNAL_GOSSIP_CODEC_H_
