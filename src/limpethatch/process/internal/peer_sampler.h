// Picks the instances that a message goes to.
#ifndef LIMPETHATCH_PROCESS_INTERNAL_PEER_SAMPLER_H_
#define LIMPETHATCH_PROCESS_INTERNAL_PEER_SAMPLER_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "limpethatch/process/endpoint.h"
#include "limpethatch/process/internal/member_table.h"

namespace limpethatch {

class PeerSampler {
 public:
  explicit PeerSampler(std::mt19937_64 random);

  // Takes the present instances but for `self` from the table.
  void Rebuild(const MemberTable& table, const std::string& self);

  // The next instance of the own zone in the order of addresses, which makes
  // a ring of them all, and random others up to `count`.
  std::vector<Endpoint> RingNextAndOwnZonePeers(size_t count);
  // Up to `count` different instances of the own zone.
  std::vector<Endpoint> OwnZonePeers(size_t count);
  // Up to `count` instances of different other zones, each zone in its turn.
  std::vector<Endpoint> OtherZonePeers(size_t count);
  // Up to `count` different instances of one zone.
  std::vector<Endpoint> PeersInZone(uint32_t zone, size_t count);
  // An instance that is thought to be gone, if there is one.
  std::vector<Endpoint> GonePeer();

  // Leaves `count` random ones of `peers` at most.
  void KeepRandomSample(size_t count, std::vector<Endpoint>* peers);

  // Instances of the own zone but for this one.
  size_t own_zone_count() const { return own_zone_peers_.size(); }
  size_t other_zone_count() const { return other_zone_peers_.size(); }
  bool empty() const {
    return own_zone_peers_.empty() && other_zone_peers_.empty();
  }
  uint64_t Random() { return random_(); }

 private:
  std::vector<Endpoint> Sample(std::vector<Endpoint>& from, size_t count);

  std::mt19937_64 random_;
  std::vector<Endpoint> own_zone_peers_;
  std::vector<Endpoint> ring_next_;                             // One at most.
  std::map<uint32_t, std::vector<Endpoint>> other_zone_peers_;  // By zone.
  std::vector<Endpoint> gone_peers_;
  uint32_t last_other_zone_ = 0;  // That Foreign() picked.
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_INTERNAL_PEER_SAMPLER_H_
