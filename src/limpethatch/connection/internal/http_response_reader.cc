#include "limpethatch/connection/internal/http_response_reader.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "limpethatch/connection/http_error.h"
#include "limpethatch/connection/internal/http_codec.h"

namespace limpethatch {
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace {

// Small, because many streams are read concurrently and their events are short.
constexpr size_t kReadBytes = 4UL * 1024;
// Maximum size of what the parser cannot use yet: a header, or a line between
// two chunks of a body.
constexpr size_t kMaxUnparsedBytes = 64UL * 1024;
// RFC 9110, section 15: no other answer is a final one.
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
constexpr int kMaxInterimAnswers = 8;

// Whether another answer follows. No request asks for another protocol, so that
// 101 is never expected.
bool IsInterim(int status) {
  constexpr int kFirstInterim = 100;
  constexpr int kSwitchingProtocols = 101;
  return status >= kFirstInterim && status < kFirstFinalStatus &&
         status != kSwitchingProtocols;
}

}  // namespace

HttpResponseReader::HttpResponseReader(
    std::shared_ptr<HttpConnectionPool> pool,
    Endpoint endpoint,
    std::unique_ptr<HttpConnection> connection,
    const HttpCallOptions& options,
    bool head)
    : pool_(std::move(pool)),
      endpoint_(std::move(endpoint)),
      connection_(std::move(connection)),
      options_(options),
      head_(head) {
  ResetParser();
}

void HttpResponseReader::ResetParser() {
  parser_.emplace();
  parser_->skip(head_);
  parser_->body_limit(options_.max_body_bytes);
}

std::error_code HttpResponseReader::ReadHeader(Yield yield) {
  SetExecutor(yield);
  for (int interim_answers = 0;; ++interim_answers) {
    if (const auto error = ReadOneHeader(yield)) {
      return error;
    }
    status_ = static_cast<int>(parser_->get().result_int());
    if (!IsInterim(status_)) {
      break;
    }
    if (interim_answers == kMaxInterimAnswers) {
      return HandleReadError(HttpError::kMalformed);
    }
    ResetParser();
  }
  if (status_ < kFirstFinalStatus || status_ > kLastStatus) {
    return HandleReadError(HttpError::kMalformed);
  }
  headers_ = DecodeHeaders(parser_->get());
  body_has_no_length_ = parser_->need_eof() && !parser_->is_done();
  parser_->eager(true);
  return {};
}

std::error_code HttpResponseReader::ReadOneHeader(Yield yield) {
  // The header may have been read together with an interim answer.
  if (connection_ && connection_->buffer.size() > 0) {
    if (const auto error = Parse()) {
      return error;
    }
  }
  while (!parser_->is_header_done()) {
    if (const auto error = ReadAndParse(yield)) {
      return error;
    }
  }
  return {};
}

Result<std::string> HttpResponseReader::ReadBody(Yield yield) {
  SetExecutor(yield);
  std::string& body = parser_->get().body();
  if (connection_ && connection_->buffer.size() > 0 && !parser_->is_done()) {
    if (const auto error = Parse()) {
      return error;
    }
  }
  while (body.empty() && !parser_->is_done()) {
    if (const auto error = ReadAndParse(yield)) {
      return error;
    }
    // Lines between chunks and trailers yield no body.
    bytes_without_body_ = body.empty() ? bytes_without_body_ + bytes_read_ : 0;
    if (bytes_without_body_ > kMaxUnparsedBytes) {
      return HandleReadError(HttpError::kMalformed);
    }
  }
  body_bytes_ += body.size();
  if (body_bytes_ > options_.max_body_bytes) {
    return HandleReadError(HttpError::kBodyTooLarge);
  }
  ReleaseIfDone();
  return std::exchange(body, {});
}

void HttpResponseReader::SetExecutor(Yield yield) {
  const std::lock_guard lock(executor_mutex_);
  executor_ = yield.get_executor();
}

std::error_code HttpResponseReader::ReadAndParse(Yield yield) {
  if (!connection_) {
    return HttpError::kConnectionLost;
  }
  if (const auto error = ReadSocket(yield)) {
    return error;
  }
  return Parse();
}

std::error_code HttpResponseReader::ReadSocket(Yield yield) {
  if (cancelled_) {
    return HandleReadError(HttpError::kCancelled);
  }
  const TimePoint now = Clock::now();
  const TimePoint limit = options_.deadline - now < options_.progress_timeout
                              ? options_.deadline
                              : now + options_.progress_timeout;
  beast::flat_buffer& buffer = connection_->buffer;
  const auto size =
      connection_->socket.ReadSome(yield, buffer.prepare(kReadBytes), limit);
  if (!size) {
    return HandleReadError(size.error());
  }
  buffer.commit(size.value());
  bytes_read_ = size.value();
  if (size.value() > 0) {
    return {};
  }
  beast::error_code error;
  if (parser_->got_some()) {
    parser_->put_eof(error);
  }
  return parser_->is_done() && !error
             ? std::error_code()
             : HandleReadError(HttpError::kConnectionLost);
}

std::error_code HttpResponseReader::HandleReadError(std::error_code error) {
  connection_.reset();
  if (error != HttpError::kNoProgress) {
    return error;
  }
  if (Clock::now() >= options_.deadline) {
    return HttpError::kDeadlineExceeded;
  }
  pool_->CloseIdle(endpoint_);
  return error;
}

std::error_code HttpResponseReader::Parse() {
  beast::flat_buffer& buffer = connection_->buffer;
  bool progress = true;
  while (progress && buffer.size() > 0 && !parser_->is_done()) {
    beast::error_code error;
    const bool header_was_done = parser_->is_header_done();
    const size_t used = parser_->put(buffer.data(), error);
    buffer.consume(used);
    if (error == http::error::body_limit) {
      return HandleReadError(HttpError::kBodyTooLarge);
    }
    if (error && error != http::error::need_more) {
      return HandleReadError(HttpError::kMalformed);
    }
    progress = header_was_done && used > 0;
  }
  return buffer.size() > kMaxUnparsedBytes && !parser_->is_done()
             ? HandleReadError(HttpError::kMalformed)
             : std::error_code();
}

void HttpResponseReader::ReleaseIfDone() {
  if (!connection_ || !parser_->is_done()) {
    return;
  }
  auto connection = std::move(connection_);
  if (parser_->keep_alive() && !parser_->need_eof() &&
      connection->buffer.size() == 0) {
    pool_->Release(endpoint_, std::move(connection));
  }
}

void HttpResponseReader::Cancel() {
  cancelled_ = true;
  const std::lock_guard lock(executor_mutex_);
  if (!executor_) {
    return;  // Reading has not started; the first read checks `cancelled_`.
  }
  boost::asio::post(executor_, [self = shared_from_this()] {
    if (self->connection_) {
      self->connection_->socket.CancelOperation();
    }
  });
}

}  // namespace limpethatch
