#include "limpethatch/request/organisations/organisation_table.h"

#include <bit>
#include <cstring>
#include <limits>

namespace limpethatch {
namespace {

constexpr uint32_t kSharedKey = std::numeric_limits<uint32_t>::max();

// Digests are uniformly distributed, so that any part of them is a hash.
size_t HashOf(const KeyDigest& digest) {
  size_t hash = 0;
  std::memcpy(&hash, digest.data(), sizeof(hash));
  return hash;
}

}  // namespace

OrganisationTable::OrganisationTable(
    const wire::FleetConfiguration& configuration)
    : keys_required_(configuration.keys_required() ||
                     configuration.organisations_size() > 0) {
  size_t key_count = 0;
  for (const wire::Organisation& organisation : configuration.organisations()) {
    key_count += static_cast<size_t>(organisation.key_digests_size());
  }
  organisations_.reserve(
      static_cast<size_t>(configuration.organisations_size()));
  keys_.reserve(key_count);
  slots_.resize(std::bit_ceil(2 * key_count + 1));
  for (const wire::Organisation& organisation : configuration.organisations()) {
    const auto index = static_cast<uint32_t>(organisations_.size());
    organisations_.push_back(
        {organisation.name(),
         organisation.has_priority()
             ? std::optional<uint32_t>(organisation.priority())
             : std::nullopt});
    for (const std::string& bytes : organisation.key_digests()) {
      if (const auto digest = DecodeKeyDigest(bytes)) {
        Insert(*digest, index);
      }
    }
  }
}

void OrganisationTable::Insert(const KeyDigest& digest, uint32_t organisation) {
  uint32_t& slot = slots_[FindSlot(digest)];
  if (slot == 0) {
    keys_.push_back({digest, organisation});
    slot = static_cast<uint32_t>(keys_.size());
    return;
  }
  Key& known = keys_[slot - 1];
  if (known.organisation != organisation) {
    known.organisation = kSharedKey;
  }
}

size_t OrganisationTable::FindSlot(const KeyDigest& digest) const {
  const size_t mask = slots_.size() - 1;
  size_t slot = HashOf(digest) & mask;
  while (slots_[slot] != 0 &&
         !SameKeyDigest(keys_[slots_[slot] - 1].digest, digest)) {
    slot = (slot + 1) & mask;
  }
  return slot;
}

const Organisation* OrganisationTable::Find(const KeyDigest& digest) const {
  const uint32_t slot = slots_[FindSlot(digest)];
  if (slot == 0) {
    return nullptr;
  }
  const uint32_t organisation = keys_[slot - 1].organisation;
  return organisation == kSharedKey ? nullptr : &organisations_[organisation];
}

}  // namespace limpethatch
