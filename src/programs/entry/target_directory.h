// Updates the routing table from the membership, and decides which engines this
// instance owns.
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

  void Update(std::shared_ptr<const MembershipSnapshot> snapshot);

  // Whether this instance pulls rollouts for the engine. Rendezvous hashing
  // selects the owner among the instances of the engine's zone, or of all zones
  // if that zone has none. While the instances' views of the membership differ,
  // an engine may have two owners, which only overfills it.
  bool OwnsEngine(const Target& engine) const;

 private:
  EntryContext& context_;
  std::atomic<std::shared_ptr<const MembershipSnapshot>> snapshot_{
      std::make_shared<const MembershipSnapshot>()};
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_TARGET_DIRECTORY_H_
