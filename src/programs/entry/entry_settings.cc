#include "programs/entry/entry_settings.h"

#include "programs/entry/configured_router.h"
#include "programs/entry/service_states.h"

namespace limpethatch {
namespace {

using enum Presence;

constexpr Bounds<uint64_t> kThreads{1, 64};

}  // namespace

void EntrySettings::ReadFrom(JsonReader& reader) {
  ReadProcessSettings(reader, &process);
  ReadListeners(reader, {{"callers", &callers},
                         {"targets", &targets},
                         {"operators", &operators},
                         {"peers", &peers}});
  reader.Read("threads", &threads, kOptional, kThreads);
  reader.Read("control", &control, kRequired);
  reader.Read("seeds", &seeds, kOptional);
  reader.Read("unready_time", &unready_time, kOptional);
  reader.Read("drain_time", &drain_time, kOptional);
  reader.Read("operator_keys_file", &operator_keys_file, kOptional);
  reader.Read("silence_detection", &silence_detection, kOptional);
  reader.Read("poison_guard", &poison_guard, kOptional);
  reader.Read("live_first", &live_first, kOptional);
  reader.Read("routing", &routing, kOptional);
  reader.Read("admission", &admission, kOptional);
  if (!IsRoutingPolicy(routing)) {
    reader.AddFault("routing",
                    "expected \"weighted\", \"round_robin\" or "
                    "\"least_reported\"");
  }
  if (!ServiceStates::IsAdmissionPolicy(admission)) {
    reader.AddFault("admission", "expected \"adaptive\" or \"none\"");
  }
  if (control.empty()) {
    reader.AddFault("control", "expected at least one control instance");
  }
}

}  // namespace limpethatch
