// Which control instances vote: keeps their number where it tolerates the
// losses that were asked for, replaces those that stay silent, and empties
// those that are to be taken away.
#ifndef LIMPETHATCH_PROCESS_MEMBER_PLANNER_H_
#define LIMPETHATCH_PROCESS_MEMBER_PLANNER_H_

#include <optional>
#include <string>
#include <vector>

namespace limpethatch {

// One control instance as the leader knows it.
struct ReplicaView {
  std::string id;
  std::string endpoint;
  std::string zone;
  bool alive = false;         // Heard from of late.
  bool unresponsive = false;  // Not heard from for so long that it is replaced.
  bool is_member = false;
  bool is_voter = false;  // A member whose disk counts.
  bool retired = false;   // To be emptied.
  bool is_leader = false;
};

struct MemberChange {
  enum class Kind { kAdd, kRemove };
  Kind kind = Kind::kAdd;
  std::string id;
  std::string endpoint;  // For kAdd.

  bool operator==(const MemberChange&) const = default;
};

// The next change, one at a time; nothing if the members are as they should
// be or a change is still settling. `wanted` voters is 2f + 1 for f losses.
std::optional<MemberChange> PlanMemberChange(
    const std::vector<ReplicaView>& replicas,
    size_t wanted);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_MEMBER_PLANNER_H_
