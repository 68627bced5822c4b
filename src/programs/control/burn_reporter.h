// Feeds outcomes to the leader's burn meter and builds the burn report from
// it.
#ifndef LIMPETHATCH_PROGRAMS_CONTROL_BURN_REPORTER_H_
#define LIMPETHATCH_PROGRAMS_CONTROL_BURN_REPORTER_H_

#include <cstdint>
#include <string>

#include "control.pb.h"
#include "limpethatch/process/burn_meter.h"
#include "limpethatch/version/manifest.h"
#include "limpethatch/version/manifest_register.h"

namespace limpethatch {

class BurnReporter {
 public:
  // Called when this replica becomes the leader: discards all counts.
  void Start(TimePoint now) { meter_.Start(now); }

  // Counts the tallies of an entry instance. Services that are not in the
  // manifest are ignored.
  void OnHello(const ManifestRegister& manifest,
               const wire::ControlRequest& request,
               TimePoint now);
  // `command` was applied and returned `result`.
  void OnApplied(const ManifestRegister& manifest,
                 const wire::Command& command,
                 const wire::CommandResult& result,
                 TimePoint now);

  wire::BurnReply Report(const ManifestRegister& manifest, TimePoint now);

 private:
  void RefreshManifest(const ManifestRegister& manifest);

  BurnMeter meter_;
  uint64_t manifest_version_ = 0;
  Manifest manifest_;  // As of `manifest_version_`.
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_CONTROL_BURN_REPORTER_H_
