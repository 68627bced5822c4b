// An HTTP/1.1 client that keeps idle connections to each endpoint for reuse.
#ifndef LIMPETHATCH_CONNECTION_HTTP_CLIENT_H_
#define LIMPETHATCH_CONNECTION_HTTP_CLIENT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "limpethatch/connection/http_types.h"
#include "limpethatch/connection/yield.h"
#include "limpethatch/process/clock.h"
#include "limpethatch/process/endpoint.h"
#include "limpethatch/process/result.h"

namespace limpethatch {

// How far a call got, and thus whether the peer may have executed it.
enum class CallProgress {
  kNotSent,   // No byte of the request left this process: it did not run.
  kMaybeRan,  // Part of the request was sent; no complete answer arrived.
  kAnswered,  // A complete answer arrived.
};

// Cancels a call from outside its coroutine.
class HttpCancelToken {
 public:
  // The call ends with HttpError::kCancelled, at once or as soon as it starts
  // to wait for its answer. Thread-safe.
  void Cancel();

  // Used by HttpClient: sets the action that interrupts the current wait. It is
  // run at once if Cancel was called already.
  void Attach(std::function<void()> action);

 private:
  std::mutex mutex_;
  bool cancelled_ = false;
  std::function<void()> action_;
};

struct HttpCallOptions {
  TimePoint deadline = TimePoint::max();
  Duration connect_timeout = std::chrono::milliseconds(1000);
  // A connection on which no byte is transferred for this long is considered
  // dead. It is closed, together with all idle connections to the endpoint.
  Duration progress_timeout = std::chrono::seconds(30);
  // Never reuses an idle connection. For requests that must not run twice: if a
  // reused connection fails, it is unknown whether the request ran.
  bool fresh_connection = false;
  // A longer body is an error, and its connection is closed.
  size_t max_body_bytes = 64UL * 1024 * 1024;
  // May be null.
  std::shared_ptr<HttpCancelToken> cancel;
};

// Probes that the kernel sends on an idle connection. If none is answered, the
// connection is closed.
struct TcpKeepAlive {
  std::chrono::seconds idle_time{1};  // Before the first probe.
  std::chrono::seconds interval{1};   // Between two probes.
  int probes = 2;
};

struct HttpClientOptions {
  AddressTranslation translation;
  size_t max_idle_per_endpoint = 64;
  Duration max_idle_time = std::chrono::seconds(15);
  std::optional<TcpKeepAlive> keep_alive = {};
};

struct HttpOutcome {
  CallProgress progress = CallProgress::kNotSent;
  std::error_code error;  // Set unless progress is kAnswered.
  HttpResponse response;  // Complete if progress is kAnswered.
};

// A response whose body is read incrementally. Destroying it before the end of
// the body closes its connection, which the peer sees as a cancellation.
class HttpStream {
 public:
  virtual ~HttpStream() = default;

  virtual int status() const = 0;
  virtual const HttpHeaders& headers() const = 0;
  // Whether only the end of the connection ends the body, so that a peer that
  // fails may seem to have sent all of it.
  virtual bool body_has_no_length() const = 0;
  // Returns the next bytes of the body, or an empty string at its end. A
  // truncated body is an error, never an end.
  virtual Result<std::string> Read(Yield yield) = 0;
  // Makes a Read call that another coroutine is waiting in return an error.
  virtual void Cancel() = 0;
};

struct HttpStreamOutcome {
  CallProgress progress = CallProgress::kNotSent;
  bool opened_connection = false;      // The peer accepted a new connection.
  std::error_code error;               // Set if stream is null.
  std::unique_ptr<HttpStream> stream;  // Set once the header was received.
};

class HttpClient {
 public:
  HttpClient(boost::asio::io_context& io, HttpClientOptions options);
  ~HttpClient();

  // Sends the request and reads the complete answer.
  HttpOutcome Call(Yield yield,
                   const Endpoint& endpoint,
                   const HttpRequest& request,
                   const HttpCallOptions& options);

  // Sends the request and reads the answer's header.
  HttpStreamOutcome Open(Yield yield,
                         const Endpoint& endpoint,
                         const HttpRequest& request,
                         const HttpCallOptions& options);

 private:
  class Pool;

  std::shared_ptr<Pool> pool_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_HTTP_CLIENT_H_
