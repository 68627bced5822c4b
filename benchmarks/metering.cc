// Measures the cost of counting one request by the number of threads that share
// one service's meter.
#include <fmt/format.h>

#include <chrono>
#include <thread>
#include <vector>

#include "limpethatch/process/service_meter.h"

namespace limpethatch {
namespace {

constexpr int kIterations = 1'000'000;

void Measure(int threads) {
  std::vector<std::thread> workers;
  const TimePoint start = Clock::now();
  ServiceMeter meter(start);
  for (int i = 0; i < threads; ++i) {
    workers.emplace_back([&meter, start] {
      for (int iteration = 0; iteration < kIterations; ++iteration) {
        meter.Count(RequestOutcome::kGood, std::chrono::microseconds(iteration),
                    start);
      }
    });
  }
  for (std::thread& thread : workers) {
    thread.join();
  }
  const std::chrono::duration<double, std::nano> elapsed = Clock::now() - start;
  fmt::print("{} threads: {:.0f} ns a request on each\n", threads,
             elapsed.count() / kIterations);
}

}  // namespace
}  // namespace limpethatch

int main() {
  for (const int threads : {1, 2, 4}) {
    limpethatch::Measure(threads);
  }
}
