#include "limpethatch/process/heap.h"

#include <malloc.h>

namespace limpethatch {
namespace {

// Free bytes at the top of the heap that are kept for the next allocation.
constexpr int kTrimThreshold = 256 * 1024;
// Larger blocks are mapped, and unmapped when freed. Fixed, as the library
// would otherwise raise it with the first such block.
constexpr int kMmapThreshold = 96 * 1024;

}  // namespace

void UseSmallHeap() {
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_TRIM_THRESHOLD, kTrimThreshold);
  mallopt(M_MMAP_THRESHOLD, kMmapThreshold);
}

}  // namespace limpethatch
