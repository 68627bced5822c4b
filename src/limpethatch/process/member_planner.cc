#include "limpethatch/process/member_planner.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace limpethatch {
namespace {

using ReplicaPtr = const KnownReplica*;

bool ShallLeave(const KnownReplica& replica) {
  return replica.member && (replica.retired || replica.silent);
}

// Voters that stay, by zone.
std::map<std::string, int> VotersByZone(
    const std::vector<KnownReplica>& replicas) {
  std::map<std::string, int> voters;
  for (const KnownReplica& replica : replicas) {
    voters[replica.zone] += replica.votes && !ShallLeave(replica) ? 1 : 0;
  }
  return voters;
}

// The candidate whose zone has the fewest voters.
ReplicaPtr BestCandidate(const std::vector<KnownReplica>& replicas) {
  const auto voters = VotersByZone(replicas);
  ReplicaPtr best = nullptr;
  for (const KnownReplica& replica : replicas) {
    if (replica.member || !replica.alive || replica.retired) {
      continue;
    }
    if (!best || voters.at(replica.zone) < voters.at(best->zone)) {
      best = &replica;
    }
  }
  return best;
}

// Of more voters than wanted, the one to remove.
ReplicaPtr Surplus(const std::vector<KnownReplica>& replicas) {
  const auto voters = VotersByZone(replicas);
  // The leader last of its zone: its work has to be taken up by another.
  const auto rank = [&](const KnownReplica& replica) {
    return std::tuple(replica.silent * 2 + replica.retired,
                      voters.at(replica.zone), !replica.leads);
  };
  ReplicaPtr worst = nullptr;
  for (const KnownReplica& replica : replicas) {
    if (replica.member && (!worst || rank(replica) > rank(*worst))) {
      worst = &replica;
    }
  }
  return worst;
}

// True if the candidate would stand for a zone that another one has two voters
// more than: the loss of that zone could cost the quorum.
bool Rebalances(const KnownReplica& candidate,
                const std::vector<KnownReplica>& replicas) {
  const auto voters = VotersByZone(replicas);
  return std::any_of(voters.begin(), voters.end(), [&](const auto& zone) {
    return zone.second >= voters.at(candidate.zone) + 2;
  });
}

}  // namespace

std::optional<MemberChange> PlanMembers(
    const std::vector<KnownReplica>& replicas,
    size_t wanted) {
  size_t members = 0;
  bool leaving = false;
  bool settling = false;
  for (const KnownReplica& replica : replicas) {
    members += replica.member ? 1 : 0;
    leaving = leaving || ShallLeave(replica);
    settling = settling || (replica.member && replica.alive && !replica.votes);
  }
  if (settling) {
    return std::nullopt;
  }
  if (members > wanted) {
    const KnownReplica* surplus = Surplus(replicas);
    return MemberChange{MemberChange::Kind::kRemove, surplus->id, {}};
  }
  const KnownReplica* candidate = BestCandidate(replicas);
  if (members == wanted && !leaving &&
      !(candidate && Rebalances(*candidate, replicas))) {
    return std::nullopt;
  }
  if (candidate) {
    return MemberChange{MemberChange::Kind::kAdd, candidate->id,
                        candidate->endpoint};
  }
  return std::nullopt;
}

}  // namespace limpethatch
