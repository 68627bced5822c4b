// Checks answers to live requests. The request determines the expected answer,
// because all content is synthetic.
#ifndef PROGRAMS_LOAD_ANSWER_CHECK_H_
#define PROGRAMS_LOAD_ANSWER_CHECK_H_

#include <string>
#include <string_view>
#include <vector>

#include "limpethatch/connection/http_client.h"
#include "limpethatch/request/synthetic.h"
#include "programs/load/request_stats.h"

namespace limpethatch::load {

// A completion as an answer or a delivered sample states it.
struct ReportedCompletion {
  std::string text;
  uint32_t tokens = 0;
  std::vector<TokenRange> ranges;
  std::string digest;
  std::string finish_reason;
};

// Result of a completion check; corruption takes precedence over mislabelling.
enum class CompletionFault {
  kNone,
  kCorrupt,      // Text, length, ranges or digest is wrong or incomplete.
  kMislabelled,  // The text is right, but a range names the wrong version.
};

CompletionFault CheckCompletion(const ReportedCompletion& completion,
                                uint64_t key,
                                uint32_t expected_tokens,
                                bool capped);

// Reads an event stream up to its done marker; false if it is incomplete or
// holds an error.
bool ReadEventStream(std::string_view body, ReportedCompletion* completion);

// Classifies a call that got no answer or a status other than 200.
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
