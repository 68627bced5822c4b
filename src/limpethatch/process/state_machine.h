// Interface of the state machine that the replicated log drives.
#ifndef LIMPETHATCH_PROCESS_STATE_MACHINE_H_
#define LIMPETHATCH_PROCESS_STATE_MACHINE_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

#include "limpethatch/process/byte_rope.h"

namespace limpethatch {

// Must be deterministic: the same commands in the same order give the same
// results and the same state on every replica.
template <typename M>
concept StateMachine = requires(M machine,
                                const M const_machine,
                                uint64_t index,
                                const ByteRope& state,
                                std::string_view bytes) {
  // Applies the committed command at log index `index`; returns its result.
  { machine.Apply(index, bytes) } -> std::same_as<std::string>;
  // The whole state. Restoring it gives an equal machine.
  { const_machine.Snapshot() } -> std::same_as<ByteRope>;
  // Replaces the state. Returns false and leaves it unchanged if the bytes are
  // not a snapshot.
  { machine.Restore(state) } -> std::same_as<bool>;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_STATE_MACHINE_H_
