// Gossip-based membership of instances and targets.
//
// Targets announce themselves to any instance of their zone. Within a zone the
// newest announcement of each member is gossiped as a heartbeat with its load,
// and a member whose announcements stop is removed. Between zones only state
// changes are gossiped; per-zone digests (anti-entropy) repair lost updates.
// Updates about a member are ordered by its incarnation, then by announcement
// sequence, so messages may be delayed, duplicated, reordered or lost.
//
// Assumptions: a target announces itself at least every two seconds, and a
// restarted process has a higher incarnation than before.
#ifndef LIMPETHATCH_PROCESS_MEMBERSHIP_H_
#define LIMPETHATCH_PROCESS_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

#include "gossip.pb.h"
#include "limpethatch/process/clock.h"
#include "limpethatch/process/endpoint.h"
#include "limpethatch/process/internal/mark_table.h"
#include "limpethatch/process/internal/member_table.h"
#include "limpethatch/process/internal/message_delay_estimator.h"
#include "limpethatch/process/internal/peer_sampler.h"
#include "limpethatch/process/internal/reachability_table.h"
#include "limpethatch/process/internal/rumor_queue.h"
#include "limpethatch/process/internal/zone_contacts.h"
#include "limpethatch/process/member.h"

namespace limpethatch {

struct MembershipOptions {
  MemberInfo self;                   // Of kind kInstance.
  std::vector<Endpoint> seeds = {};  // Instances to contact at startup.

  Duration heartbeat_period = std::chrono::seconds(1);  // Of this instance.
  Duration gossip_period = std::chrono::milliseconds(300);
  Duration digest_period = std::chrono::seconds(1);
  // A member of the own zone counts as gone this long after its last
  // announcement.
  Duration member_timeout = std::chrono::milliseconds(3500);
  // Peers are probed about a member without announcements for this long.
  Duration probe_after = std::chrono::milliseconds(1800);
  // A zone counts as cut off after no message from its instances for this
  // long.
  Duration zone_timeout = std::chrono::seconds(4);
  // An "unreachable" report expires after this time unless it is renewed.
  Duration report_lifetime = std::chrono::seconds(6);
  // A peer that does not answer a digest within this time counts as
  // unresponsive.
  Duration answer_timeout = std::chrono::seconds(2);
  // How long a gone member is kept as a tombstone, so that a delayed update
  // does not bring it back.
  Duration tombstone_lifetime = std::chrono::hours(1);

  size_t heartbeat_fanout = 2;
  size_t rumor_fanout = 2;  // In the own zone, plus one in another zone.
};

struct GossipSend {
  std::vector<Endpoint> to;
  wire::GossipMessage message;
};

// Output accumulated since the last TakeOutput.
struct MembershipOutput {
  std::vector<GossipSend> sends;
  std::vector<Endpoint> unresponsive_peers;  // Connections to reopen.
  bool members_changed = false;
  bool loads_changed = false;
  bool manifest_version_advanced = false;
  std::vector<std::string> changed_marks;  // Keys.
};

// The membership as seen by one instance. Not thread-safe.
class Membership {
 public:
  // Interval at which the caller must call Tick.
  static constexpr Duration kTickPeriod = std::chrono::milliseconds(100);

  Membership(MembershipOptions options,
             MarkRules mark_rules,
             std::mt19937_64 random,
             TimePoint now);

  // Handles a target's announcement to this instance.
  void Announce(const Announcement& announcement, TimePoint now);
  void Receive(const wire::GossipMessage& message, TimePoint now);
  void Tick(TimePoint now);

  // Announces that this instance is draining.
  void Leave(TimePoint now);
  void SetManifestVersion(uint64_t version);
  void AddMark(const std::string& key, std::string_view value, TimePoint now);
  // Reports whether this instance reaches a target. Call it repeatedly while a
  // target is unreachable. Reports of two instances count for the whole zone.
  void ReportReachability(const std::string& id, bool reachable, TimePoint now);

  MembershipOutput TakeOutput();

  // Returns all members that are not gone, except this instance, unordered.
  std::vector<MemberView> Members(TimePoint now) const;
  // The newest manifest version known to any instance.
  uint64_t manifest_version() const { return manifest_version_; }
  std::optional<std::string> Mark(const std::string& key) const;

 private:
  wire::GossipMessage NewMessage(TimePoint now) const;
  void AddContacts(TimePoint now, wire::GossipMessage* message) const;
  void Queue(std::vector<Endpoint> to, wire::GossipMessage message);
  // Records the effect of a merge in the output and, if `spread` is set,
  // queues it for gossip.
  void ApplyMergeResult(const Member& member,
                        const MergeResult& result,
                        bool spread);
  MemberState StateOf(const Member& member, TimePoint now) const;

  void AnnounceSelf(TimePoint now);
  void RefreshPeers();
  void ExpireMembers(TimePoint now);
  void ExpireAuxiliaryState(TimePoint now);
  void SpreadRumors(TimePoint now);
  void SpreadHeartbeats(TimePoint now);
  void AddPendingHeartbeats(TimePoint now, wire::GossipMessage* message);
  void AddProbes(TimePoint now, wire::GossipMessage* message) const;
  void SpreadDigest(TimePoint now);
  // Queues a message that expects an answer.
  void QueueRequest(std::vector<Endpoint> to,
                    wire::GossipMessage message,
                    TimePoint now);
  void QueueSeedRequests(size_t count, TimePoint now);

  // Steps of Receive. `at` is the send time, converted to the local clock.
  void ReceiveHeader(const wire::GossipMessage& message,
                     TimePoint at,
                     wire::GossipMessage* reply);
  void ReceiveMembers(const wire::GossipMessage& message,
                      TimePoint at,
                      TimePoint now,
                      wire::GossipMessage* reply);
  void ReceiveZoneState(const wire::GossipMessage& message,
                        TimePoint at,
                        TimePoint now,
                        wire::GossipMessage* reply);
  void ReceiveMarks(const wire::GossipMessage& message,
                    TimePoint at,
                    TimePoint now);
  void Reconcile(const wire::GossipMessage& message,
                 TimePoint now,
                 wire::GossipMessage* reply);

  const MembershipOptions options_;
  const uint64_t self_key_;
  Announcement self_;
  MemberTable table_;
  MarkTable marks_;
  ReachabilityTable reachability_;
  ZoneContacts contacts_;
  MessageDelayEstimator delay_estimator_;
  PeerSampler peers_;
  bool peers_changed_ = true;

  uint64_t manifest_version_ = 0;
  uint64_t report_counter_ = 0;
  uint64_t digests_sent_ = 0;
  // Remaining rounds that gossip the manifest version even without rumors.
  int manifest_version_rounds_ = 0;
  RumorQueue<std::string> record_rumors_;  // Ids.
  RumorQueue<std::string> change_rumors_;  // Ids.
  RumorQueue<std::string> mark_rumors_;
  RumorQueue<ReportKey> report_rumors_;
  // Keys of members to gossip as heartbeats.
  std::unordered_set<uint64_t> pending_heartbeats_;

  std::map<Endpoint, TimePoint> unanswered_requests_;  // Time of the request.

  TimePoint last_tick_;
  TimePoint next_heartbeat_;
  TimePoint next_gossip_;
  TimePoint next_digest_;
  MembershipOutput output_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_MEMBERSHIP_H_
