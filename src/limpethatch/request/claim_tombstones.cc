#include "limpethatch/request/claim_tombstones.h"

#include <cstring>

#include "limpethatch/process/digest.h"

namespace limpethatch {

void ClaimTombstones::Add(const std::string& qualified_key,
                          const std::string& request_digest,
                          uint64_t attempt,
                          bool unknown) {
  Insert(KeyOf(qualified_key),
         {RequestHash(request_digest), attempt, unknown, 0});
}

const ClaimTombstone* ClaimTombstones::Find(
    const std::string& qualified_key) const {
  const auto found = tombstones_.find(KeyOf(qualified_key));
  return found == tombstones_.end() ? nullptr : &found->second;
}

void ClaimTombstones::Erase(const std::string& qualified_key) {
  tombstones_.erase(KeyOf(qualified_key));
}

uint64_t ClaimTombstones::RequestHash(const std::string& request_digest) {
  return ContentDigest(request_digest);
}

void ClaimTombstones::Save(wire::ClaimLedgerSnapshot& snapshot) const {
  for (const auto& [key, order] : insertions_) {
    const auto found = tombstones_.find(key);
    if (found == tombstones_.end() || found->second.order != order) {
      continue;
    }
    auto& saved = *snapshot.add_tombstones();
    saved.set_key_high(key.high);
    saved.set_key_low(key.low);
    saved.set_request(found->second.request);
    saved.set_attempt(found->second.attempt);
    saved.set_unknown(found->second.unknown);
  }
}

void ClaimTombstones::Load(const wire::ClaimLedgerSnapshot& snapshot) {
  tombstones_.clear();
  insertions_.clear();
  for (const auto& saved : snapshot.tombstones()) {
    Insert({saved.key_high(), saved.key_low()},
           {saved.request(), saved.attempt(), saved.unknown(), 0});
  }
}

ClaimTombstones::Key ClaimTombstones::KeyOf(const std::string& qualified_key) {
  const auto digest = RequestDigest(qualified_key);
  Key key;
  std::memcpy(&key.high, digest.data(), sizeof(key.high));
  std::memcpy(&key.low, digest.data() + sizeof(key.high), sizeof(key.low));
  return key;
}

void ClaimTombstones::Insert(const Key& key, ClaimTombstone tombstone) {
  tombstone.order = ++last_order_;
  tombstones_[key] = tombstone;
  insertions_.push_back({key, tombstone.order});
  while (tombstones_.size() > limit_) {
    const auto [oldest, order] = insertions_.front();
    insertions_.pop_front();
    const auto found = tombstones_.find(oldest);
    if (found != tombstones_.end() && found->second.order == order) {
      tombstones_.erase(found);
    }
  }
}

}  // namespace limpethatch
