// Keeps this instance at the newest accepted manifest.
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

// Fetches manifests from the control group and from the other instances of the
// zone. Thread-safe. `messenger` must outlive it.
class ManifestUpdater {
 public:
  ManifestUpdater(EntryContext& context, Messenger& messenger);

  // Starts to check periodically for a newer manifest.
  void Start(TimerService& timers, const GossipNode& gossip);

  // Handles the manifest or the version that another instance of the zone sent.
  void OnNote(const wire::ManifestNote& note);

  // The newest version stored here, whether or not it is active yet.
  uint64_t stored_version() const;

 private:
  void CheckForUpdate(const MembershipSnapshot& members, TimePoint now);
  void Fetch(Yield yield, uint64_t stored_version);
  // Applies `change`, sends the notes that result, and activates the stored
  // manifest if that is allowed.
  void UpdateAdoption(const std::function<void(ManifestAdoption&)>& change);
  void Send(const ManifestNote& note);
  // Does nothing if the active manifest is not older than `version`.
  void Activate(uint64_t version, const std::string& text);

  EntryContext& context_;
  Messenger& messenger_;
  mutable std::mutex mutex_;  // Guards adoption_.
  ManifestAdoption adoption_;
  std::atomic<bool> fetching_{false};
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_MANIFEST_UPDATER_H_
