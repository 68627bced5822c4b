#include "limpethatch/process/member_planner.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace limpethatch {
namespace {

using ReplicaPtr = const ReplicaView*;

bool IsLeaving(const ReplicaView& replica) {
  return replica.is_member && (replica.retired || replica.unresponsive);
}

// Number of voters that stay, by zone.
std::map<std::string, int> VotersByZone(
    const std::vector<ReplicaView>& replicas) {
  std::map<std::string, int> voters;
  for (const ReplicaView& replica : replicas) {
    voters[replica.zone] += replica.is_voter && !IsLeaving(replica) ? 1 : 0;
  }
  return voters;
}

// The live non-member whose zone has the fewest voters; null if there is none.
ReplicaPtr BestCandidate(const std::vector<ReplicaView>& replicas) {
  const auto voters = VotersByZone(replicas);
  ReplicaPtr best = nullptr;
  for (const ReplicaView& replica : replicas) {
    if (replica.is_member || !replica.alive || replica.retired ||
        !replica.applies_log) {
      continue;
    }
    if (!best || voters.at(replica.zone) < voters.at(best->zone)) {
      best = &replica;
    }
  }
  return best;
}

// The member to remove if there are more than wanted.
ReplicaPtr ChooseSurplusMember(const std::vector<ReplicaView>& replicas) {
  const auto voters = VotersByZone(replicas);
  // Within a zone the leader is removed last, since another replica would have
  // to take over its work.
  const auto removal_rank = [&](const ReplicaView& replica) {
    return std::tuple(replica.unresponsive * 2 + replica.retired,
                      voters.at(replica.zone), !replica.is_leader);
  };
  ReplicaPtr worst = nullptr;
  for (const ReplicaView& replica : replicas) {
    if (replica.is_member &&
        (!worst || removal_rank(replica) > removal_rank(*worst))) {
      worst = &replica;
    }
  }
  return worst;
}

// True if some zone has at least two voters more than the candidate's zone: the
// loss of that zone could cost the quorum.
bool ImprovesZoneBalance(const ReplicaView& candidate,
                         const std::vector<ReplicaView>& replicas) {
  const auto voters = VotersByZone(replicas);
  return std::any_of(voters.begin(), voters.end(), [&](const auto& zone) {
    return zone.second >= voters.at(candidate.zone) + 2;
  });
}

}  // namespace

std::optional<MemberChange> PlanMemberChange(
    const std::vector<ReplicaView>& replicas,
    size_t wanted) {
  size_t members = 0;
  bool any_leaving = false;
  bool change_settling = false;
  for (const ReplicaView& replica : replicas) {
    members += replica.is_member ? 1 : 0;
    any_leaving = any_leaving || IsLeaving(replica);
    change_settling = change_settling ||
                      (replica.is_member && replica.alive && !replica.is_voter);
  }
  if (change_settling) {
    return std::nullopt;
  }
  if (members > wanted) {
    const ReplicaView* surplus_member = ChooseSurplusMember(replicas);
    return MemberChange{MemberChange::Kind::kRemove, surplus_member->id, {}};
  }
  const ReplicaView* candidate = BestCandidate(replicas);
  if (members == wanted && !any_leaving &&
      !(candidate && ImprovesZoneBalance(*candidate, replicas))) {
    return std::nullopt;
  }
  if (candidate) {
    return MemberChange{MemberChange::Kind::kAdd, candidate->id,
                        candidate->endpoint};
  }
  return std::nullopt;
}

}  // namespace limpethatch
