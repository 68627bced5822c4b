// Options, errors and actions of the consensus state machine.
#ifndef LIMPETHATCH_PROCESS_CONSENSUS_TYPES_H_
#define LIMPETHATCH_PROCESS_CONSENSUS_TYPES_H_

#include <cstdint>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

#include "consensus.pb.h"
#include "limpethatch/process/clock.h"
#include "limpethatch/process/replicated_log.h"

namespace limpethatch {

enum class ConsensusError {
  kNotLeader = 1,
  kNoLease,                  // The leader cannot prove its leadership.
  kMembershipChangePending,  // Another membership change is in progress.
  kCommandTooLarge,
  kUnknownMember,
};

std::error_code make_error_code(ConsensusError error);

struct ConsensusOptions {
  std::string id;
  // The initial members; must be the same on every replica.
  std::vector<wire::Member> replicas;
  Duration heartbeat = std::chrono::milliseconds(50);
  // Minimum time without a message from the leader after which a follower
  // starts an election.
  Duration election_timeout = std::chrono::milliseconds(500);
  size_t max_append_bytes = 1024 * 1024;
  // A chunk takes a few milliseconds on a link of some 100 Mbit/s, so that the
  // heartbeats queued behind it are not delayed.
  size_t snapshot_chunk_bytes = 256 * 1024;
  // Maximum number of chunks in flight to one peer. One at a time would wait
  // for both event loops at each chunk.
  size_t snapshot_window = 4;
  // Commands that the log keeps for peers that have not received them yet.
  size_t max_retained_bytes = 32 * 1024 * 1024;
  size_t max_command_bytes = 8 * 1024 * 1024;
  // Random identity that the disk takes if a peer refuses the present one.
  uint64_t replacement_disk_id = 0;
};

// The state that a replica reads from its disk when it starts. The boot counter
// in `hard_state` has already been incremented and synced.
struct DurableState {
  wire::HardState hard_state;
  SharedSnapshot snapshot;
  std::vector<wire::LogEntry> entries;
};

// To be written in order and synced, then reported by OnPersisted(sequence). An
// entry replaces the entry of the same index and all later ones. A `snapshot`
// replaces the whole log; `entries` are then all entries that follow it.
struct PersistAction {
  uint64_t sequence = 0;
  wire::HardState hard_state{};
  SharedSnapshot snapshot;
  std::vector<wire::LogEntry> entries;
};

struct SendAction {
  std::string to;
  wire::ConsensusMessage message;
};

// Passes a committed entry to the state machine, which ignores entries without
// a command.
struct ApplyAction {
  wire::LogEntry entry;
};

// Replaces the state of the state machine.
struct RestoreAction {
  SharedSnapshot snapshot;
};

struct LeadershipAction {
  bool leading = false;
  uint64_t term = 0;
};

// A peer needs a snapshot: the present state is to be passed to ProvideState.
struct RequestStateAction {};

// The members or their endpoints may have changed.
struct MembersAction {
  wire::Members members;
};

using ConsensusAction = std::variant<PersistAction,
                                     SendAction,
                                     ApplyAction,
                                     RestoreAction,
                                     LeadershipAction,
                                     MembersAction,
                                     RequestStateAction>;

}  // namespace limpethatch

template <>
struct std::is_error_code_enum<limpethatch::ConsensusError> : std::true_type {};

#endif  // LIMPETHATCH_PROCESS_CONSENSUS_TYPES_H_
