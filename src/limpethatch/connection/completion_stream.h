// A completion as an engine streams it: server-sent events, parsed.
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
  kMalformed = 1,  // An event that is not a completion's.
  kTruncated,      // The stream ended before its last event.
  kRefused,        // The engine answered with an error status.
};

std::error_code make_error_code(CompletionError error);

// What an engine is asked for.
struct CompletionRequest {
  std::string model;
  std::string prompt;
  uint64_t seed = 0;
  uint32_t max_tokens = 0;
  std::string request_id;
  // How long the caller still waits, if that is limited.
  std::optional<std::chrono::milliseconds> timeout;
  // Text and tokens that an earlier attempt reached, to go on from.
  std::string resume_text;
  uint32_t resume_tokens = 0;
};

class CompletionStream {
 public:
  using Event = std::variant<GenerationPiece, GenerationEnd>;

  // Opens a stream at `engine`. `reach` tells what is known on failure.
  static std::unique_ptr<CompletionStream> Open(
      Yield yield,
      HttpClient& client,
      const Endpoint& engine,
      const CompletionRequest& request,
      const HttpCallOptions& options,
      CallProgress* progress,
      std::error_code* error);

  // The next piece, or the end, after which there is nothing more. Errors are
  // those of the connection or a CompletionError.
  Result<Event> Next(Yield yield);

  // Makes a Next in progress on another coroutine return with an error.
  void Cancel() { stream_->Cancel(); }

 private:
  explicit CompletionStream(std::unique_ptr<HttpStream> stream)
      : stream_(std::move(stream)) {}

  // The data of the next event, without its framing.
  Result<std::string> NextData(Yield yield);

  std::unique_ptr<HttpStream> stream_;
  std::string buffer_;
};

}  // namespace limpethatch

template <>
struct std::is_error_code_enum<limpethatch::CompletionError> : std::true_type {
};

#endif  // LIMPETHATCH_CONNECTION_COMPLETION_STREAM_H_
