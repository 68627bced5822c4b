// How the process's heap grows.
#ifndef LIMPETHATCH_PROCESS_HEAP_H_
#define LIMPETHATCH_PROCESS_HEAP_H_

namespace limpethatch {

// For processes on machines with little memory: one heap for all threads, and
// what is free at its top goes back to the system early. To be called before
// other threads start.
void UseSmallHeap();

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_HEAP_H_
