// Distributes successive versions of one large object to many receivers: a few
// at a time, and each version once.
#ifndef LIMPETHATCH_PROCESS_TRANSFER_QUEUE_H_
#define LIMPETHATCH_PROCESS_TRANSFER_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "limpethatch/process/clock.h"

namespace limpethatch {

class TransferQueue {
 public:
  // A receiver that has not confirmed a transfer within `confirmation_timeout`
  // is sent another one.
  explicit TransferQueue(Duration confirmation_timeout)
      : confirmation_timeout_(confirmation_timeout) {}

  // Adds the receiver, or records that it now has `version`; 0: none.
  void OnConfirmed(const std::string& receiver, uint64_t version);
  // The connection to the receiver was lost, and with it what was on its way.
  void OnConnectionLost(const std::string& receiver);
  void Remove(const std::string& receiver);

  // Up to `limit` receivers to which `version` is to be sent now. They count as
  // being sent it from this call on.
  std::vector<std::string> Next(uint64_t version, size_t limit, TimePoint now);

 private:
  struct Receiver {
    uint64_t confirmed_version = 0;
    uint64_t sent_version = 0;
    TimePoint sent_at;
  };

  const Duration confirmation_timeout_;
  std::map<std::string, Receiver> receivers_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_TRANSFER_QUEUE_H_
