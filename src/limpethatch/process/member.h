// Types that describe the instances and targets in the membership.
#ifndef LIMPETHATCH_PROCESS_MEMBER_H_
#define LIMPETHATCH_PROCESS_MEMBER_H_

#include <cstdint>
#include <string>

#include "limpethatch/process/clock.h"

namespace limpethatch {

enum class MemberKind { kInstance, kEngine, kService };

// Identity and capabilities of a member, as last announced.
struct MemberInfo {
  std::string id;
  std::string address;  // "IP:PORT".
  MemberKind kind = MemberKind::kEngine;
  std::string group;  // Name of the service or pool.
  std::string zone;
  uint32_t slots = 0;
  uint64_t version = 0;
  bool checks_fencing = false;
  // Increases with each restart. State of an older incarnation is discarded.
  uint64_t incarnation = 0;

  bool operator==(const MemberInfo&) const = default;
};

struct MemberLoad {
  uint32_t running = 0;
  uint32_t queued = 0;
  uint32_t cache_percent = 0;
};

// A heartbeat that a member sends about itself. The sequence starts at 1 and
// increases with each announcement of an incarnation. `leaving` is final within
// an incarnation.
struct Announcement {
  MemberInfo info;
  uint64_t sequence = 1;
  bool leaving = false;
  MemberLoad load;
};

enum class MemberState {
  kServing,
  kLeaving,      // Finishes its work in progress; gets no new work.
  kUnreachable,  // Not reachable from this zone.
};

struct MemberView {
  MemberInfo info;
  MemberState state = MemberState::kServing;
  bool own_zone = false;
  // Set for members of the own zone only.
  MemberLoad load;
  Duration load_age = Duration::zero();
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_MEMBER_H_
