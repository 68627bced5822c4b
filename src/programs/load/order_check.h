// Compares the result that callers got for each order with how often it ran.
#ifndef PROGRAMS_LOAD_ORDER_CHECK_H_
#define PROGRAMS_LOAD_ORDER_CHECK_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "programs/load/request_stats.h"

namespace limpethatch::load {

class OrderCheck {
 public:
  // The result of the last attempt to send `key`.
  void RecordResult(const std::string& key, const CallResult& result);
  // The result of resending an answered order.
  void RecordResendResult(const CallResult& result);
  // Adds the body of one target's "/counts"; false if it is malformed.
  bool AddRunCounts(std::string_view counts_body);

  // Omits the counts that depend on runs unless those of all targets are known.
  boost::json::object ToJson(bool runs_known) const;

 private:
  std::map<std::string, CallResult> results_;
  std::map<std::string, uint64_t> run_counts_;
  uint64_t resends_ = 0;
  uint64_t resends_answered_ = 0;
};

}  // namespace limpethatch::load

#endif  // PROGRAMS_LOAD_ORDER_CHECK_H_
