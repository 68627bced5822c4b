// Finds the organisation of a key.
#ifndef LIMPETHATCH_REQUEST_ORGANISATIONS_ORGANISATION_TABLE_H_
#define LIMPETHATCH_REQUEST_ORGANISATIONS_ORGANISATION_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fleet.pb.h"
#include "limpethatch/request/organisations/key_digest.h"

namespace limpethatch {

struct Organisation {
  std::string name;
  // 0 is the highest; takes precedence over the priority of routes.
  std::optional<uint32_t> priority;
};

// An immutable hash table of the organisations of one configuration. A key that
// two organisations share belongs to neither; the validator refuses such a
// configuration.
class OrganisationTable {
 public:
  explicit OrganisationTable(const wire::FleetConfiguration& configuration);

  // Whether requests need a key. True also if there are no organisations, but
  // the configuration states that there could be.
  bool keys_required() const { return keys_required_; }
  size_t size() const { return organisations_.size(); }

  // Returns null if the key belongs to no organisation.
  const Organisation* Find(const KeyDigest& digest) const;

 private:
  struct Key {
    KeyDigest digest;
    uint32_t organisation = 0;  // Index, or kSharedKey.
  };

  void Insert(const KeyDigest& digest, uint32_t organisation);
  // The slot that holds the digest, or the empty one where it would be.
  size_t FindSlot(const KeyDigest& digest) const;

  std::vector<Organisation> organisations_;
  std::vector<Key> keys_;
  // Indices into keys_ plus 1; 0 is an empty slot. Open addressing with linear
  // probing. The size is a power of two, and at most half of it is used.
  std::vector<uint32_t> slots_;
  bool keys_required_ = false;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_ORGANISATIONS_ORGANISATION_TABLE_H_
