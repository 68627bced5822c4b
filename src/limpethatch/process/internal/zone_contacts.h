// Times of the last contact of this zone's instances with other zones.
#ifndef LIMPETHATCH_PROCESS_INTERNAL_ZONE_CONTACTS_H_
#define LIMPETHATCH_PROCESS_INTERNAL_ZONE_CONTACTS_H_

#include <cstdint>
#include <map>

#include "limpethatch/process/clock.h"

namespace limpethatch {

class ZoneContacts {
 public:
  // A zone counts as cut off after `timeout` without contact.
  explicit ZoneContacts(Duration timeout);

  void RecordContact(uint32_t zone, TimePoint at);
  bool IsCutOff(uint32_t zone, TimePoint now) const;
  // Extends every expiry time, for example after this process was stalled.
  void PostponeExpiry(Duration delay);
  // Returns true if a zone was cut off or reconnected since the last call.
  bool TakeChange(TimePoint now);

  const std::map<uint32_t, TimePoint>& last_contacts() const {
    return last_contacts_;
  }

 private:
  const Duration timeout_;
  std::map<uint32_t, TimePoint> last_contacts_;
  std::map<uint32_t, bool> last_reported_;  // Cut off, at the last TakeChange.
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_INTERNAL_ZONE_CONTACTS_H_
