// When the instances of this zone last heard from each other zone.
#ifndef LIMPETHATCH_PROCESS_INTERNAL_ZONE_CONTACTS_H_
#define LIMPETHATCH_PROCESS_INTERNAL_ZONE_CONTACTS_H_

#include <cstdint>
#include <map>

#include "limpethatch/process/clock.h"

namespace limpethatch {

class ZoneContacts {
 public:
  // A zone counts as cut off after `silence`.
  explicit ZoneContacts(Duration timeout);

  void RecordContact(uint32_t zone, TimePoint at);
  bool IsCutOff(uint32_t zone, TimePoint now) const;
  // Puts off every expiry, as after this process stood still.
  void PostponeExpiry(Duration delay);
  // True if some zone was cut off or came back since the last call.
  bool TakeChange(TimePoint now);

  const std::map<uint32_t, TimePoint>& last_contacts() const {
    return last_contacts_;
  }

 private:
  const Duration timeout_;
  std::map<uint32_t, TimePoint> last_contacts_;
  std::map<uint32_t, bool>
      last_reported_;  // Cut off, as last told by TakeChange.
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_INTERNAL_ZONE_CONTACTS_H_
