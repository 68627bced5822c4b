// Decides when an entry instance puts a manifest in force.
//
// A version is activated once another instance of the zone (a peer) holds it,
// or if there are no peers. An instance that restarts while its zone is cut off
// can thus fetch the version that it had activated from a peer. After its
// start, an instance activates nothing until its peers have reported the
// versions that they hold, or kMaxStartupWait has passed.
//
// Not covered: all holders of a version in a zone are lost at once while the
// zone is cut off.
#ifndef LIMPETHATCH_VERSION_MANIFEST_ADOPTION_H_
#define LIMPETHATCH_VERSION_MANIFEST_ADOPTION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "limpethatch/process/clock.h"

namespace limpethatch {

// A message that tells a peer which version the sender holds.
struct ManifestNote {
  std::string peer;      // Address (IP:PORT) of the receiver or the sender.
  uint64_t version = 0;  // 0 for none.
  std::string manifest;  // Empty unless the receiver is known to lack it.
  bool answer = false;   // Requests a note in return.
};

// A pure state machine without I/O. Not thread-safe.
class ManifestAdoption {
 public:
  // Shortest time to wait for peers to become known after the start, and
  // longest time to wait for their answers.
  static constexpr Duration kMinStartupWait = std::chrono::milliseconds(400);
  static constexpr Duration kMaxStartupWait = std::chrono::milliseconds(1500);
  // Peers that are queried at each tick after the startup wait.
  static constexpr size_t kFanout = 2;

  explicit ManifestAdoption(TimePoint started) : started_(started) {}

  // Sets the addresses of the other instances present in the zone.
  void SetPeers(std::vector<std::string> peers);
  // Stores an accepted version that was fetched from the control group.
  // Versions not newer than the current one are ignored.
  void Store(uint64_t version, const std::string& manifest);
  void Receive(const ManifestNote& note);
  // Queries peers as needed. Must be called regularly; `newest` is the newest
  // version number known from any source.
  void Tick(uint64_t newest, TimePoint now);

  // Returns the notes to send and clears them.
  std::vector<ManifestNote> TakeNotes();

  uint64_t version() const { return version_; }
  const std::string& manifest() const { return manifest_; }
  // Whether the stored version may be put in force.
  bool MayActivate() const;

 private:
  bool HeldByPeer() const;
  bool AllAnswered() const;
  void Ask(const std::string& peer);
  void AskSomePeers();

  const TimePoint started_;
  uint64_t version_ = 0;
  std::string manifest_;
  bool startup_wait_ended_ = false;
  std::vector<std::string> peers_;
  std::map<std::string, uint64_t> peer_versions_;  // As last reported.
  size_t next_peer_ = 0;
  std::vector<ManifestNote> notes_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_MANIFEST_ADOPTION_H_
