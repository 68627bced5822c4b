#include "limpethatch/request/stream_origins.h"

namespace limpethatch {

void StreamOrigins::OnBegun(const std::string& attempt,
                            const std::string& version) {
  if (!begun_.insert_or_assign(attempt, version).second) {
    return;
  }
  order_.push_back(attempt);
  if (order_.size() > kMaxStreams) {
    begun_.erase(order_.front());
    order_.pop_front();
  }
}

const std::string* StreamOrigins::Find(std::string_view attempt) const {
  const auto found = begun_.find(attempt);
  return found == begun_.end() ? nullptr : &found->second;
}

}  // namespace limpethatch
