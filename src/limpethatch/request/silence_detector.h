// Learns how long a service's connections are normally silent, and detects
// connections that are dead.
#ifndef LIMPETHATCH_REQUEST_SILENCE_DETECTOR_H_
#define LIMPETHATCH_REQUEST_SILENCE_DETECTOR_H_

#include <atomic>
#include <cstdint>

#include "limpethatch/process/clock.h"

namespace limpethatch {

struct SilenceOptions {
  Duration min_timeout = std::chrono::milliseconds(200);
  // Together with probe_timeout this bounds the detection time.
  Duration max_timeout = std::chrono::milliseconds(1500);
  Duration probe_timeout = std::chrono::milliseconds(500);
};

// A probe is a cheap request to the same target on a new connection.
enum class ProbeState : uint8_t { kNone, kPending, kAnswered, kFailed };

// A call that is waiting for bytes.
struct SilentCall {
  Duration silent_for{};  // Since its last byte, or since it was sent.
  Duration since_probe{};
  ProbeState probe = ProbeState::kNone;
  bool idempotent = false;
};

enum class SilenceAction : uint8_t {
  kWait,
  kProbe,
  // Close the connection and all idle connections to that target. The call may
  // have run.
  kDropConnection,
};

// There is one for each service and request class. Lock-free and thread-safe.
class SilenceDetector {
 public:
  explicit SilenceDetector(SilenceOptions options);

  // A call received bytes after `gap` without any.
  void OnProgress(Duration gap);
  // A connection was dropped as silent. Lengthens the timeout, so that a
  // service that is merely slow does not lose all its calls.
  void OnDrop();

  // Time without a byte after which a connection is probed.
  Duration progress_deadline() const;

  // A non-idempotent call is never dropped: it could not be retried, and its
  // answer may still arrive before its deadline.
  SilenceAction Evaluate(const SilentCall& call) const;

 private:
  const SilenceOptions options_;
  std::atomic<double> mean_s_;
  std::atomic<double> deviation_s_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_SILENCE_DETECTOR_H_
