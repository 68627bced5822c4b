// Options of the engine stand-in.
#ifndef PROGRAMS_STANDIN_ENGINE_OPTIONS_H_
#define PROGRAMS_STANDIN_ENGINE_OPTIONS_H_

#include <string>

#include "limpethatch/request/synthetic.h"
#include "programs/standin/engine_model.h"
#include "programs/standin/target.h"

namespace limpethatch::standin {

struct EngineOptions {
  TargetOptions target;
  EngineModelOptions model;
  SyntheticLengths lengths;
  std::string pool;
  uint64_t version = 1;
  bool checks_fencing = true;
  Endpoint weights_store;
  // How long decoding pauses while weights are swapped.
  Duration load_time = std::chrono::milliseconds(200);
  double swap_failure_rate = 0;
  std::string poison = "POISON";
  // Tokens are batched for at most this long before they are sent.
  Duration event_interval = std::chrono::milliseconds(20);
  uint64_t seed = 1;
};

}  // namespace limpethatch::standin

#endif  // PROGRAMS_STANDIN_ENGINE_OPTIONS_H_
