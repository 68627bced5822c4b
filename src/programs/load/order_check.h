// What callers were told of each order against how often it ran.
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
  // What the last of the sends of `key` was told.
  void RecordResult(const std::string& key, const CallResult& result);
  // An answered order was sent again.
  void RecordResendResult(const CallResult& result);
  // One target's "/counts"; false if it is malformed.
  bool AddRunCounts(std::string_view counts_body);

  // Without the runs of all targets, figures on runs are left out.
  boost::json::object ToJson(bool runs_known) const;

 private:
  std::map<std::string, CallResult> results_;
  std::map<std::string, uint64_t> run_counts_;
  uint64_t resends_ = 0;
  uint64_t resends_answered_ = 0;
};

}  // namespace limpethatch::load

#endif  // PROGRAMS_LOAD_ORDER_CHECK_H_
