#include "programs/entry/target_directory.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "limpethatch/process/digest.h"

namespace limpethatch {
namespace {

// Of targets that have not reported their load.
constexpr TimePoint kNoReport{};

Target TargetOf(const MemberView& view, TimePoint taken_at) {
  Target target;
  target.id = view.info.id;
  ParseEndpoint(view.info.address, &target.address);
  target.kind = view.info.kind == MemberKind::kEngine
                    ? TargetKind::kEngine
                    : TargetKind::kPlainService;
  target.service = view.info.group;
  target.zone = view.info.zone;
  target.slots = view.info.slots;
  target.version = view.info.version;
  target.checks_fencing = view.info.checks_fencing;
  target.incarnation = view.info.incarnation;
  target.leaving = view.state == MemberState::kLeaving;
  target.load.running = view.load.running;
  target.load.waiting = view.load.queued;
  target.load.measured = view.own_zone ? taken_at - view.load_age : kNoReport;
  return target;
}

uint64_t RendezvousWeight(const std::string& instance,
                          const std::string& engine) {
  return ContentDigest(fmt::format("{}\n{}", instance, engine));
}

}  // namespace

void TargetDirectory::Update(
    std::shared_ptr<const MembershipSnapshot> snapshot) {
  std::vector<Target> targets;
  size_t instances = 0;
  for (const MemberView& view : snapshot->members) {
    if (view.info.kind == MemberKind::kInstance) {
      instances += view.state == MemberState::kServing ? 1 : 0;
    } else if (view.state != MemberState::kUnreachable) {
      targets.push_back(TargetOf(view, snapshot->taken_at));
    }
  }
  context_.instances = std::max<size_t>(instances, 1);
  snapshot_ = std::move(snapshot);
  context_.targets.Update([&](const TargetTable& previous) {
    return std::make_unique<TargetTable>(std::move(targets), &previous);
  });
}

bool TargetDirectory::OwnsEngine(const Target& engine) const {
  const std::string& self = context_.settings.process.id;
  const auto snapshot = snapshot_.load();
  const uint64_t own_weight = RendezvousWeight(self, engine.id);
  bool zone_has_instance = engine.zone == context_.settings.process.zone;
  bool highest_in_zone = zone_has_instance;
  bool highest_overall = true;
  for (const MemberView& view : snapshot->members) {
    if (view.info.kind != MemberKind::kInstance ||
        view.state != MemberState::kServing) {
      continue;
    }
    const bool outweighs_self =
        RendezvousWeight(view.info.id, engine.id) > own_weight;
    highest_overall &= !outweighs_self;
    if (view.info.zone == engine.zone) {
      zone_has_instance = true;
      highest_in_zone &= !outweighs_self;
    }
  }
  return zone_has_instance ? highest_in_zone : highest_overall;
}

}  // namespace limpethatch
