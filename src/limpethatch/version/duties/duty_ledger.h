// Replicated record of who holds each duty, and under which fencing token.
//
// A duty is work that one instance at a time does for the whole fleet, by calls
// to the platform. The platform and the receivers of these calls tell holders
// apart by the token, which only increases. As the log orders the claims, two
// holders never have the same token.
#ifndef LIMPETHATCH_VERSION_DUTIES_DUTY_LEDGER_H_
#define LIMPETHATCH_VERSION_DUTIES_DUTY_LEDGER_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "fleet.pb.h"
#include "limpethatch/process/duties/duty_lease.h"

namespace limpethatch {

class DutyLedger {
 public:
  // A claim of an older term than the latest one is ignored.
  void Apply(const wire::DutyClaim& claim);
  void Restore(const wire::DutyState& state);
  std::vector<wire::DutyState> Snapshot() const;

  // Without a holder, and with token 0, if the duty was never claimed.
  DutyHolding Find(std::string_view duty) const;

 private:
  std::map<std::string, DutyHolding, std::less<>> holdings_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_DUTIES_DUTY_LEDGER_H_
