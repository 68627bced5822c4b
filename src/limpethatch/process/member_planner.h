// Plans which control instances are voting members: keeps enough voters for the
// configured number of losses, replaces unresponsive members, removes retired
// ones, and spreads the voters over the availability zones.
#ifndef LIMPETHATCH_PROCESS_MEMBER_PLANNER_H_
#define LIMPETHATCH_PROCESS_MEMBER_PLANNER_H_

#include <optional>
#include <string>
#include <vector>

namespace limpethatch {

// The leader's view of a control instance.
struct ReplicaView {
  std::string id;
  std::string endpoint;
  std::string zone;
  bool alive = false;         // Heard from recently.
  bool unresponsive = false;  // Not heard from for so long that it is replaced.
  bool is_member = false;
  bool is_voter = false;  // A voting member with a disk identity.
  bool retired = false;   // To be removed from the group.
  bool is_leader = false;
  bool applies_log = true;  // Its build knows all commands in the log.
};

struct MemberChange {
  enum class Kind { kAdd, kRemove };
  Kind kind = Kind::kAdd;
  std::string id;
  std::string endpoint;  // For kAdd.

  bool operator==(const MemberChange&) const = default;
};

// The next single membership change; nullopt if none is needed, none is
// possible or an earlier one is still taking effect. `wanted` is the number of
// voters: 2f + 1 to tolerate the loss of f.
std::optional<MemberChange> PlanMemberChange(
    const std::vector<ReplicaView>& replicas,
    size_t wanted);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_MEMBER_PLANNER_H_
