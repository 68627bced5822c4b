#include "limpethatch/connection/completion_stream.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <charconv>
#include <optional>

namespace limpethatch {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDataField = "data: ";
constexpr size_t kMaxEventBytes = 1024 * 1024;

class CompletionCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "completion"; }
  std::string message(int code) const override {
    switch (static_cast<CompletionError>(code)) {
      case CompletionError::kMalformed:
        return "the engine sent an event that is not a completion's";
      case CompletionError::kTruncated:
        return "the stream ended before its last event";
      case CompletionError::kRefused:
        return "the engine refused the completion";
    }
    return "unknown";
  }
};

HttpRequest Encode(const CompletionRequest& request) {
  boost::json::object body{{"model", request.model},
                           {"prompt", request.prompt},
                           {"seed", request.seed},
                           {"max_tokens", request.max_tokens},
                           {"stream", true}};
  if (request.resume_tokens > 0) {
    body["resume_text"] = request.resume_text;
    body["resume_from_tokens"] = request.resume_tokens;
  }
  HttpRequest http;
  http.method = "POST";
  http.path = "/v1/completions";
  http.headers.Set("Content-Type", "application/json");
  http.headers.Set("Accept", "text/event-stream");
  http.headers.Set("X-Request-Id", request.request_id);
  if (request.timeout) {
    http.headers.Set("X-Request-Timeout-Ms",
                     std::to_string(request.timeout->count()));
  }
  http.body = boost::json::serialize(body);
  return http;
}

uint64_t ParseHex(std::string_view text) {
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number, 16);
  return number;
}

GenerationEnd DecodeEnd(const boost::json::object& choice,
                        const boost::json::object& detail) {
  GenerationEnd end;
  end.finish_reason = choice.at("finish_reason").as_string().c_str();
  end.tokens = detail.at("tokens").to_number<uint32_t>();
  end.digest = ParseHex(detail.at("digest").as_string().c_str());
  for (const boost::json::value& value : detail.at("ranges").as_array()) {
    const boost::json::object& range = value.as_object();
    end.ranges.push_back({range.at("version").to_number<uint64_t>(),
                          range.at("first_token").to_number<uint32_t>(),
                          range.at("end_token").to_number<uint32_t>()});
  }
  return end;
}

// Throws a Boost.JSON exception if a member is missing or has the wrong type.
CompletionStream::Event DecodeEvent(const boost::json::object& event) {
  const boost::json::object& choice =
      event.at("choices").as_array().at(0).as_object();
  const boost::json::object& detail = event.at("limpethatch").as_object();
  if (const boost::json::value* reason = choice.if_contains("finish_reason");
      reason != nullptr && !reason->is_null()) {
    return DecodeEnd(choice, detail);
  }
  GenerationPiece piece;
  piece.text = choice.at("text").as_string().c_str();
  piece.first_token = detail.at("token").to_number<uint32_t>();
  piece.tokens = detail.at("tokens").to_number<uint32_t>();
  piece.version = detail.at("version").to_number<uint64_t>();
  return piece;
}

}  // namespace

std::error_code make_error_code(CompletionError error) {
  static const CompletionCategory category;
  return {static_cast<int>(error), category};
}

std::unique_ptr<CompletionStream> CompletionStream::Open(
    Yield yield,
    HttpClient& client,
    const Endpoint& engine,
    const CompletionRequest& request,
    const HttpCallOptions& options,
    CallProgress* progress,
    std::error_code* error) {
  HttpStreamOutcome outcome =
      client.Open(yield, engine, Encode(request), options);
  *progress = outcome.progress;
  *error = outcome.error;
  if (!outcome.stream) {
    return nullptr;
  }
  if (outcome.stream->status() != 200) {
    // Engines return an error status only before they start to generate, so
    // nothing ran.
    *progress = CallProgress::kNotSent;
    *error = CompletionError::kRefused;
    return nullptr;
  }
  return std::unique_ptr<CompletionStream>(
      new CompletionStream(std::move(outcome.stream)));
}

Result<CompletionStream::Event> CompletionStream::Next(Yield yield) {
  Result<std::string> data = NextData(yield);
  if (!data) {
    return data.error();
  }
  boost::json::error_code error;
  const boost::json::value value = boost::json::parse(data.value(), error);
  if (error || !value.is_object()) {
    return CompletionError::kMalformed;
  }
  try {
    return DecodeEvent(value.get_object());
  } catch (const std::exception&) {
    return CompletionError::kMalformed;
  }
}

Result<std::string> CompletionStream::NextData(Yield yield) {
  while (true) {
    if (const size_t end = buffer_.find(kEventEnd); end != std::string::npos) {
      std::string event = buffer_.substr(0, end);
      buffer_.erase(0, end + kEventEnd.size());
      if (event.starts_with(kDataField)) {
        return event.substr(kDataField.size());
      }
      continue;
    }
    if (buffer_.size() > kMaxEventBytes) {
      return CompletionError::kMalformed;
    }
    Result<std::string> read = stream_->Read(yield);
    if (!read) {
      return read.error();
    }
    if (read.value().empty()) {
      return CompletionError::kTruncated;
    }
    buffer_ += read.value();
  }
}

}  // namespace limpethatch
