// Chooses the instances to which a message is sent.
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

  // Loads all instances except `self` from the table.
  void Rebuild(const MemberTable& table, const std::string& self);

  // Returns the next instance of the own zone in address order, so that all
  // instances form a ring, and random other ones up to `count`.
  std::vector<Endpoint> RingNextAndOwnZonePeers(size_t count);
  // Returns up to `count` different instances of the own zone.
  std::vector<Endpoint> OwnZonePeers(size_t count);
  // Returns one instance each of up to `count` other zones, in round-robin
  // order of the zones.
  std::vector<Endpoint> OtherZonePeers(size_t count);
  // Returns up to `count` different instances of another zone.
  std::vector<Endpoint> PeersInZone(uint32_t zone, size_t count);
  // Returns a random instance that is marked as gone, if there is one.
  std::vector<Endpoint> GonePeer();

  // Reduces `peers` to at most `count` random elements.
  void KeepRandomSample(size_t count, std::vector<Endpoint>* peers);

  // Number of instances of the own zone, without this one.
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
  std::vector<Endpoint> ring_next_;                             // At most one.
  std::map<uint32_t, std::vector<Endpoint>> other_zone_peers_;  // By zone.
  std::vector<Endpoint> gone_peers_;
  uint32_t last_other_zone_ = 0;  // Last zone that OtherZonePeers() returned.
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_INTERNAL_PEER_SAMPLER_H_
