// Tells how late a message is, without synchronised clocks.
#ifndef LIMPETHATCH_PROCESS_INTERNAL_MESSAGE_DELAY_ESTIMATOR_H_
#define LIMPETHATCH_PROCESS_INTERNAL_MESSAGE_DELAY_ESTIMATOR_H_

#include <cstdint>
#include <unordered_map>

#include "limpethatch/process/clock.h"

namespace limpethatch {

// Compares each message's delay with the shortest seen from its sender, so
// that ages inside a message that waited in a queue can be corrected.
class MessageDelayEstimator {
 public:
  // The delay of a message beyond its sender's shortest. `sent` is by the
  // sender's monotonic clock.
  Duration ExcessDelay(uint64_t sender, Duration sent, TimePoint now);
  // Forgets senders that have been silent for long.
  void Expire(TimePoint now);

 private:
  struct Sender {
    Duration min_delay;  // Clock offset and transit together.
    TimePoint updated_at;
  };

  std::unordered_map<uint64_t, Sender> senders_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_INTERNAL_MESSAGE_DELAY_ESTIMATOR_H_
