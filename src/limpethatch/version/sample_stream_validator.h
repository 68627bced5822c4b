// Decides whether what an engine streams may join what a sample already has.
#ifndef LIMPETHATCH_VERSION_SAMPLE_STREAM_VALIDATOR_H_
#define LIMPETHATCH_VERSION_SAMPLE_STREAM_VALIDATOR_H_

#include <cstdint>
#include <set>
#include <string>

namespace limpethatch {

// One answer of one engine for one sample.
class SampleStreamValidator {
 public:
  enum class Verdict {
    kContinue,
    kDone,    // The sample is whole.
    kNotRun,  // This engine can't help with it at present.
    kBroken,  // The answer is of no further use.
  };

  struct Sample {
    uint64_t min_version = 0;  // The oldest weights that may make it.
    bool single_version = false;
    uint32_t events = 0;            // Made so far.
    std::set<uint64_t> versions{};  // That made them.
  };

  explicit SampleStreamValidator(Sample sample) : sample_(std::move(sample)) {}

  // The answer's header; `version` is 0 if it names none.
  Verdict OnHeader(uint64_t version);
  // An event; `version` is 0 unless the weights changed with it.
  Verdict OnEvent(uint64_t id, uint64_t version);
  // The regular end; `partial` if it came within an event.
  Verdict OnStreamEnd(bool partial);

  // That made the latest event; 0 if it is not known.
  uint64_t version() const { return version_; }
  // What was made before can't stand together with this answer.
  bool discard() const { return discard_; }
  // Why the last verdict was not to go on.
  const char* reason() const { return reason_; }

 private:
  Verdict Refuse(Verdict verdict, const char* reason);

  Sample sample_;
  uint64_t version_ = 0;
  bool discard_ = false;
  const char* reason_ = "";
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_SAMPLE_STREAM_VALIDATOR_H_
