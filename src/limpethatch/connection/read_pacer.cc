#include "limpethatch/connection/read_pacer.h"

#include <algorithm>

namespace limpethatch {

Duration ReadPacer::RoundDuration(size_t streams) {
  const Duration round =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          static_cast<double>(streams) / kMaxReadsPerSecond));
  return round < kMinRound ? Duration::zero() : std::min(round, kMaxRound);
}

void ReadPacer::WaitForRound(Yield yield, size_t streams) {
  const Duration round = RoundDuration(streams);
  if (round == Duration::zero()) {
    return;
  }
  if (round_timer_.expiry() <= Clock::now()) {
    round_timer_.expires_after(round);
  }
  boost::system::error_code ignored;  // The timer is never cancelled.
  round_timer_.async_wait(yield[ignored]);
}

}  // namespace limpethatch
