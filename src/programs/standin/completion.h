// Parses requests and formats answers of the completions interface.
#ifndef PROGRAMS_STANDIN_COMPLETION_H_
#define PROGRAMS_STANDIN_COMPLETION_H_

#include <optional>
#include <string>
#include <vector>

#include "limpethatch/connection/http_types.h"
#include "limpethatch/request/synthetic.h"
#include "programs/standin/engine_model.h"

namespace limpethatch::standin {

struct CompletionRequest {
  std::string id;
  std::string prompt;
  uint64_t key = 0;
  uint32_t end_token = 0;
  bool capped = false;  // Truncated by max_tokens.
  uint32_t first_token = 0;
  bool stream = false;
  bool has_kv_cache = false;
};

// Parses the request; nullopt if it is malformed.
std::optional<CompletionRequest> ParseCompletionRequest(
    const HttpRequest& request,
    const SyntheticLengths& lengths);

// Identifies a stream's KV cache by its key and the number of tokens it
// covers.
std::string KvToken(uint64_t key, uint32_t tokens);

// Server-sent events for tokens [first, end), one per version.
std::string TokenEvents(uint64_t key,
                        const std::vector<TokenRange>& ranges,
                        uint32_t first,
                        uint32_t end);
// The last event of a stream and its done marker.
std::string FinalEvents(const CompletionRequest& request,
                        const std::vector<TokenRange>& ranges);
// The response body for a request without streaming.
std::string CompletionBody(const CompletionRequest& request,
                           const std::vector<TokenRange>& ranges);

}  // namespace limpethatch::standin

#endif  // PROGRAMS_STANDIN_COMPLETION_H_
