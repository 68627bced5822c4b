// Keeps the routing table at what the membership knows, and says which
// engines this instance looks after.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_TARGET_DIRECTORY_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_TARGET_DIRECTORY_H_

#include <atomic>
#include <memory>

#include "limpethatch/connection/gossip_node.h"
#include "programs/entry/entry_context.h"

namespace limpethatch {

class TargetDirectory {
 public:
  explicit TargetDirectory(EntryContext& context) : context_(context) {}

  // Takes over a new snapshot of the membership.
  void Update(std::shared_ptr<const MembershipSnapshot> snapshot);

  // Whether this instance pulls rollouts for the engine: one instance of the
  // engine's zone does, found by rendezvous hashing; of all zones if its own
  // has none. While views differ two may, which only overfills the engine.
  bool OwnsEngine(const Target& engine) const;

 private:
  EntryContext& context_;
  std::atomic<std::shared_ptr<const MembershipSnapshot>> snapshot_{
      std::make_shared<const MembershipSnapshot>()};
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_TARGET_DIRECTORY_H_
