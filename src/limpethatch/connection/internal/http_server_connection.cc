#include "limpethatch/connection/internal/http_server_connection.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/beast/core/buffer_traits.hpp>
#include <exception>
#include <string>

#include "limpethatch/connection/http_error.h"
#include "limpethatch/connection/internal/http_codec.h"
#include "limpethatch/connection/internal/server_exchange.h"
#include "limpethatch/process/bounded_number.h"
#include "limpethatch/process/log.h"

namespace limpethatch {
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace {

constexpr size_t kHeaderReadBytes = 8UL * 1024;
constexpr size_t kMinBodyReadBytes = 1024;
constexpr size_t kMaxBodyReadBytes = 64UL * 1024;
// Space for the whole body is allocated once a body of unknown size exceeds
// this, as growing a text copies it. Memory counts once it is written to.
constexpr size_t kBodyReserveThreshold = 256UL * 1024;
// A limit that is larger than this need not be a size that bodies reach.
constexpr size_t kMaxBodyReserve = 64UL * 1024 * 1024;
// Memory of a connection with its coroutine and read buffer.
constexpr size_t kConnectionBytes = 16UL * 1024;
// Memory of a header line besides its bytes: in the request, in the copy that
// is forwarded, and in the lists of both.
constexpr size_t kHeaderLineBytes = 256;
// How long the peer's remaining bytes are read and discarded after an error
// response. Closing a socket with unread bytes resets the connection, so that
// the peer may lose the response.
constexpr Duration kLingerTime = std::chrono::milliseconds(500);
constexpr size_t kLingerReadBytes = 8UL * 1024;
// Reading pauses for at most this long until others have given memory back;
// several times as long as a request of ordinary size takes to arrive.
constexpr Duration kMaxPause = std::chrono::milliseconds(100);
// After that, room is made, one connection a period, for at most kMaxWait.
constexpr Duration kPausePeriod = std::chrono::milliseconds(10);
constexpr Duration kMaxWait = std::chrono::milliseconds(500);
constexpr std::string_view kRetryAfter = "1";

class CountGuard {
 public:
  explicit CountGuard(std::atomic<size_t>* count) : count_(count) { ++*count_; }
  ~CountGuard() { --*count_; }
  CountGuard(const CountGuard&) = delete;
  CountGuard& operator=(const CountGuard&) = delete;

 private:
  std::atomic<size_t>* count_;
};

size_t MemoryOf(const HttpHeaders& headers) {
  size_t bytes = 0;
  for (const auto& [name, value] : headers.all()) {
    bytes += 2 * (name.size() + value.size()) + kHeaderLineBytes;
  }
  return bytes;
}

// Memory of the lines of a head once they are parsed.
size_t MemoryOfHead(std::string_view text) {
  const auto lines =
      static_cast<size_t>(std::count(text.begin(), text.end(), '\n'));
  return 2 * text.size() + lines * kHeaderLineBytes;
}

}  // namespace

HttpServerConnection::HttpServerConnection(
    const boost::asio::any_io_executor& strand,
    HttpServerState* server_state)
    : socket_(strand), server_state_(server_state) {
  if (server_state->memory) {
    share_.emplace(server_state->memory, [this] { socket_.CancelOperation(); });
  }
}

bool HttpServerConnection::ReserveConnection() {
  if (!share_ || share_->TryHold(kConnectionBytes)) {
    return true;
  }
  const TimePoint now = Clock::now();
  if (!share_->memory().MakeRoom(kConnectionBytes, now)) {
    share_->memory().CountRefusal("connection", now);
    return false;
  }
  share_->Hold(kConnectionBytes);
  return true;
}

void HttpServerConnection::Serve(Yield yield) {
  do {
    BeginRequest();
  } while (ReadRequest(yield) && Handle(yield));
}

void HttpServerConnection::BeginRequest() {
  const HttpServerLimits limits = server_state_->Limits();
  parser_.emplace();
  parser_->header_limit(BoundedCast<uint32_t>(limits.max_header_bytes));
  parser_->body_limit(limits.max_body_bytes);
  head_ = {};
  head_bytes_ = 0;
  body_wire_bytes_ = 0;
  continue_sent_ = false;
  started_ = Clock::now();
  if (buffer_.size() == 0) {
    buffer_.shrink_to_fit();
  }
  if (share_) {
    share_->Hold(HeldBytes());
  }
  SetPhase(buffer_.size() == 0 ? ClientMemory::Phase::kIdle
                               : ClientMemory::Phase::kReading);
}

void HttpServerConnection::DrainIfIdle() {
  if (idle_) {
    socket_.CancelOperation();
  }
}

bool HttpServerConnection::ReadRequest(Yield yield) {
  while (true) {
    if (buffer_.size() > 0 && !ParseBuffered(yield)) {
      return false;
    }
    if (parser_->is_done()) {
      return true;
    }
    ContinueIfExpected(yield);
    const bool awaiting_request = IsAwaitingRequest();
    if (!ReadMore(yield)) {
      return false;
    }
    if (awaiting_request) {
      started_ = Clock::now();
      SetPhase(ClientMemory::Phase::kReading);
    }
  }
}

bool HttpServerConnection::ParseBuffered(Yield yield) {
  if (!parser_->is_header_done() && !ReserveHead(yield)) {
    return false;
  }
  beast::error_code error;
  // The parser returns behind the head first.
  while (!error && buffer_.size() > 0 && !parser_->is_done()) {
    const bool header_was_done = parser_->is_header_done();
    const size_t used = parser_->put(buffer_.data(), error);
    if (header_was_done) {
      body_wire_bytes_ += used;
    } else if (parser_->is_header_done()) {
      TakeHead();
    } else {
      // The parser takes complete lines out of an incomplete head.
      head_bytes_ +=
          MemoryOfHead({static_cast<const char*>(buffer_.data().data()), used});
    }
    buffer_.consume(used);
    if (used == 0) {
      break;
    }
  }
  if (error == http::error::header_limit) {
    Refuse(yield, 431, "header_too_large");
    return false;
  }
  if (error == http::error::body_limit) {
    Refuse(yield, 413, "body_too_large");
    return false;
  }
  if (error && error != http::error::need_more) {
    Refuse(yield, 400, "malformed_request");
    return false;
  }
  if (!parser_->is_header_done() || parser_->is_done()) {
    return true;
  }
  const HttpServerLimits limits = server_state_->Limits();
  std::string& body = parser_->get().body();
  // Lines between chunks and trailers. A body in chunks of a few bytes is
  // accepted, as its lines are not kept.
  const size_t framing = body_wire_bytes_ + buffer_.size() - body.size();
  if (framing > BoundedSize(limits.max_header_bytes) + body.size() ||
      buffer_.size() > limits.max_header_bytes) {
    if (share_) {
      share_->memory().CountRefusal("framing", Clock::now());
    }
    Refuse(yield, 431, "chunk_framing_too_large");
    return false;
  }
  if (parser_->chunked() && body.size() > kBodyReserveThreshold) {
    body.reserve(std::min(limits.max_body_bytes, kMaxBodyReserve));
  }
  return true;
}

bool HttpServerConnection::ReserveHead(Yield yield) {
  std::string_view text(static_cast<const char*>(buffer_.data().data()),
                        buffer_.size());
  // What follows the head is not parsed into lines.
  text = text.substr(0, text.find("\r\n\r\n"));
  return Reserve(yield, MemoryOfHead(text));
}

void HttpServerConnection::TakeHead() {
  head_ = DecodeRequestHead(parser_->get());
  parser_->get().base().clear();
  parser_->eager(true);
  head_bytes_ =
      MemoryOf(head_.headers) + head_.path.size() + head_.query.size();
  body_started_ = Clock::now();
}

size_t HttpServerConnection::NextReadBytes() const {
  if (!parser_->is_header_done()) {
    return kHeaderReadBytes;
  }
  const auto remaining = parser_->content_length_remaining();
  return std::clamp<size_t>(remaining ? static_cast<size_t>(*remaining)
                                      : parser_->get().body().size(),
                            kMinBodyReadBytes, kMaxBodyReadBytes);
}

size_t HttpServerConnection::HeldBytes() const {
  return kConnectionBytes + head_bytes_ + buffer_.size() +
         parser_->get().body().size();
}

TimePoint HttpServerConnection::ReadLimit(const HttpServerLimits& limits,
                                          TimePoint now) const {
  if (IsAwaitingRequest()) {
    return now + (server_state_->draining ? limits.drain_idle_timeout
                                          : limits.idle_timeout);
  }
  if (!parser_->is_header_done()) {
    return started_ + limits.header_timeout;
  }
  return std::min(
      now + limits.header_timeout,
      limits.RateLimit(body_started_, body_wire_bytes_ + buffer_.size()));
}

bool HttpServerConnection::ReadMore(Yield yield) {
  const bool awaiting_request = IsAwaitingRequest();
  const size_t read_bytes = NextReadBytes();
  // The buffer for a new request is part of the connection's own memory.
  if (!Reserve(yield, awaiting_request ? 0 : read_bytes)) {
    return false;
  }
  const bool was_draining = server_state_->draining;
  const TimePoint limit = ReadLimit(server_state_->Limits(), Clock::now());
  idle_ = awaiting_request;
  const Result<size_t> size =
      socket_.ReadSome(yield, buffer_.prepare(read_bytes), limit);
  idle_ = false;
  if (share_ && share_->evicted()) {
    return RefuseForMemory(yield);
  }
  if (size && size.value() > 0) {
    buffer_.commit(size.value());
    return true;
  }
  if (size) {
    return false;
  }
  if (size.error() == HttpError::kCancelled && awaiting_request &&
      !was_draining) {
    return true;
  }
  if (size.error() == HttpError::kNoProgress && !awaiting_request) {
    if (share_) {
      share_->memory().CountRefusal("slow_request", Clock::now());
    }
    Refuse(yield, 408, "request_timeout");
  }
  return false;
}

bool HttpServerConnection::Reserve(Yield yield, size_t more) {
  if (!share_) {
    return true;
  }
  const TimePoint began_at = Clock::now();
  while (!share_->evicted()) {
    const size_t bytes = HeldBytes() + more;
    if (share_->TryHold(bytes)) {
      body_started_ += Clock::now() - began_at;
      return true;
    }
    const TimePoint now = Clock::now();
    const size_t missing = bytes - std::min(bytes, share_->bytes());
    if (now - began_at >= kMaxWait ||
        (now - began_at >= kMaxPause &&
         !share_->memory().MakeRoom(missing, now))) {
      break;
    }
    if (!share_->evicted()) {
      SleepFor(yield, kPausePeriod);
    }
  }
  return RefuseForMemory(yield);
}

bool HttpServerConnection::RefuseForMemory(Yield yield) {
  const bool idle = IsAwaitingRequest();
  share_->memory().CountRefusal(idle ? "idle_connection" : "memory",
                                Clock::now());
  if (!idle) {
    Refuse(yield, 503, "too_little_memory");
  }
  return false;
}

void HttpServerConnection::ContinueIfExpected(Yield yield) {
  if (continue_sent_ || !parser_->is_header_done() ||
      !SameHeaderName(head_.headers.Get("Expect"), "100-continue")) {
    return;
  }
  continue_sent_ = true;
  size_t written = 0;
  socket_.Write(yield, "HTTP/1.1 100 Continue\r\n\r\n",
                server_state_->Limits().write_timeout, &written);
}

void HttpServerConnection::Refuse(Yield yield,
                                  int status,
                                  std::string_view code) {
  // Gives the memory back before the peer is waited for.
  parser_.reset();
  head_ = {};
  buffer_.clear();
  buffer_.shrink_to_fit();
  if (share_) {
    share_->Hold(kConnectionBytes);
  }
  SetPhase(ClientMemory::Phase::kRunning);
  HttpResponse response;
  response.status = status;
  response.headers.Set("Content-Type", "application/json");
  if (status == 503) {
    response.headers.Set("Retry-After", kRetryAfter);
  }
  response.body = fmt::format(
      R"({{"error":{{"code":"{0}","message":"{0}","ran":"not_run"}}}})", code);
  const auto head = EncodeResponseHead(response, KeepAlive::kNo);
  size_t written = 0;
  if (!head || socket_.Write(yield, head.value() + response.body,
                             server_state_->Limits().write_timeout, &written)) {
    return;
  }
  boost::system::error_code ignored;
  socket_.socket().shutdown(boost::asio::socket_base::shutdown_send, ignored);
  const TimePoint limit = Clock::now() + kLingerTime;
  bool more = true;
  while (more) {
    buffer_.clear();
    const auto discarded =
        socket_.ReadSome(yield, buffer_.prepare(kLingerReadBytes), limit);
    more = discarded && discarded.value() > 0;
  }
}

bool HttpServerConnection::Handle(Yield yield) {
  const bool keep_alive = parser_->keep_alive();
  if (share_) {
    share_->Hold(HeldBytes());
  }
  SetPhase(ClientMemory::Phase::kRunning);
  head_.body = std::move(parser_->get().body());
  parser_.reset();
  ServerExchange exchange(std::move(head_), yield, &socket_, server_state_,
                          share(), keep_alive);
  const CountGuard active(&server_state_->active_requests);
  try {
    server_state_->handler(exchange);
  } catch (const std::exception& failure) {
    Log(LogLevel::kError, "handler_failed", {{"error", failure.what()}});
    return false;
  }
  return exchange.MayReuseConnection();
}

void HttpServerConnection::SetPhase(ClientMemory::Phase phase) {
  if (share_) {
    share_->BeginPhase(phase, Clock::now());
  }
}

}  // namespace limpethatch
