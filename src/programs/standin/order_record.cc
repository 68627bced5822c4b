#include "programs/standin/order_record.h"

#include <algorithm>

namespace limpethatch::standin {

OrderRecord::Verdict OrderRecord::Receive(uint64_t term,
                                          const std::string& order_id) {
  if (checks_fencing_ && term < highest_term_) {
    ++terms_[term].refused;
    return Verdict::kStaleTerm;
  }
  highest_term_ = std::max(highest_term_, term);
  if (!order_id.empty() && !seen_.insert(order_id).second) {
    return Verdict::kRepeated;
  }
  ++terms_[term].accepted;
  return Verdict::kAccepted;
}

}  // namespace limpethatch::standin
