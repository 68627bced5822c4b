// When an entry instance puts a manifest in force.
//
// A version is served once another instance of the zone holds it, or there is
// none: so an instance that restarts while its zone is cut off finds at a
// neighbour what it served before. A started instance serves nothing until
// its neighbours have said what they hold.
//
// Not covered: the loss of all holders in a zone at once while it is cut off.
#ifndef LIMPETHATCH_VERSION_MANIFEST_ADOPTION_H_
#define LIMPETHATCH_VERSION_MANIFEST_ADOPTION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "limpethatch/process/clock.h"

namespace limpethatch {

// What one instance tells another that it holds.
struct ManifestNote {
  std::string peer;      // Receiver, or sender of a received one: IP:PORT.
  uint64_t version = 0;  // 0 for none.
  std::string manifest;  // Empty if the receiver is not known to lack it.
  bool answer = false;   // Asks for the receiver's note.
};

// A pure state machine; not safe from several threads.
class ManifestAdoption {
 public:
  // How long to wait for the first sight of neighbours, and for answers.
  static constexpr Duration kMinStartupWait = std::chrono::milliseconds(400);
  static constexpr Duration kMaxStartupWait = std::chrono::milliseconds(1500);
  // Neighbours that are told or asked at each tick after the inquiry.
  static constexpr size_t kFanout = 2;

  explicit ManifestAdoption(TimePoint started) : started_(started) {}

  // The other instances of the zone that are present.
  void SetPeers(std::vector<std::string> peers);
  // The control group gave this accepted version.
  void Store(uint64_t version, const std::string& manifest);
  void Receive(const ManifestNote& note);
  // `newest` is the newest version number heard of. To be called regularly.
  void Tick(uint64_t newest, TimePoint now);

  std::vector<ManifestNote> TakeNotes();

  uint64_t version() const { return version_; }
  const std::string& manifest() const { return manifest_; }
  // Whether the version that is held may be put in force.
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
  std::map<std::string, uint64_t> peer_versions_;  // As each said last.
  size_t next_peer_ = 0;
  std::vector<ManifestNote> notes_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_MANIFEST_ADOPTION_H_
