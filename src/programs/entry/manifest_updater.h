// Keeps the manifest of this instance at the newest accepted one.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_MANIFEST_UPDATER_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_MANIFEST_UPDATER_H_

#include <atomic>
#include <functional>
#include <mutex>
#include <string>

#include "envelope.pb.h"
#include "limpethatch/connection/gossip_node.h"
#include "limpethatch/process/timer_service.h"
#include "limpethatch/version/manifest_adoption.h"
#include "programs/entry/entry_context.h"

namespace limpethatch {

// Fetches from the control group and from the zone's other instances. Safe
// from any thread; `messenger` must outlive it.
class ManifestUpdater {
 public:
  ManifestUpdater(EntryContext& context, Messenger& messenger);

  // Looks for a newer manifest each period from now on.
  void Start(TimerService& timers, const GossipNode& gossip);

  // Takes in what another instance of the zone holds.
  void OnNote(const wire::ManifestNote& note);

  // The version that is held, in force or not yet.
  uint64_t stored_version() const;

 private:
  void CheckForUpdate(const MembershipSnapshot& members, TimePoint now);
  void Fetch(Yield yield, uint64_t stored_version);
  // Runs `change`, then does what follows from it.
  void UpdateAdoption(const std::function<void(ManifestAdoption&)>& change);
  void Send(const ManifestNote& note);
  // Puts `text` in force as `version`, if it is newer than what is in force.
  void Activate(uint64_t version, const std::string& text);

  EntryContext& context_;
  Messenger& messenger_;
  mutable std::mutex mutex_;  // Guards the adoption.
  ManifestAdoption adoption_;
  std::atomic<bool> fetching_{false};
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_MANIFEST_UPDATER_H_
