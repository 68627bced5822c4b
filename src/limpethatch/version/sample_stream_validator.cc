#include "limpethatch/version/sample_stream_validator.h"

namespace limpethatch {

using Verdict = SampleStreamValidator::Verdict;

Verdict SampleStreamValidator::Refuse(Verdict verdict, const char* reason) {
  reason_ = reason;
  return verdict;
}

Verdict SampleStreamValidator::OnHeader(uint64_t version) {
  version_ = version;
  // An engine that has no events left to send names no version.
  if (version != 0 && version < sample_.min_version) {
    return Refuse(Verdict::kNotRun, "weights_too_old");
  }
  // An engine refuses a request that expects other weights than it has, and its
  // weights only become newer.
  if (version != 0 && version < sample_.expected_version) {
    return Refuse(Verdict::kBroken, "weights_older_than_expected");
  }
  return Verdict::kContinue;
}

Verdict SampleStreamValidator::OnEvent(uint64_t id,
                                       uint64_t version,
                                       size_t bytes) {
  if (version != 0 && version < version_) {
    return Refuse(Verdict::kBroken, "weights_older_than_before");
  }
  if (version != 0) {
    version_ = version;
  }
  if (version_ == 0) {
    return Refuse(Verdict::kBroken, "weights_not_named");
  }
  if (id != sample_.events + 1) {
    return Refuse(Verdict::kBroken, "event_out_of_order");
  }
  if (version_ < sample_.min_version) {
    return Refuse(Verdict::kBroken, "weights_too_old");
  }
  if (sample_.single_version && !sample_.versions.empty() &&
      !sample_.versions.contains(version_)) {
    discard_ = true;
    return Refuse(Verdict::kBroken, "weights_changed");
  }
  empty_events_ = bytes == 0 ? empty_events_ + 1 : 0;
  if (sample_.events >= sample_.limit.events ||
      sample_.bytes + bytes > sample_.limit.bytes ||
      empty_events_ > kMaxEmptyEvents) {
    // No part of the text can be trusted.
    discard_ = true;
    limit_exceeded_ = true;
    return Refuse(Verdict::kBroken, "output_limit_exceeded");
  }
  sample_.versions.insert(version_);
  sample_.bytes += bytes;
  ++sample_.events;
  return Verdict::kContinue;
}

Verdict SampleStreamValidator::OnStreamEnd(bool partial) {
  if (partial || sample_.events == 0) {
    return Refuse(Verdict::kBroken, "ended_within_an_event");
  }
  return Verdict::kDone;
}

}  // namespace limpethatch
