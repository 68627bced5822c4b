#include "limpethatch/version/manifest_adoption.h"

#include <algorithm>
#include <utility>

namespace limpethatch {

void ManifestAdoption::SetPeers(std::vector<std::string> peers) {
  peers_ = std::move(peers);
  std::erase_if(peer_versions_, [&](const auto& entry) {
    return std::find(peers_.begin(), peers_.end(), entry.first) == peers_.end();
  });
}

void ManifestAdoption::Store(uint64_t version, const std::string& manifest) {
  if (version <= version_) {
    return;
  }
  version_ = version;
  manifest_ = manifest;
  if (startup_wait_ended_) {
    AskSomePeers();
  }
}

void ManifestAdoption::Receive(const ManifestNote& note) {
  peer_versions_[note.peer] = note.version;
  if (note.version > version_ && !note.manifest.empty()) {
    version_ = note.version;
    manifest_ = note.manifest;
  }
  const bool peer_is_behind = note.version < version_;
  if (note.answer || peer_is_behind) {
    // A note with the manifest requests an answer, so that the peer confirms
    // the version. The peer is then no longer behind, which ends the exchange.
    notes_.push_back({note.peer, version_,
                      peer_is_behind ? manifest_ : std::string(),
                      peer_is_behind || note.version > version_});
  }
}

void ManifestAdoption::Tick(uint64_t newest, TimePoint now) {
  if (!startup_wait_ended_) {
    const Duration waited = now - started_;
    startup_wait_ended_ = waited >= kMaxStartupWait ||
                          (waited >= kMinStartupWait && AllAnswered());
    for (const std::string& peer : peers_) {
      if (!startup_wait_ended_ && !peer_versions_.contains(peer)) {
        Ask(peer);
      }
    }
    return;
  }
  if (newest > version_ || !HeldByPeer()) {
    AskSomePeers();
  }
}

std::vector<ManifestNote> ManifestAdoption::TakeNotes() {
  return std::exchange(notes_, {});
}

bool ManifestAdoption::MayActivate() const {
  return version_ > 0 && startup_wait_ended_ &&
         (peers_.empty() || HeldByPeer());
}

bool ManifestAdoption::HeldByPeer() const {
  return std::any_of(
      peer_versions_.begin(), peer_versions_.end(),
      [&](const auto& entry) { return entry.second >= version_; });
}

bool ManifestAdoption::AllAnswered() const {
  return std::all_of(
      peers_.begin(), peers_.end(),
      [&](const std::string& each) { return peer_versions_.contains(each); });
}

void ManifestAdoption::Ask(const std::string& peer) {
  notes_.push_back({peer, version_, std::string(), true});
}

void ManifestAdoption::AskSomePeers() {
  for (size_t i = 0; i < std::min(kFanout, peers_.size()); ++i) {
    Ask(peers_[next_peer_++ % peers_.size()]);
  }
}

}  // namespace limpethatch
