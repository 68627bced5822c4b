// What the consensus state machine takes in and what it asks for.
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
  kNoLease,                  // The leader can't show that it still leads.
  kMembershipChangePending,  // A membership change is under way.
  kCommandTooLarge,
  kUnknownMember,
};

std::error_code make_error_code(ConsensusError error);

struct ConsensusOptions {
  std::string id;
  // The first members, the same in each replica's settings.
  std::vector<wire::Member> replicas;
  Duration heartbeat = std::chrono::milliseconds(50);
  // The shortest silence after which a follower elects another leader.
  Duration election_timeout = std::chrono::milliseconds(500);
  size_t max_append_bytes = 1024 * 1024;
  // Takes a few ms on a link of some 100 Mbit/s, so that heartbeats behind it
  // are not held up.
  size_t snapshot_chunk_bytes = 256 * 1024;
  size_t max_command_bytes = 8 * 1024 * 1024;
  // Random; becomes the disk's identity if the present one is refused.
  uint64_t replacement_disk_id = 0;
};

// What a replica reads from its disk when it starts. The boot counter in
// `hard_state` has been raised and synced.
struct DurableState {
  wire::HardState hard_state;
  SharedSnapshot snapshot;
  std::vector<wire::LogEntry> entries;
};

// Write in order and sync, then report Persisted(sequence). An entry replaces
// the one of the same index and all behind it. If `snapshot` is set, it
// replaces the log, and `entries` are all that follow it.
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

// Hand the committed entry to the state machine; only commands matter to it.
struct ApplyAction {
  wire::LogEntry entry;
};

// Replace the state machine's state.
struct RestoreAction {
  SharedSnapshot snapshot;
};

struct LeadershipAction {
  bool leading = false;
  uint64_t term = 0;
};

// A peer needs the whole state: hand the present one to ProvideState.
struct RequestStateAction {};

// The members' endpoints may have changed.
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
