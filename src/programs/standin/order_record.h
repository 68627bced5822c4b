// Records the orders an engine received and checks their fencing tokens.
#ifndef PROGRAMS_STANDIN_ORDER_RECORD_H_
#define PROGRAMS_STANDIN_ORDER_RECORD_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace limpethatch::standin {

struct TermOrders {
  uint64_t accepted = 0;
  uint64_t refused = 0;
};

class OrderRecord {
 public:
  explicit OrderRecord(bool checks_fencing) : checks_fencing_(checks_fencing) {}

  enum class Verdict { kAccepted, kRepeated, kStaleTerm };

  // An order with an older term than the highest one seen is stale if fencing
  // is checked.
  Verdict Receive(uint64_t term, const std::string& order_id);

  bool checks_fencing() const { return checks_fencing_; }
  uint64_t highest_term() const { return highest_term_; }
  const std::map<uint64_t, TermOrders>& terms() const { return terms_; }

 private:
  bool checks_fencing_;
  uint64_t highest_term_ = 0;
  std::map<uint64_t, TermOrders> terms_;
  std::set<std::string> seen_;
};

}  // namespace limpethatch::standin

#endif  // PROGRAMS_STANDIN_ORDER_RECORD_H_
