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
constexpr std::string_view kEndMark = "[DONE]";

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

// The text with the letters that name versions left out.
std::string WithoutVersions(std::string_view text) {
  std::string kept;
  for (size_t i = 0; i < text.size(); ++i) {
    if (i % kSyntheticTokenBytes != kSyntheticTokenBytes - 2) {
      kept.push_back(text[i]);
    }
  }
  return kept;
}

// Adds one event; the error it holds, if any.
std::optional<json::object> AddEvent(const json::object& event,
                                     CompletionClaim* claim) {
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
  claim->text += StringMember(*choice, "text");
  if (const std::string reason = StringMember(*choice, "finish_reason");
      !reason.empty()) {
    claim->finish_reason = reason;
    claim->tokens = static_cast<uint32_t>(UnsignedMember(*detail, "tokens"));
    claim->digest = StringMember(*detail, "digest");
    claim->ranges = ReadRanges(*detail);
  }
  return std::nullopt;
}

// Reads events up to the end mark; the error event, if one comes.
std::optional<json::object> ReadEvents(std::string_view body,
                                       CompletionClaim* claim,
                                       bool* whole) {
  *whole = false;
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
    if (event == kEndMark) {
      *whole = !claim->finish_reason.empty();
      return std::nullopt;
    }
    if (const auto object = ParseJsonObject(event)) {
      if (auto error = AddEvent(*object, claim)) {
        return error;
      }
    }
  }
}

Ending Refused(const json::object& error) {
  return {Verdict::kRefused, StringMember(error, "code"),
          StringMember(error, "ran")};
}

Ending Wrong(std::string_view what) {
  return {Verdict::kWrong, std::string(what), ""};
}

Ending Answered() {
  return {Verdict::kAnswered, "", ""};
}

bool IsAnswer(const HttpOutcome& outcome) {
  return outcome.progress == CallProgress::kAnswered &&
         outcome.response.status == 200;
}

}  // namespace

CompletionFault CheckCompletion(const CompletionClaim& claim,
                                uint64_t key,
                                uint32_t expected_tokens,
                                bool capped) {
  const std::string expected =
      SyntheticText(key, claim.ranges, 0, claim.tokens);
  if (claim.tokens != expected_tokens ||
      claim.finish_reason != (capped ? "length" : "stop") ||
      !RangesCover(claim.ranges, claim.tokens) ||
      claim.digest != DigestToHex(ContentDigest(claim.text)) ||
      WithoutVersions(claim.text) != WithoutVersions(expected)) {
    return CompletionFault::kCorrupt;
  }
  return claim.text == expected ? CompletionFault::kNone
                                : CompletionFault::kMislabelled;
}

bool ReadEventStream(std::string_view body, CompletionClaim* claim) {
  bool whole = false;
  return !ReadEvents(body, claim, &whole) && whole;
}

Ending ReadFailure(const HttpOutcome& outcome) {
  if (outcome.progress == CallProgress::kNotSent) {
    return {Verdict::kNotSent, "", "not_run"};
  }
  if (outcome.progress == CallProgress::kMaybeRan) {
    return {Verdict::kCutOff, "", "may_have_run"};
  }
  const auto body = ParseJsonObject(outcome.response.body);
  const json::object* error = body ? ObjectMember(*body, "error") : nullptr;
  return error != nullptr ? Refused(*error) : Wrong("refusal without a code");
}

Ending CheckLookup(const HttpOutcome& outcome, std::string_view target_path) {
  if (!IsAnswer(outcome)) {
    return ReadFailure(outcome);
  }
  return outcome.response.body == SyntheticStock(target_path)
             ? Answered()
             : Wrong("another answer's body");
}

Ending CheckOrder(const HttpOutcome& outcome, std::string_view key) {
  if (!IsAnswer(outcome)) {
    return ReadFailure(outcome);
  }
  const auto body = ParseJsonObject(outcome.response.body);
  if (!body || StringMember(*body, "order") != key) {
    return Wrong("another order's answer");
  }
  return UnsignedMember(*body, "run") == 1 ? Answered() : Wrong("ran twice");
}

Ending CheckLiveCompletion(const HttpOutcome& outcome,
                           uint64_t key,
                           const SyntheticLengths& lengths,
                           uint32_t max_tokens) {
  const bool broken_stream = outcome.progress == CallProgress::kMaybeRan &&
                             !outcome.response.body.empty();
  if (!IsAnswer(outcome) && !broken_stream) {
    return ReadFailure(outcome);
  }
  CompletionClaim claim;
  bool whole = false;
  const auto error = ReadEvents(outcome.response.body, &claim, &whole);
  if (error) {
    return Refused(*error);
  }
  if (!whole) {
    return broken_stream ? ReadFailure(outcome) : Wrong("short answer");
  }
  const uint32_t natural = SyntheticLength(key, lengths, UINT32_MAX);
  switch (CheckCompletion(claim, key, std::min(natural, max_tokens),
                          natural > max_tokens)) {
    case CompletionFault::kNone:
      return Answered();
    case CompletionFault::kCorrupt:
      return Wrong("corrupt completion");
    case CompletionFault::kMislabelled:
      return Wrong("mislabelled completion");
  }
  return Answered();
}

}  // namespace limpethatch::load
