#include "programs/entry/entry_context.h"

#include "limpethatch/process/log.h"
#include "limpethatch/process/session_table.h"

namespace limpethatch {
namespace {

constexpr Duration kDisabledProgressTimeout = std::chrono::hours(1);

}  // namespace

std::string EntryContext::Holder() const {
  return HolderName(settings.process.id, control.incarnation());
}

void EntryContext::RenewHolder(const std::string& former_holder) {
  const uint64_t current = control.incarnation();
  if (HolderName(settings.process.id, current) == former_holder) {
    control.RenewIncarnation(current);
  }
}

Duration EntryContext::ProgressTimeout(const ServiceState& state) const {
  return settings.silence_detection ? state.silence.progress_deadline()
                                    : kDisabledProgressTimeout;
}

RoutedTargetPtr EntryContext::Choose(const RouteRequest& request) {
  return targets.Read(
      [&](const TargetTable& table) { return routing.Choose(table, request); });
}

ManifestPtr EntryContext::CurrentManifest() const {
  return manifest.Read([](const ManifestPtr& current) { return current; });
}

uint64_t EntryContext::Random() {
  // SplitMix64 (Steele, Lea and Flood, 2014).
  uint64_t z =
      random_state.fetch_add(0x9e3779b97f4a7c15ULL, std::memory_order_relaxed);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

}  // namespace limpethatch
