#include "limpethatch/process/target_registry.h"

#include <algorithm>
#include <chrono>

namespace limpethatch {
namespace {

bool SameRoutingState(const wire::TargetRecord& a,
                      const wire::TargetRecord& b) {
  return a.service() == b.service() && a.address() == b.address() &&
         a.zone() == b.zone() && a.slots() == b.slots() &&
         a.draining() == b.draining() && a.gone() == b.gone() &&
         a.born_ms() == b.born_ms() &&
         a.software_version() == b.software_version();
}

}  // namespace

TargetRegistry::TargetRegistry(TargetRegistryOptions options)
    : options_(options) {}

TargetChange TargetRegistry::MarkChanged(Entry& entry) {
  entry.changed_at = ++revision_;
  return TargetChange::kChanged;
}

bool TargetRegistry::LosesAddressConflict(const wire::TargetRecord& record) {
  bool superseded = false;
  for (auto& [id, entry] : entries_) {
    wire::TargetRecord& other = entry.record;
    if (id == record.id() || other.gone() ||
        other.address() != record.address()) {
      continue;
    }
    if (other.born_ms() > record.born_ms()) {
      superseded = true;
    } else {
      other.set_gone(true);
      MarkChanged(entry);
    }
  }
  return superseded;
}

TargetChange TargetRegistry::Merge(const wire::TargetRecord& record,
                                   TimePoint heard_at) {
  const auto [found, added] = entries_.try_emplace(record.id());
  Entry& entry = found->second;
  wire::TargetRecord& known = entry.record;
  const bool newer_incarnation = added || record.born_ms() > known.born_ms();
  if (!newer_incarnation) {
    if (record.born_ms() < known.born_ms() || known.gone()) {
      return TargetChange::kStale;
    }
    if (record.gone()) {
      known.set_gone(true);
      entry.heard_at = std::max(entry.heard_at, heard_at);
      return MarkChanged(entry);
    }
    if (record.sequence() <= known.sequence()) {
      // That a target drains may be known from an answer, which does not count
      // as an announcement.
      return record.draining() ? MarkDraining(record.id(), record.born_ms())
                               : TargetChange::kStale;
    }
  }
  wire::TargetRecord next = record;
  next.clear_age_ms();
  // Draining is final within an incarnation.
  next.set_draining(record.draining() ||
                    (!newer_incarnation && known.draining()));
  if (!next.gone() && LosesAddressConflict(next)) {
    next.set_gone(true);
  }
  const bool same_routing = !newer_incarnation && SameRoutingState(next, known);
  known = std::move(next);
  entry.heard_at = heard_at;
  return same_routing ? TargetChange::kRefreshed : MarkChanged(entry);
}

TargetChange TargetRegistry::MarkDraining(std::string_view id,
                                          uint64_t born_ms) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.record.born_ms() != born_ms ||
      found->second.record.gone() || found->second.record.draining()) {
    return TargetChange::kStale;
  }
  found->second.record.set_draining(true);
  return MarkChanged(found->second);
}

TargetChange TargetRegistry::Leave(std::string_view id,
                                   std::optional<uint64_t> born_ms,
                                   TimePoint now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    Entry& entry = entries_[std::string(id)];
    entry.record.set_id(std::string(id));
    entry.record.set_born_ms(born_ms.value_or(0));
    entry.record.set_gone(true);
    entry.heard_at = now;
    return MarkChanged(entry);
  }
  Entry& entry = found->second;
  if (entry.record.gone() || (born_ms && *born_ms < entry.record.born_ms())) {
    return TargetChange::kStale;
  }
  entry.record.set_gone(true);
  entry.heard_at = now;
  return MarkChanged(entry);
}

void TargetRegistry::Expire(TimePoint now) {
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const Duration silent = now - entry->second.heard_at;
    if (entry->second.record.gone() && silent > options_.tombstone_lifetime) {
      entry = entries_.erase(entry);
      continue;
    }
    if (!entry->second.record.gone() && silent > options_.target_timeout) {
      entry->second.record.set_gone(true);
      MarkChanged(entry->second);
    }
    ++entry;
  }
}

wire::TargetRecord TargetRegistry::WithAge(const Entry& entry, TimePoint now) {
  using std::chrono::milliseconds;
  wire::TargetRecord record = entry.record;
  record.set_age_ms(static_cast<uint64_t>(
      std::chrono::duration_cast<milliseconds>(now - entry.heard_at).count()));
  return record;
}

std::vector<wire::TargetRecord> TargetRegistry::ChangedSince(
    uint64_t revision,
    TimePoint now) const {
  std::vector<wire::TargetRecord> changed;
  for (const auto& [id, entry] : entries_) {
    if (entry.changed_at > revision) {
      changed.push_back(WithAge(entry, now));
    }
  }
  return changed;
}

}  // namespace limpethatch
