#include "limpethatch/process/transfer_queue.h"

namespace limpethatch {

void TransferQueue::OnConfirmed(const std::string& receiver, uint64_t version) {
  Receiver& known = receivers_[receiver];
  if (version < known.confirmed_version) {
    known.sent_version = 0;  // It has restarted.
  }
  known.confirmed_version = version;
}

void TransferQueue::OnConnectionLost(const std::string& receiver) {
  receivers_[receiver].sent_version = 0;
}

void TransferQueue::Remove(const std::string& receiver) {
  receivers_.erase(receiver);
}

std::vector<std::string> TransferQueue::Next(uint64_t version,
                                             size_t limit,
                                             TimePoint now) {
  std::vector<std::string> next;
  for (auto& [name, receiver] : receivers_) {
    if (next.size() == limit) {
      break;
    }
    const bool under_way = receiver.sent_version == version &&
                           now - receiver.sent_at < confirmation_timeout_;
    if (receiver.confirmed_version >= version || under_way) {
      continue;
    }
    receiver.sent_version = version;
    receiver.sent_at = now;
    next.push_back(name);
  }
  return next;
}

}  // namespace limpethatch
