// Connects the membership protocol of this instance to the messenger and the
// timers.
#ifndef LIMPETHATCH_CONNECTION_GOSSIP_NODE_H_
#define LIMPETHATCH_CONNECTION_GOSSIP_NODE_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gossip.pb.h"
#include "limpethatch/connection/messenger.h"
#include "limpethatch/process/membership.h"
#include "limpethatch/process/timer_service.h"

namespace limpethatch {

// The known members at one point in time. Immutable once published.
struct MembershipSnapshot {
  std::vector<MemberView> members;  // Sorted by id.
  uint64_t manifest_version = 0;    // The newest known to any instance.
  TimePoint taken_at;
};

// Called one at a time, on the thread that made the change, with the node's
// mutex held. They must not call the node.
struct GossipCallbacks {
  // Called when a member was added, removed or changed, and a few times a
  // second while loads change.
  std::function<void(std::shared_ptr<const MembershipSnapshot>)> on_members =
      [](const auto&) {};
  std::function<void(const std::string& key, const std::string& value)>
      on_mark = [](const auto&, const auto&) {};
};

// Thread-safe. The messenger must outlive the node.
class GossipNode {
 public:
  // `seed` initialises the random choice of peers. `options.self` must contain
  // the address that the messenger listens on.
  GossipNode(Messenger& messenger,
             MembershipOptions options,
             MarkRules mark_rules,
             uint64_t seed,
             GossipCallbacks callbacks);

  // Runs the protocol's periodic work until `timers` is stopped. `timers` must
  // be stopped before this node is destroyed.
  void Start(TimerService& timers);

  // Handles a gossip message received by the messenger.
  void OnGossip(const wire::GossipMessage& message);

  // Records that a target announced itself to this instance.
  void Announce(const Announcement& announcement);
  // Announces to the other members that this instance is leaving.
  void Leave();
  void SetManifestVersion(uint64_t version);
  void AddMark(const std::string& key, std::string_view value);
  void ReportReachability(const std::string& id, bool reachable);

  std::optional<std::string> Mark(const std::string& key) const;
  // Never null.
  std::shared_ptr<const MembershipSnapshot> snapshot() const;

 private:
  // Runs `change` on the membership, then publishes and sends what results.
  void Apply(const std::function<void(Membership&, TimePoint)>& change);
  void Publish(TimePoint now);
  void Send(const MembershipOutput& output);

  Messenger& messenger_;
  const GossipCallbacks callbacks_;
  mutable std::mutex mutex_;  // Guards the members below except `snapshot_`.
  Membership membership_;
  bool loads_changed_ = false;
  TimePoint published_at_;
  std::atomic<std::shared_ptr<const MembershipSnapshot>> snapshot_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_GOSSIP_NODE_H_
