#include "limpethatch/version/gone_holders.h"

namespace limpethatch {

void GoneHolders::Add(const std::string& holder) {
  if (!gone_.insert(holder).second) {
    return;
  }
  order_.push_back(holder);
  if (order_.size() > kMaxHolders) {
    gone_.erase(order_.front());
    order_.pop_front();
  }
}

bool GoneHolders::Contains(const std::string& holder) const {
  return gone_.contains(holder);
}

void GoneHolders::Load(
    const google::protobuf::RepeatedPtrField<std::string>& holders) {
  gone_ = {holders.begin(), holders.end()};
  order_ = {holders.begin(), holders.end()};
}

}  // namespace limpethatch
