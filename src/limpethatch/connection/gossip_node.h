// Runs the membership of this instance over the messenger.
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

// What the membership knew at one moment; never changed afterwards.
struct MembershipSnapshot {
  std::vector<MemberView> members;  // Sorted by id.
  uint64_t manifest_version = 0;    // The newest that any instance knows of.
  TimePoint taken_at;
};

// Called on the thread that brought the change, one call at a time; they must
// not call the node back.
struct GossipCallbacks {
  // A member came, went or changed; or loads changed, a few times a second.
  std::function<void(std::shared_ptr<const MembershipSnapshot>)> on_members =
      [](const auto&) {};
  std::function<void(const std::string& key, const std::string& value)>
      on_mark = [](const auto&, const auto&) {};
};

// Safe from any thread. The messenger must outlive it.
class GossipNode {
 public:
  // `seed` starts the choice of peers. `options.self` has to carry the
  // messenger's address.
  GossipNode(Messenger& messenger,
             MembershipOptions options,
             MarkRules mark_rules,
             uint64_t seed,
             GossipCallbacks callbacks);

  // Ticks until `timers` is stopped, which has to come before the end of this
  // node.
  void Start(TimerService& timers);

  // Takes in a message from the messenger.
  void OnGossip(const wire::GossipMessage& message);

  // A target has announced itself to this instance.
  void Announce(const Announcement& announcement);
  // This instance is draining.
  void Leave();
  void SetManifestVersion(uint64_t version);
  void AddMark(const std::string& key, std::string_view value);
  void ReportReachability(const std::string& id, bool reachable);

  std::optional<std::string> Mark(const std::string& key) const;
  // Never null.
  std::shared_ptr<const MembershipSnapshot> snapshot() const;

 private:
  // Runs `change` on the membership, then does what it asks for.
  void Apply(const std::function<void(Membership&, TimePoint)>& change);
  void Publish(TimePoint now);
  void Send(const MembershipOutput& output);

  Messenger& messenger_;
  const GossipCallbacks callbacks_;
  mutable std::mutex mutex_;  // Guards what follows but for the snapshot.
  Membership membership_;
  bool loads_changed_ = false;
  TimePoint published_at_;
  std::atomic<std::shared_ptr<const MembershipSnapshot>> snapshot_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_GOSSIP_NODE_H_
