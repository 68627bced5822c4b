#include "limpethatch/request/stream_origins.h"

namespace limpethatch {

void StreamOrigins::OnTarget(const std::string& service,
                             const std::string& version) {
  versions_[service].insert(version);
}

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

std::optional<std::string> StreamOrigins::Find(std::string_view service,
                                               std::string_view attempt) const {
  if (const auto found = begun_.find(attempt); found != begun_.end()) {
    return found->second;
  }
  const auto versions = versions_.find(service);
  if (versions != versions_.end() && versions->second.size() == 1) {
    return *versions->second.begin();
  }
  return std::nullopt;
}

}  // namespace limpethatch
