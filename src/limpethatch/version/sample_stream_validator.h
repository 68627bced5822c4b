// Decides whether events streamed by an engine may be appended to a sample.
#ifndef LIMPETHATCH_VERSION_SAMPLE_STREAM_VALIDATOR_H_
#define LIMPETHATCH_VERSION_SAMPLE_STREAM_VALIDATOR_H_

#include <cstdint>
#include <set>
#include <string>
#include <utility>

#include "limpethatch/version/output_limit.h"

namespace limpethatch {

// Validates one response of one engine for one sample.
class SampleStreamValidator {
 public:
  enum class Verdict {
    kContinue,
    kDone,    // The sample is complete.
    kNotRun,  // The engine can't run the sample at present.
    kBroken,  // The response is invalid from here on.
  };

  struct Sample {
    uint64_t min_version = 0;       // The oldest weights allowed.
    uint64_t expected_version = 0;  // That the engine was asked for; 0: any.
    bool single_version = false;    // All events must be of the same version.
    uint32_t events = 0;            // Received so far.
    std::set<uint64_t> versions{};  // Versions that generated them.
    size_t bytes = 0;               // Of their text.
    OutputLimit limit = {.events = UINT32_MAX, .bytes = kMaxTextBytes};
  };

  explicit SampleStreamValidator(Sample sample) : sample_(std::move(sample)) {}

  // Checks the response header; `version` is 0 if it names none.
  Verdict OnHeader(uint64_t version);
  // Checks an event with `bytes` of text; `version` is 0 unless the weights
  // changed with it.
  Verdict OnEvent(uint64_t id, uint64_t version, size_t bytes = 1);
  // Checks the regular end of the stream; `partial` if it came within an event.
  Verdict OnStreamEnd(bool partial);

  // Version that generated the latest event; 0 if unknown.
  uint64_t version() const { return version_; }
  // Whether the earlier text of the sample has to be discarded, since it can't
  // be combined with this response.
  bool discard() const { return discard_; }
  // Whether the engine has exceeded the sample's output limit.
  bool limit_exceeded() const { return limit_exceeded_; }
  // Reason code of the last kNotRun or kBroken verdict.
  const char* reason() const { return reason_; }

 private:
  Verdict Refuse(Verdict verdict, const char* reason);

  Sample sample_;
  uint64_t version_ = 0;
  bool discard_ = false;
  bool limit_exceeded_ = false;
  uint32_t empty_events_ = 0;  // Consecutive ones up to the latest event.
  const char* reason_ = "";
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_SAMPLE_STREAM_VALIDATOR_H_
