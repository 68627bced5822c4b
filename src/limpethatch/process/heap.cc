#include "limpethatch/process/heap.h"

#include <malloc.h>

namespace limpethatch {
namespace {

// Free bytes to keep at the top of the heap for later allocations.
constexpr int kTrimThreshold = 256 * 1024;
// Larger blocks are allocated by mmap and returned when freed. Setting the
// threshold keeps glibc from raising it when the first such block is freed.
constexpr int kMmapThreshold = 96 * 1024;

}  // namespace

void UseSmallHeap() {
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_TRIM_THRESHOLD, kTrimThreshold);
  mallopt(M_MMAP_THRESHOLD, kMmapThreshold);
}

}  // namespace limpethatch
