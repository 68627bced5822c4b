// Settings of an entry instance.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_ENTRY_SETTINGS_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_ENTRY_SETTINGS_H_

#include <string>
#include <vector>

#include "limpethatch/process/settings.h"

namespace limpethatch {

struct EntrySettings {
  ProcessSettings process;
  Endpoint callers;    // Requests of callers and trainers.
  Endpoint targets;    // Announcements of targets.
  Endpoint operators;  // Operators' calls, health and metrics.
  Endpoint peers;      // Messages between instances.
  uint64_t threads = 2;
  // "peers" endpoints of the control instances.
  std::vector<Endpoint> control;
  // "peers" endpoints of entry instances through which this one joins the
  // membership.
  std::vector<Endpoint> seeds;
  // How long a drain reports unready before it closes listeners. The balancer
  // must notice within this time.
  Duration unready_time = std::chrono::seconds(1);
  // How long a drain waits for unfinished work.
  Duration drain_time = std::chrono::minutes(10);
  // File with the operators' keys, one per line. If empty, operators' calls
  // need no key.
  std::string operator_keys_file;
  // Policy for choosing targets; see IsRoutingPolicy. All but the default are
  // baselines for comparison.
  std::string routing = "weighted";
  // Whether load is limited; see ServiceStates::IsAdmissionPolicy.
  std::string admission = "adaptive";
  // Whether live requests may take slots from rollouts beyond the live slots
  // that the manifest declares.
  bool live_first = true;
  // Whether calls on a silent connection are retried on a new one.
  bool silence_detection = true;
  // Whether requests that crash targets are detected and refused.
  bool poison_guard = true;

  void ReadFrom(JsonReader& reader);
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_ENTRY_SETTINGS_H_
