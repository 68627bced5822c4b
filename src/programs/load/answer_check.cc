#include "programs/load/answer_check.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <optional>

#include "limpethatch/process/json_members.h"
#include "limpethatch/request/digest.h"
#include "programs/load/range_reader.h"

namespace limpethatch::load {
namespace json = boost::json;
namespace {

constexpr std::string_view kDataField = "data: ";
constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDoneMarker = "[DONE]";

bool RangesCover(const std::vector<TokenRange>& ranges, uint32_t tokens) {
  uint32_t next = 0;
  for (const TokenRange& range : ranges) {
    if (range.first_token != next || range.end_token <= next) {
      return false;
    }
    next = range.end_token;
  }
  return next == tokens;
}

// Removes the letter of each token that depends on the weight version.
std::string StripVersionLetters(std::string_view text) {
  std::string kept;
  for (size_t i = 0; i < text.size(); ++i) {
    if (i % kSyntheticTokenBytes != kSyntheticTokenBytes - 2) {
      kept.push_back(text[i]);
    }
  }
  return kept;
}

// Adds one event to `completion`; returns the error if the event holds one.
std::optional<json::object> AddEvent(const json::object& event,
                                     ReportedCompletion* completion) {
  if (const json::object* error = ObjectMember(event, "error")) {
    return *error;
  }
  const json::array* choices = ArrayMember(event, "choices");
  const json::object* choice = choices == nullptr || choices->empty()
                                   ? nullptr
                                   : choices->front().if_object();
  const json::object* detail = ObjectMember(event, "limpethatch");
  if (choice == nullptr || detail == nullptr) {
    return std::nullopt;
  }
  completion->text += StringMember(*choice, "text");
  if (const std::string reason = StringMember(*choice, "finish_reason");
      !reason.empty()) {
    completion->finish_reason = reason;
    completion->tokens =
        static_cast<uint32_t>(UnsignedMember(*detail, "tokens"));
    completion->digest = StringMember(*detail, "digest");
    completion->ranges = ReadRanges(*detail);
  }
  return std::nullopt;
}

// Reads events up to the done marker; returns the first error event, if any.
std::optional<json::object> ReadEvents(std::string_view body,
                                       ReportedCompletion* completion,
                                       bool* complete) {
  *complete = false;
  while (true) {
    const size_t end = body.find(kEventEnd);
    if (end == std::string_view::npos) {
      return std::nullopt;
    }
    std::string_view event = body.substr(0, end);
    body.remove_prefix(end + kEventEnd.size());
    if (!event.starts_with(kDataField)) {
      continue;
    }
    event.remove_prefix(kDataField.size());
    if (event == kDoneMarker) {
      *complete = !completion->finish_reason.empty();
      return std::nullopt;
    }
    if (const auto object = ParseJsonObject(event)) {
      if (auto error = AddEvent(*object, completion)) {
        return error;
      }
    }
  }
}

CallResult RefusedResult(const json::object& error) {
  return {Verdict::kRefused, StringMember(error, "code"),
          StringMember(error, "ran")};
}

CallResult WrongResult(std::string_view what) {
  return {Verdict::kWrong, std::string(what), ""};
}

CallResult AnsweredResult() {
  return {Verdict::kAnswered, "", ""};
}

bool IsSuccess(const HttpOutcome& outcome) {
  return outcome.progress == CallProgress::kAnswered &&
         outcome.response.status == 200;
}

}  // namespace

CompletionFault CheckCompletion(const ReportedCompletion& completion,
                                uint64_t key,
                                uint32_t expected_tokens,
                                bool capped) {
  const std::string expected =
      SyntheticText(key, completion.ranges, 0, completion.tokens);
  if (completion.tokens != expected_tokens ||
      completion.finish_reason != (capped ? "length" : "stop") ||
      !RangesCover(completion.ranges, completion.tokens) ||
      completion.digest != DigestToHex(ContentDigest(completion.text)) ||
      StripVersionLetters(completion.text) != StripVersionLetters(expected)) {
    return CompletionFault::kCorrupt;
  }
  return completion.text == expected ? CompletionFault::kNone
                                     : CompletionFault::kMislabelled;
}

bool ReadEventStream(std::string_view body, ReportedCompletion* completion) {
  bool complete = false;
  return !ReadEvents(body, completion, &complete) && complete;
}

CallResult ClassifyFailure(const HttpOutcome& outcome) {
  if (outcome.progress == CallProgress::kNotSent) {
    return {Verdict::kNotSent, "", "not_run"};
  }
  if (outcome.progress == CallProgress::kMaybeRan) {
    return {Verdict::kCutOff, "", "may_have_run"};
  }
  const auto body = ParseJsonObject(outcome.response.body);
  const json::object* error = body ? ObjectMember(*body, "error") : nullptr;
  return error != nullptr ? RefusedResult(*error)
                          : WrongResult("refusal without a code");
}

CallResult CheckLookup(const HttpOutcome& outcome,
                       std::string_view target_path) {
  if (!IsSuccess(outcome)) {
    return ClassifyFailure(outcome);
  }
  return outcome.response.body == SyntheticStock(target_path)
             ? AnsweredResult()
             : WrongResult("another answer's body");
}

CallResult CheckOrder(const HttpOutcome& outcome, std::string_view key) {
  if (!IsSuccess(outcome)) {
    return ClassifyFailure(outcome);
  }
  const auto body = ParseJsonObject(outcome.response.body);
  if (!body || StringMember(*body, "order") != key) {
    return WrongResult("another order's answer");
  }
  return UnsignedMember(*body, "run") == 1 ? AnsweredResult()
                                           : WrongResult("ran twice");
}

CallResult CheckLiveCompletion(const HttpOutcome& outcome,
                               uint64_t key,
                               const SyntheticLengths& lengths,
                               uint32_t max_tokens) {
  const bool broken_stream = outcome.progress == CallProgress::kMaybeRan &&
                             !outcome.response.body.empty();
  if (!IsSuccess(outcome) && !broken_stream) {
    return ClassifyFailure(outcome);
  }
  ReportedCompletion completion;
  bool complete = false;
  const auto error = ReadEvents(outcome.response.body, &completion, &complete);
  if (error) {
    return RefusedResult(*error);
  }
  if (!complete) {
    return broken_stream ? ClassifyFailure(outcome)
                         : WrongResult("short answer");
  }
  const uint32_t uncapped_tokens = SyntheticLength(key, lengths, UINT32_MAX);
  switch (CheckCompletion(completion, key,
                          std::min(uncapped_tokens, max_tokens),
                          uncapped_tokens > max_tokens)) {
    case CompletionFault::kNone:
      return AnsweredResult();
    case CompletionFault::kCorrupt:
      return WrongResult("corrupt completion");
    case CompletionFault::kMislabelled:
      return WrongResult("mislabelled completion");
  }
  return AnsweredResult();
}

}  // namespace limpethatch::load
