#include "limpethatch/process/latency_histogram.h"

#include <string>

namespace limpethatch {
namespace {

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void LatencyHistogram::Add(Duration latency) {
  size_t bucket = 0;
  while (bucket < kBounds.size() && latency > kBounds.at(bucket)) {
    ++bucket;
  }
  ++counts.at(bucket);
  ++total;
  sum += latency;
}

void LatencyHistogram::Write(const MetricsText::Label& label,
                             MetricsText* text) const {
  uint64_t cumulative = 0;
  for (size_t i = 0; i < kBounds.size(); ++i) {
    cumulative += counts.at(i);
    text->Sample({label, {"le", std::to_string(ToSeconds(kBounds.at(i)))}},
                 static_cast<double>(cumulative), "_bucket");
  }
  text->Sample({label, {"le", "+Inf"}}, static_cast<double>(total), "_bucket");
  text->Sample({label}, ToSeconds(sum), "_sum");
  text->Sample({label}, static_cast<double>(total), "_count");
}

}  // namespace limpethatch
