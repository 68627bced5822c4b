// Counts latencies in buckets of fixed bounds.
#ifndef LIMPETHATCH_PROCESS_LATENCY_HISTOGRAM_H_
#define LIMPETHATCH_PROCESS_LATENCY_HISTOGRAM_H_

#include <array>
#include <chrono>
#include <cstdint>

#include "limpethatch/process/clock.h"
#include "limpethatch/process/metrics_text.h"

namespace limpethatch {

struct LatencyHistogram {
  // Inclusive upper bounds of the buckets; the last bucket is unbounded.
  static constexpr std::array<Duration, 8> kBounds{
      std::chrono::milliseconds(5),   std::chrono::milliseconds(10),
      std::chrono::milliseconds(25),  std::chrono::milliseconds(50),
      std::chrono::milliseconds(100), std::chrono::milliseconds(250),
      std::chrono::milliseconds(500), std::chrono::milliseconds(1000)};

  std::array<uint64_t, kBounds.size() + 1> counts{};
  uint64_t total = 0;
  Duration sum{};

  void Add(Duration latency);
  // Adds the samples of this histogram to the current family of `text`, with
  // `label`.
  void Write(const MetricsText::Label& label, MetricsText* text) const;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_LATENCY_HISTOGRAM_H_
