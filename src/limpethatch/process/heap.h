// Configuration of the process heap.
#ifndef LIMPETHATCH_PROCESS_HEAP_H_
#define LIMPETHATCH_PROCESS_HEAP_H_

namespace limpethatch {

// Reduces memory use: all threads share one malloc arena, and free memory at
// its top is returned to the system early. Call it before other threads start.
void UseSmallHeap();

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_HEAP_H_
