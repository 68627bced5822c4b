// Compact records of claims settled long ago. A resend of such a request is
// told that it may have run, and is not run again.
#ifndef LIMPETHATCH_REQUEST_CLAIM_TOMBSTONES_H_
#define LIMPETHATCH_REQUEST_CLAIM_TOMBSTONES_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include "snapshot.pb.h"

namespace limpethatch {

struct ClaimTombstone {
  uint64_t request = 0;  // Digest of the request's digest.
  uint64_t attempt = 0;
  bool unknown = false;  // The holder was declared gone.
  uint64_t order = 0;    // Insertion order.
};

// Bounded: the oldest tombstone is evicted first, after which its key can be
// claimed again.
class ClaimTombstones {
 public:
  explicit ClaimTombstones(size_t limit) : limit_(limit) {}

  // `qualified_key` identifies the service and key, `request_digest` the
  // request.
  void Add(const std::string& qualified_key,
           const std::string& request_digest,
           uint64_t attempt,
           bool unknown);
  const ClaimTombstone* Find(const std::string& qualified_key) const;
  void Erase(const std::string& qualified_key);

  static uint64_t RequestHash(const std::string& request_digest);

  size_t size() const { return tombstones_.size(); }

  void Save(wire::ClaimLedgerSnapshot& snapshot) const;
  void Load(const wire::ClaimLedgerSnapshot& snapshot);

 private:
  struct Key {
    uint64_t high = 0;
    uint64_t low = 0;

    bool operator==(const Key&) const = default;
  };
  struct KeyHash {
    size_t operator()(const Key& key) const { return key.low; }
  };
  struct Insertion {
    Key key;
    uint64_t order = 0;
  };

  static Key KeyOf(const std::string& qualified_key);
  void Insert(const Key& key, ClaimTombstone tombstone);

  size_t limit_;
  uint64_t last_order_ = 0;
  std::unordered_map<Key, ClaimTombstone, KeyHash> tombstones_;
  std::deque<Insertion> insertions_;  // May be stale: erased or re-added.
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_CLAIM_TOMBSTONES_H_
