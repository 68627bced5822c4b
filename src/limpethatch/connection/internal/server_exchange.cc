#include "limpethatch/connection/internal/server_exchange.h"

#include <algorithm>
#include <string>
#include <utility>

#include "limpethatch/connection/http_error.h"

namespace limpethatch {
namespace {

// A body of at most this size is written together with its head, which saves a
// system call; a larger one is not copied.
constexpr size_t kMaxJoinedBytes = 16UL * 1024;
// The rate at which the peer reads is checked after this many bytes.
constexpr size_t kWritePieceBytes = 64UL * 1024;
// Documents of this size are decoded even while the budget is used up.
constexpr size_t kMinSpareBytes = 256UL * 1024;
// What is made of requests that arrived whole may exceed the budget by this
// part, so that a large one is served by a small machine in calm.
constexpr size_t kExtraPart = 2;

}  // namespace

ServerExchange::ServerExchange(HttpRequest request,
                               Yield yield,
                               TimedSocket* socket,
                               const HttpServerState* server_state,
                               ClientMemory::Share* share,
                               bool keep_alive)
    : request_(std::move(request)),
      yield_(yield),
      socket_(socket),
      server_state_(server_state),
      share_(share),
      keep_alive_(keep_alive) {}

size_t ServerExchange::spare_memory() const {
  return share_ ? std::max(share_->memory().spare_bytes(), kMinSpareBytes)
                : HttpExchange::spare_memory();
}

bool ServerExchange::HoldMemory(size_t bytes) {
  if (!share_) {
    return true;
  }
  const ClientMemory& memory = share_->memory();
  const size_t limit = memory.max_bytes() + memory.max_bytes() / kExtraPart;
  if (bytes > kMinSpareBytes && memory.held_bytes() + bytes > limit) {
    return false;
  }
  share_->Hold(share_->bytes() + bytes);
  return true;
}

std::error_code ServerExchange::Respond(const HttpResponse& response) {
  if (state_ != State::kUnanswered) {
    return HttpError::kWrongSequence;
  }
  auto head = EncodeResponseHead(response, DecideKeepAlive());
  if (!head) {
    return head.error();
  }
  std::string_view body = response.body;
  if (request_.method == "HEAD") {
    body = {};
  } else if (body.size() <= kMaxJoinedBytes) {
    head.value() += std::exchange(body, {});
  }
  const size_t held = share_ ? share_->bytes() : 0;
  if (share_) {
    share_->Hold(held + response.body.size());
    share_->memory().MakeRoom(0, Clock::now());
    share_->BeginPhase(ClientMemory::Phase::kWriting, Clock::now());
  }
  std::error_code error = Write(head.value(), State::kComplete);
  if (!error && !body.empty()) {
    error = Write(body, State::kComplete);
  }
  if (share_) {
    share_->BeginPhase(ClientMemory::Phase::kRunning, Clock::now());
    share_->Hold(held);
  }
  return error;
}

std::error_code ServerExchange::StartStream(int status,
                                            const HttpHeaders& headers) {
  if (state_ != State::kUnanswered) {
    return HttpError::kWrongSequence;
  }
  const auto text = EncodeStreamHeader(status, headers, DecideKeepAlive());
  return text ? Write(text.value(), State::kStreaming) : text.error();
}

std::error_code ServerExchange::WriteChunk(std::string_view chunk) {
  if (state_ != State::kStreaming) {
    return HttpError::kWrongSequence;
  }
  // An empty chunk would end the chunked body.
  return chunk.empty() ? std::error_code()
                       : Write(EncodeChunk(chunk), State::kStreaming);
}

std::error_code ServerExchange::FinishStream() {
  if (state_ != State::kStreaming) {
    return HttpError::kWrongSequence;
  }
  return Write(EncodeLastChunk(), State::kComplete);
}

bool ServerExchange::PeerDisconnected() {
  return state_ == State::kFailed || socket_->PeerDisconnected();
}

KeepAlive ServerExchange::DecideKeepAlive() {
  keep_alive_ = keep_alive_ && !server_state_->draining;
  return keep_alive_ ? KeepAlive::kYes : KeepAlive::kNo;
}

std::error_code ServerExchange::Write(std::string_view text, State next) {
  const std::error_code error = WriteAtMinimumRate(text);
  state_ = error ? State::kFailed : next;
  return error;
}

std::error_code ServerExchange::WriteAtMinimumRate(std::string_view text) {
  const TimePoint started_at = Clock::now();
  size_t written = 0;
  while (!text.empty()) {
    const HttpServerLimits limits = server_state_->Limits();
    const std::string_view piece = text.substr(0, kWritePieceBytes);
    const TimePoint rate_limit = limits.RateLimit(started_at, written);
    const std::error_code error = socket_->Write(
        yield_, piece,
        std::min(limits.write_timeout, rate_limit - Clock::now()), &written);
    if (share_ && share_->evicted()) {
      share_->memory().CountRefusal("unread_answer", Clock::now());
      return HttpError::kCancelled;
    }
    text.remove_prefix(piece.size());
    const bool too_slow = !error && !text.empty() && Clock::now() > rate_limit;
    if (share_ && (too_slow || error == HttpError::kNoProgress)) {
      share_->memory().CountRefusal("slow_reader", Clock::now());
    }
    if (error || too_slow) {
      return error ? error : HttpError::kNoProgress;
    }
  }
  return {};
}

}  // namespace limpethatch
