#include "limpethatch/process/internal/peer_sampler.h"

#include <algorithm>
#include <utility>

namespace limpethatch {

PeerSampler::PeerSampler(std::mt19937_64 random)
    : random_(random), last_other_zone_(static_cast<uint32_t>(random_())) {}

void PeerSampler::Rebuild(const MemberTable& table, const std::string& self) {
  own_zone_peers_.clear();
  other_zone_peers_.clear();
  gone_peers_.clear();
  for (const auto& [id, member] : table.members()) {
    Endpoint address;
    if (id == self || member.info.kind != MemberKind::kInstance ||
        !ParseEndpoint(member.info.address, &address)) {
      continue;
    }
    if (member.gone()) {
      gone_peers_.push_back(address);
    } else if (table.InOwnZone(member)) {
      own_zone_peers_.push_back(address);
    } else {
      other_zone_peers_[ZoneKey(member.info.zone)].push_back(address);
    }
  }
  // Sorted because the iteration order of the table must not affect the
  // choices that a random seed determines.
  std::sort(own_zone_peers_.begin(), own_zone_peers_.end());
  std::sort(gone_peers_.begin(), gone_peers_.end());
  for (auto& [zone, peers] : other_zone_peers_) {
    std::sort(peers.begin(), peers.end());
  }
  ring_next_.clear();
  Endpoint own_address;
  if (const auto found = table.members().find(self);
      !own_zone_peers_.empty() && found != table.members().end() &&
      ParseEndpoint(found->second.info.address, &own_address)) {
    const auto next = std::upper_bound(own_zone_peers_.begin(),
                                       own_zone_peers_.end(), own_address);
    ring_next_.push_back(next == own_zone_peers_.end() ? own_zone_peers_.front()
                                                       : *next);
  }
}

std::vector<Endpoint> PeerSampler::RingNextAndOwnZonePeers(size_t count) {
  std::vector<Endpoint> picked = ring_next_;
  for (const Endpoint& peer : Sample(own_zone_peers_, count)) {
    if (picked.size() < count &&
        (ring_next_.empty() || peer != ring_next_.front())) {
      picked.push_back(peer);
    }
  }
  return picked;
}

std::vector<Endpoint> PeerSampler::OwnZonePeers(size_t count) {
  return Sample(own_zone_peers_, count);
}

std::vector<Endpoint> PeerSampler::OtherZonePeers(size_t count) {
  std::vector<Endpoint> picked;
  for (size_t i = 0; i < std::min(count, other_zone_peers_.size()); ++i) {
    auto next = other_zone_peers_.upper_bound(last_other_zone_);
    if (next == other_zone_peers_.end()) {
      next = other_zone_peers_.begin();
    }
    last_other_zone_ = next->first;
    const std::vector<Endpoint>& peers = next->second;
    picked.push_back(peers[random_() % peers.size()]);
  }
  return picked;
}

std::vector<Endpoint> PeerSampler::PeersInZone(uint32_t zone, size_t count) {
  const auto found = other_zone_peers_.find(zone);
  if (found == other_zone_peers_.end()) {
    return {};
  }
  return Sample(found->second, count);
}

std::vector<Endpoint> PeerSampler::GonePeer() {
  return Sample(gone_peers_, 1);
}

void PeerSampler::KeepRandomSample(size_t count, std::vector<Endpoint>* peers) {
  *peers = Sample(*peers, count);
}

std::vector<Endpoint> PeerSampler::Sample(std::vector<Endpoint>& from,
                                          size_t count) {
  count = std::min(count, from.size());
  for (size_t i = 0; i < count; ++i) {
    std::swap(from[i], from[i + random_() % (from.size() - i)]);
  }
  return {from.begin(), from.begin() + static_cast<std::ptrdiff_t>(count)};
}

}  // namespace limpethatch
