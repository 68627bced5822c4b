// Settings of what a process spends on its clients.
#ifndef LIMPETHATCH_CONNECTION_CLIENT_LIMITS_H_
#define LIMPETHATCH_CONNECTION_CLIENT_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "limpethatch/connection/http_server.h"
#include "limpethatch/process/json_reader.h"

namespace limpethatch {

struct ClientLimits {
  // Budget where neither setting is given; two thirds of the memory of the
  // smallest gateways.
  static constexpr uint64_t kDefaultMemoryBudget = 64UL * 1024 * 1024;

  uint64_t memory = 0;         // Of the machine; 0: not stated.
  uint64_t memory_budget = 0;  // 0: a part of `memory`.
  // Bytes a second that bodies and answers must proceed by; 0: any.
  uint64_t min_rate = 512;
  // Descriptors that connections of clients leave free.
  uint64_t reserved_descriptors = 512;

  // Reads the members of this name.
  void ReadFrom(JsonReader& reader);

  // Bytes to hold for clients: `memory_budget`, or `memory` by `divisor`.
  size_t Budget(size_t divisor) const;
  // Limits of a server that may have one of `divisor` parts of the descriptors
  // that are not reserved. `descriptors` is the limit of the process.
  HttpServerLimits ServerLimits(size_t descriptors, size_t divisor) const;
};

// The limit of this process on open descriptors.
size_t DescriptorLimit();

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_CLIENT_LIMITS_H_
