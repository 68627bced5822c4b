// Estimates how long messages were delayed, without synchronised clocks.
#ifndef LIMPETHATCH_PROCESS_INTERNAL_MESSAGE_DELAY_ESTIMATOR_H_
#define LIMPETHATCH_PROCESS_INTERNAL_MESSAGE_DELAY_ESTIMATOR_H_

#include <cstdint>
#include <unordered_map>

#include "limpethatch/process/clock.h"

namespace limpethatch {

// Compares the delay of each message with the shortest delay seen from its
// sender, so that ages in a message that waited in a queue can be corrected.
class MessageDelayEstimator {
 public:
  // Returns the delay beyond the shortest one seen from this sender. `sent` is
  // the send time on the sender's monotonic clock.
  Duration ExcessDelay(uint64_t sender, Duration sent, TimePoint now);
  // Removes senders without recent messages.
  void Expire(TimePoint now);

 private:
  struct Sender {
    Duration min_delay;  // Clock offset plus transit time.
    TimePoint updated_at;
  };

  std::unordered_map<uint64_t, Sender> senders_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_INTERNAL_MESSAGE_DELAY_ESTIMATOR_H_
