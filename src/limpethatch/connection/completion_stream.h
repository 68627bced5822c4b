// Client for an engine's streamed completions: opens the stream and parses its
// server-sent events.
#ifndef LIMPETHATCH_CONNECTION_COMPLETION_STREAM_H_
#define LIMPETHATCH_CONNECTION_COMPLETION_STREAM_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <variant>

#include "limpethatch/connection/http_client.h"
#include "limpethatch/request/generation.h"

namespace limpethatch {

enum class CompletionError {
  kMalformed = 1,  // An event is not a valid completion event.
  kTruncated,      // The stream ended before its last event.
  kRefused,        // The engine answered with an error status.
};

std::error_code make_error_code(CompletionError error);

// The parameters of a completion.
struct CompletionRequest {
  std::string model;
  std::string prompt;
  uint64_t seed = 0;
  uint32_t max_tokens = 0;
  std::string request_id;
  // The time left until the caller's deadline, if it has one.
  std::optional<std::chrono::milliseconds> timeout;
  // The text and number of tokens that an earlier attempt generated; the engine
  // continues from there. No tokens: the completion starts from the prompt.
  std::string resume_text;
  uint32_t resume_tokens = 0;
};

class CompletionStream {
 public:
  using Event = std::variant<GenerationPiece, GenerationEnd>;

  // Opens a stream at `engine`. On failure returns null and sets `error`;
  // `progress` tells how far the call got.
  static std::unique_ptr<CompletionStream> Open(
      Yield yield,
      HttpClient& client,
      const Endpoint& engine,
      const CompletionRequest& request,
      const HttpCallOptions& options,
      CallProgress* progress,
      std::error_code* error);

  // Waits for the next event. No event follows a GenerationEnd. Errors: an
  // HttpError of the connection, or a CompletionError.
  Result<Event> Next(Yield yield);

  // Makes a Next call that another coroutine is waiting in return an error.
  void Cancel() { stream_->Cancel(); }

 private:
  explicit CompletionStream(std::unique_ptr<HttpStream> stream)
      : stream_(std::move(stream)) {}

  // Returns the data field of the next server-sent event.
  Result<std::string> NextData(Yield yield);

  std::unique_ptr<HttpStream> stream_;
  std::string buffer_;
};

}  // namespace limpethatch

template <>
struct std::is_error_code_enum<limpethatch::CompletionError> : std::true_type {
};

#endif  // LIMPETHATCH_CONNECTION_COMPLETION_STREAM_H_
