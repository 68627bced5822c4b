#include "limpethatch/connection/http_client.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "limpethatch/connection/http_error.h"
#include "limpethatch/connection/internal/http_codec.h"
#include "limpethatch/connection/internal/http_connection_pool.h"
#include "limpethatch/connection/internal/http_response_reader.h"

namespace limpethatch {

class HttpClient::Pool : public HttpConnectionPool {
  using HttpConnectionPool::HttpConnectionPool;
};

namespace {

// A body of at most this size is written together with its head, which saves a
// system call; a larger one is not copied.
constexpr size_t kMaxJoinedBytes = 16UL * 1024;

// The result of writing a request: the connection to read the answer from, or
// the error.
struct SentRequest {
  CallProgress progress = CallProgress::kNotSent;
  bool opened_connection = false;
  std::error_code error;
  std::unique_ptr<HttpConnection> connection;
};

SentRequest Send(Yield yield,
                 HttpConnectionPool& pool,
                 const Endpoint& endpoint,
                 std::string_view head,
                 std::string_view body,
                 const HttpCallOptions& options) {
  bool fresh = options.fresh_connection;
  while (true) {
    SentRequest sent;
    sent.connection = fresh ? nullptr : pool.AcquireIdle(endpoint);
    fresh = sent.connection == nullptr;
    if (fresh) {
      sent.connection = pool.OpenConnection(
          yield, endpoint,
          std::min(options.deadline, Clock::now() + options.connect_timeout),
          &sent.error);
      if (!sent.connection) {
        return sent;
      }
      sent.opened_connection = true;
    }
    if (Clock::now() >= options.deadline) {
      sent.error = HttpError::kDeadlineExceeded;
      return sent;
    }
    size_t written = 0;
    for (const std::string_view text : {head, body}) {
      if (!sent.error) {
        sent.error = sent.connection->socket.Write(
            yield, text,
            std::min(options.progress_timeout, options.deadline - Clock::now()),
            &written);
      }
    }
    sent.progress =
        written == 0 ? CallProgress::kNotSent : CallProgress::kMaybeRan;
    if (sent.error && Clock::now() >= options.deadline) {
      sent.error = HttpError::kDeadlineExceeded;
    } else if (sent.error == HttpError::kNoProgress) {
      pool.CloseIdle(endpoint);
    }
    // A reused connection that accepted no byte may have been closed while
    // idle, which says nothing about the endpoint: tries again.
    if (!sent.error || written > 0 || fresh) {
      return sent;
    }
  }
}

class Stream : public HttpStream {
 public:
  explicit Stream(std::shared_ptr<HttpResponseReader> reader)
      : reader_(std::move(reader)) {}
  ~Stream() override { reader_->Abandon(); }

  int status() const override { return reader_->status(); }
  const HttpHeaders& headers() const override { return reader_->headers(); }
  bool body_has_no_length() const override {
    return reader_->body_has_no_length();
  }
  Result<std::string> Read(Yield yield) override {
    return reader_->ReadBody(yield);
  }
  void Cancel() override { reader_->Cancel(); }

 private:
  std::shared_ptr<HttpResponseReader> reader_;
};

}  // namespace

void HttpCancelToken::Cancel() {
  std::function<void()> action;
  {
    const std::lock_guard lock(mutex_);
    cancelled_ = true;
    action = action_;
  }
  if (action) {
    action();
  }
}

void HttpCancelToken::Attach(std::function<void()> action) {
  const std::lock_guard lock(mutex_);
  action_ = std::move(action);
  if (cancelled_) {
    action_();
  }
}

HttpClient::HttpClient(boost::asio::io_context& io, HttpClientOptions options)
    : pool_(std::make_shared<Pool>(io, std::move(options))) {}

HttpClient::~HttpClient() = default;

HttpOutcome HttpClient::Call(Yield yield,
                             const Endpoint& endpoint,
                             const HttpRequest& request,
                             const HttpCallOptions& options) {
  HttpStreamOutcome opened = Open(yield, endpoint, request, options);
  HttpOutcome outcome;
  outcome.progress = opened.progress;
  outcome.error = opened.error;
  if (!opened.stream) {
    return outcome;
  }
  outcome.response.status = opened.stream->status();
  outcome.response.headers = opened.stream->headers();
  while (true) {
    Result<std::string> piece = opened.stream->Read(yield);
    if (!piece) {
      outcome.error = piece.error();
      return outcome;
    }
    if (piece.value().empty()) {
      outcome.progress = CallProgress::kAnswered;
      return outcome;
    }
    outcome.response.body += piece.value();
  }
}

HttpStreamOutcome HttpClient::Open(Yield yield,
                                   const Endpoint& endpoint,
                                   const HttpRequest& request,
                                   const HttpCallOptions& options) {
  HttpStreamOutcome outcome;
  auto head = EncodeRequestHead(request, endpoint);
  if (!head) {
    outcome.error = head.error();
    return outcome;
  }
  std::string_view body = request.body;
  if (body.size() <= kMaxJoinedBytes) {
    head.value() += std::exchange(body, {});
  }
  SentRequest sent = Send(yield, *pool_, endpoint, head.value(), body, options);
  outcome.progress = sent.progress;
  outcome.opened_connection = sent.opened_connection;
  outcome.error = sent.error;
  if (sent.error) {
    return outcome;
  }
  auto reader = std::make_shared<HttpResponseReader>(
      pool_, endpoint, std::move(sent.connection), options,
      request.method == "HEAD");
  if (options.cancel) {
    options.cancel->Attach([weak = std::weak_ptr(reader)] {
      if (const auto live = weak.lock()) {
        live->Cancel();
      }
    });
  }
  outcome.error = reader->ReadHeader(yield);
  if (outcome.error) {
    reader->Abandon();
    return outcome;
  }
  outcome.stream = std::make_unique<Stream>(std::move(reader));
  return outcome;
}

}  // namespace limpethatch
