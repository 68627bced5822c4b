#include "limpethatch/connection/client_limits.h"

#include <sys/resource.h>

#include <algorithm>

namespace limpethatch {
namespace {

constexpr uint64_t kMinMemoryBudget = 1024UL * 1024;
// At most this part of all descriptors is reserved, so that a process with few
// of them still serves clients.
constexpr size_t kMaxReservedDivisor = 4;
constexpr size_t kMinConnections = 8;
constexpr size_t kDefaultDescriptors = 1024;

}  // namespace

void ClientLimits::ReadFrom(JsonReader& reader) {
  using enum Presence;
  reader.ReadByteSize("memory", &memory, kOptional);
  reader.ReadByteSize("memory_budget", &memory_budget, kOptional);
  reader.ReadByteSize("min_rate", &min_rate, kOptional);
  reader.Read("reserved_descriptors", &reserved_descriptors, kOptional);
  if (memory_budget != 0 && memory_budget < kMinMemoryBudget) {
    reader.AddFault("memory_budget", "expected 1MiB or more");
  }
}

size_t ClientLimits::Budget(size_t divisor) const {
  if (memory_budget != 0) {
    return memory_budget;
  }
  return memory != 0 ? std::max(memory / divisor, kMinMemoryBudget)
                     : kDefaultMemoryBudget;
}

HttpServerLimits ClientLimits::ServerLimits(size_t descriptors,
                                            size_t divisor) const {
  const size_t reserved =
      std::min<size_t>(reserved_descriptors, descriptors / kMaxReservedDivisor);
  HttpServerLimits limits;
  limits.max_connections = std::clamp((descriptors - reserved) / divisor,
                                      kMinConnections, limits.max_connections);
  limits.min_bytes_per_second = min_rate;
  return limits;
}

size_t DescriptorLimit() {
  rlimit limit{};
  return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur
                                               : kDefaultDescriptors;
}

}  // namespace limpethatch
