// The state machine's state as it stood behind one entry of the log.
#ifndef LIMPETHATCH_PROCESS_STATE_SNAPSHOT_H_
#define LIMPETHATCH_PROCESS_STATE_SNAPSHOT_H_

#include <cstdint>
#include <memory>
#include <optional>

#include "consensus.pb.h"
#include "limpethatch/process/byte_rope.h"

namespace limpethatch {

// On disk this is a wire::SnapshotRecord.
struct StateSnapshot {
  uint64_t index = 0;
  uint64_t term = 0;
  // The latest ones up to `index`; nothing if there were none.
  std::optional<wire::Members> members{};
  // Empty once it needs no longer be held in memory.
  ByteRope state{};
};

using SharedSnapshot = std::shared_ptr<const StateSnapshot>;

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_STATE_SNAPSHOT_H_
