// Learns how long a service's connections are quiet when all is well, and
// finds those that have gone silent for good.
#ifndef LIMPETHATCH_REQUEST_SILENCE_DETECTOR_H_
#define LIMPETHATCH_REQUEST_SILENCE_DETECTOR_H_

#include <atomic>
#include <cstdint>

#include "limpethatch/process/clock.h"

namespace limpethatch {

struct SilenceOptions {
  Duration min_timeout = std::chrono::milliseconds(200);
  // With the probe's time this bounds the time to detection.
  Duration max_timeout = std::chrono::milliseconds(1500);
  Duration probe_timeout = std::chrono::milliseconds(500);
};

// A probe is a cheap request to the same target on a fresh connection.
enum class ProbeState : uint8_t { kNone, kPending, kAnswered, kFailed };

// A call that waits for bytes.
struct SilentCall {
  Duration silent_for{};  // Since its last byte, or since it was sent.
  Duration since_probe{};
  ProbeState probe = ProbeState::kNone;
  bool idempotent = false;
};

enum class SilenceAction : uint8_t {
  kWait,
  kProbe,
  // Closes the connection and every idle one to that target; the call may
  // have run.
  kDropConnection,
};

// One for each service and request class. Atomics only.
class SilenceDetector {
 public:
  explicit SilenceDetector(SilenceOptions options);

  // A call made progress after `gap` without a byte.
  void OnProgress(Duration gap);
  // A connection was dropped as silent. Makes the detector more patient, so
  // that a service that is merely slow does not lose all its calls.
  void OnDrop();

  // The quiet time after which a connection is probed.
  Duration progress_deadline() const;

  // A call that is not idempotent is never dropped: nothing could be done
  // with it, and its answer may still come before its deadline.
  SilenceAction Evaluate(const SilentCall& call) const;

 private:
  const SilenceOptions options_;
  std::atomic<double> mean_s_;
  std::atomic<double> deviation_s_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_SILENCE_DETECTOR_H_
