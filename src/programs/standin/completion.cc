#include "programs/standin/completion.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>

#include "limpethatch/process/json_members.h"
#include "limpethatch/request/digest.h"

namespace limpethatch::standin {
namespace {

constexpr uint32_t kDefaultMaxTokens = 4096;

std::string RangesJson(const std::vector<TokenRange>& ranges) {
  std::string text;
  for (const auto& [version, first, end] : ranges) {
    text += fmt::format(R"({}{{"version":{},"first_token":{},"end_token":{}}})",
                        text.empty() ? "" : ",", version, first, end);
  }
  return text;
}

// The token total includes resumed tokens; ranges and digest cover only
// `text`, the part in this answer.
std::string SummaryJson(const CompletionRequest& request,
                        const std::vector<TokenRange>& ranges,
                        std::string_view text) {
  return fmt::format(R"({{"tokens":{},"ranges":[{}],"digest":"{}"}})",
                     request.end_token, RangesJson(ranges),
                     DigestToHex(ContentDigest(text)));
}

std::string_view FinishReason(const CompletionRequest& request) {
  return request.capped ? "length" : "stop";
}

// Whether the KV cache token is for `key` and covers at least `tokens`.
bool KvCovers(std::string_view token, uint64_t key, uint32_t tokens) {
  const size_t dash = token.rfind('-');
  if (dash == std::string_view::npos ||
      token.substr(0, dash) != DigestToHex(key)) {
    return false;
  }
  return std::strtoul(std::string(token.substr(dash + 1)).c_str(), nullptr,
                      10) >= tokens;
}

}  // namespace

std::optional<CompletionRequest> ParseCompletionRequest(
    const HttpRequest& request,
    const SyntheticLengths& lengths) {
  const auto body = ParseJsonObject(request.body);
  if (!body || !body->contains("prompt")) {
    return std::nullopt;
  }
  CompletionRequest parsed;
  parsed.id = request.headers.Get("X-Request-Id");
  parsed.prompt = StringMember(*body, "prompt");
  parsed.stream = BoolMember(*body, "stream");
  parsed.key = SyntheticKey(parsed.prompt, UnsignedMember(*body, "seed"));
  const auto max_tokens = static_cast<uint32_t>(
      UnsignedMember(*body, "max_tokens", kDefaultMaxTokens));
  const uint32_t uncapped_tokens =
      SyntheticLength(parsed.key, lengths, UINT32_MAX);
  parsed.end_token =
      std::min(uncapped_tokens, std::max<uint32_t>(max_tokens, 1));
  parsed.capped = parsed.end_token < uncapped_tokens;
  const auto resumed =
      static_cast<uint32_t>(UnsignedMember(*body, "resume_from_tokens"));
  parsed.first_token = std::min(resumed, parsed.end_token);
  parsed.has_kv_cache =
      KvCovers(StringMember(*body, "kv"), parsed.key, parsed.first_token);
  return parsed;
}

std::string KvToken(uint64_t key, uint32_t tokens) {
  return fmt::format("{}-{}", DigestToHex(key), tokens);
}

std::string TokenEvents(uint64_t key,
                        const std::vector<TokenRange>& ranges,
                        uint32_t first,
                        uint32_t end) {
  std::string events;
  for (const TokenRange& range : ranges) {
    const uint32_t from = std::max(first, range.first_token);
    const uint32_t to = std::min(end, range.end_token);
    if (from >= to) {
      continue;
    }
    events += fmt::format(
        R"(data: {{"choices":[{{"text":"{}"}}],)"
        R"("limpethatch":{{"token":{},"tokens":{},"version":{}}}}})",
        SyntheticText(key, ranges, from, to), from, to - from, range.version);
    events += "\n\n";
  }
  return events;
}

std::string FinalEvents(const CompletionRequest& request,
                        const std::vector<TokenRange>& ranges) {
  const std::string text = SyntheticText(
      request.key, ranges, request.first_token, request.end_token);
  return fmt::format(
             R"(data: {{"choices":[{{"text":"","finish_reason":"{}"}}],)"
             R"("limpethatch":{}}})",
             FinishReason(request), SummaryJson(request, ranges, text)) +
         "\n\ndata: [DONE]\n\n";
}

std::string CompletionBody(const CompletionRequest& request,
                           const std::vector<TokenRange>& ranges) {
  const std::string text = SyntheticText(
      request.key, ranges, request.first_token, request.end_token);
  return fmt::format(R"({{"choices":[{{"text":"{}","finish_reason":"{}"}}],)"
                     R"("limpethatch":{}}})",
                     text, FinishReason(request),
                     SummaryJson(request, ranges, text));
}

}  // namespace limpethatch::standin
