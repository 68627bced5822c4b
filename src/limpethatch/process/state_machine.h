// What the replicated log drives.
#ifndef LIMPETHATCH_PROCESS_STATE_MACHINE_H_
#define LIMPETHATCH_PROCESS_STATE_MACHINE_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

#include "limpethatch/process/byte_rope.h"

namespace limpethatch {

// Deterministic: the same commands in the same order give the same results
// and the same state on every replica.
template <typename M>
concept StateMachine = requires(M machine,
                                const M const_machine,
                                uint64_t index,
                                const ByteRope& state,
                                std::string_view bytes) {
  // The result of the committed command at `index` of the log.
  { machine.Apply(index, bytes) } -> std::same_as<std::string>;
  // The whole state; Restore of it gives an equal machine.
  { const_machine.Snapshot() } -> std::same_as<ByteRope>;
  // False if the bytes are not a snapshot; the state is then unchanged.
  { machine.Restore(state) } -> std::same_as<bool>;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_STATE_MACHINE_H_
