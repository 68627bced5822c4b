// The state machine's state after a certain log entry.
#ifndef LIMPETHATCH_PROCESS_STATE_SNAPSHOT_H_
#define LIMPETHATCH_PROCESS_STATE_SNAPSHOT_H_

#include <cstdint>
#include <memory>
#include <optional>

#include "consensus.pb.h"
#include "limpethatch/process/byte_rope.h"

namespace limpethatch {

// Stored on disk as a wire::SnapshotRecord.
struct StateSnapshot {
  uint64_t index = 0;
  uint64_t term = 0;
  // The latest members up to `index`; nullopt if there are none.
  std::optional<wire::Members> members{};
  // Empty once it is no longer needed in memory.
  ByteRope state{};
};

using SharedSnapshot = std::shared_ptr<const StateSnapshot>;

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_STATE_SNAPSHOT_H_
