#include "limpethatch/process/internal/zone_contacts.h"

#include <algorithm>

namespace limpethatch {

ZoneContacts::ZoneContacts(Duration timeout) : timeout_(timeout) {}

void ZoneContacts::RecordContact(uint32_t zone, TimePoint at) {
  const auto [entry, is_new] = last_contacts_.try_emplace(zone, at);
  entry->second = std::max(entry->second, at);
}

bool ZoneContacts::IsCutOff(uint32_t zone, TimePoint now) const {
  const auto found = last_contacts_.find(zone);
  return found == last_contacts_.end() || now - found->second > timeout_;
}

void ZoneContacts::PostponeExpiry(Duration delay) {
  for (auto& [zone, at] : last_contacts_) {
    at += delay;
  }
}

bool ZoneContacts::TakeChange(TimePoint now) {
  bool changed = false;
  for (const auto& [zone, at] : last_contacts_) {
    const bool cut_off = IsCutOff(zone, now);
    const auto [entry, is_new] = last_reported_.try_emplace(zone, cut_off);
    changed |= is_new || entry->second != cut_off;
    entry->second = cut_off;
  }
  return changed;
}

}  // namespace limpethatch
