// Checks of answers to live requests against what the request determines.
#ifndef PROGRAMS_LOAD_ANSWER_CHECK_H_
#define PROGRAMS_LOAD_ANSWER_CHECK_H_

#include <string>
#include <string_view>
#include <vector>

#include "limpethatch/connection/http_client.h"
#include "limpethatch/request/synthetic.h"
#include "programs/load/request_stats.h"

namespace limpethatch::load {

// What a completion says of itself, wherever it was read from.
struct ReportedCompletion {
  std::string text;
  uint32_t tokens = 0;
  std::vector<TokenRange> ranges;
  std::string digest;
  std::string finish_reason;
};

// The faults of a completion: at most one of the two for each.
enum class CompletionFault {
  kNone,
  kCorrupt,      // Text, length, ranges or digest are not right and whole.
  kMislabelled,  // The text is right, and a version named did not make it.
};

CompletionFault CheckCompletion(const ReportedCompletion& completion,
                                uint64_t key,
                                uint32_t expected_tokens,
                                bool capped);

// Reads an event stream up to its end mark; false if it is not whole.
bool ReadEventStream(std::string_view body, ReportedCompletion* completion);

// How a call ended whose status was not 200, or that got no answer.
CallResult ClassifyFailure(const HttpOutcome& outcome);

CallResult CheckLookup(const HttpOutcome& outcome,
                       std::string_view target_path);
CallResult CheckOrder(const HttpOutcome& outcome, std::string_view key);
CallResult CheckLiveCompletion(const HttpOutcome& outcome,
                               uint64_t key,
                               const SyntheticLengths& lengths,
                               uint32_t max_tokens);

}  // namespace limpethatch::load

#endif  // PROGRAMS_LOAD_ANSWER_CHECK_H_
