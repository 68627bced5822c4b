#include "programs/standin/lagged_load.h"

namespace limpethatch::standin {
namespace {

constexpr Duration kResolution = std::chrono::milliseconds(5);

}  // namespace

void LaggedLoad::Record(const Load& load) {
  if (!history_.empty() && load.as_of - history_.back().as_of < kResolution &&
      history_.size() > 1) {
    const TimePoint as_of = history_.back().as_of;
    history_.back() = load;
    history_.back().as_of = as_of;
    return;
  }
  history_.push_back(load);
}

Load LaggedLoad::At(TimePoint now) {
  while (history_.size() > 1 && history_[1].as_of <= now - lag_) {
    history_.pop_front();
  }
  return history_.empty() ? Load{0, 0, now} : history_.front();
}

}  // namespace limpethatch::standin
