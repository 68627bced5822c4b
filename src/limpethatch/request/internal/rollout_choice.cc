#include "limpethatch/request/internal/rollout_choice.h"

#include <algorithm>

namespace limpethatch::internal {
namespace {

// Longer than the lag of load reports.
constexpr Duration kBorrowPeriod = std::chrono::seconds(4);
constexpr double kBorrowableShare = 0.5;
constexpr Duration kProbeInterval = std::chrono::seconds(1);

double OtherWorkAt(const ServiceTargets& service, const RoutedTarget& routed) {
  return routed.target.load.measured == TimePoint()
             ? service.mean_other_work
             : routed.reported_other_work;
}

uint32_t RolloutSlots(const Target& target, const RolloutShare& share) {
  return target.slots > share.spare_slots ? target.slots - share.spare_slots
                                          : 0;
}

// Divides the slots of a target evenly among the instances. The remainder
// starts at an instance that depends only on the target's id, so that it is
// stable when other targets change.
uint32_t OwnSlots(const RoutedTarget& routed, const RolloutShare& share) {
  const uint32_t slots = RolloutSlots(routed.target, share);
  const auto begin = static_cast<uint32_t>(routed.id_hash % share.instances);
  const uint32_t place =
      (share.instance + share.instances - begin) % share.instances;
  return slots / share.instances + (place < slots % share.instances ? 1 : 0);
}

// Random decision, made once per period, with a probability such that all
// instances together borrow a part of the free slots, and see the effect in the
// reports before they decide again. Only a part is borrowed, because the owners
// of the free slots may need them.
bool ShouldBorrow(const RoutedTarget& routed,
                  double free,
                  const RolloutShare& share) {
  constexpr double kRange = 18446744073709551616.0;  // 2^64.
  const Duration measured = routed.target.load.measured.time_since_epoch();
  const auto period = static_cast<uint64_t>(measured / kBorrowPeriod);
  const uint64_t draw =
      MixBits(MixBits(routed.id_hash ^ period) + share.instance);
  return static_cast<double>(draw) / kRange * share.instances <
         free * kBorrowableShare;
}

// Borrows or returns a slot; at most one is borrowed per period. Only slots
// that have been free for a whole period are borrowed, not those between two
// rollouts.
void AdjustBorrowedSlots(const RoutedTarget& routed,
                         double free,
                         const RolloutShare& share) {
  const TimePoint measured = routed.target.load.measured;
  const Duration free_for = routed.stats->ObserveFreeSlots(free >= 1, measured);
  if (free < 0) {
    routed.stats->ReturnSlot(measured);
  } else if (free_for >= kBorrowPeriod && ShouldBorrow(routed, free, share)) {
    routed.stats->BorrowSlot(measured -
                             measured.time_since_epoch() % kBorrowPeriod);
  }
}

// Whether the target has a free slot that this instance may use.
bool HasSlot(const ServiceTargets& service,
             const RoutedTarget& routed,
             const RolloutShare& share) {
  const double work =
      routed.stats->outstanding() + OtherWorkAt(service, routed);
  const double free = RolloutSlots(routed.target, share) - work;
  const uint32_t own = OwnSlots(routed, share);
  const uint32_t used = routed.stats->rollouts_outstanding();
  if (used < own) {
    return work + 1 <= routed.target.slots;
  }
  AdjustBorrowedSlots(routed, free, share);
  return used < own + routed.stats->borrowed_slots() && free >= 1;
}

// An ejected target gets at most one rollout at a time, as a probe.
bool MayProbe(const RoutedTarget& routed, TimePoint now) {
  return routed.stats->outstanding() == 0 &&
         routed.stats->TryClaimProbe(now, kProbeInterval);
}

}  // namespace

uint64_t MixBits(uint64_t value) {
  value = (value ^ (value >> 33)) * 0xff51afd7ed558ccdULL;
  value = (value ^ (value >> 33)) * 0xc4ceb9fe1a85ec53ULL;
  return value ^ (value >> 33);
}

bool IsAllowed(const RoutedTarget& routed, const RouteRequest& request) {
  return (!request.version || routed.target.version == *request.version) &&
         std::find(request.excluded.begin(), request.excluded.end(),
                   routed.target.id) == request.excluded.end();
}

RoutedTargetPtr ChooseRollout(const ServiceTargets& service,
                              std::span<const RoutedTargetPtr> from,
                              const RouteRequest& request,
                              const RolloutShare& share) {
  const size_t count = from.size();
  for (size_t step = 0; step < count; ++step) {
    const auto& routed = from[(request.random + step) % count];
    if (IsAllowed(*routed, request) && HasSlot(service, *routed, share) &&
        (!routed->stats->ejected() || MayProbe(*routed, request.now))) {
      return routed;
    }
  }
  return nullptr;
}

}  // namespace limpethatch::internal
