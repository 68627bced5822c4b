// An HTTP/1.1 client with kept-alive connections for each endpoint.
#ifndef LIMPETHATCH_CONNECTION_HTTP_CLIENT_H_
#define LIMPETHATCH_CONNECTION_HTTP_CLIENT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "limpethatch/connection/http_types.h"
#include "limpethatch/connection/yield.h"
#include "limpethatch/process/clock.h"
#include "limpethatch/process/endpoint.h"
#include "limpethatch/process/result.h"

namespace limpethatch {

// What is known of a call that failed.
enum class CallProgress {
  kNotSent,   // No byte of the request left this process: it did not run.
  kMaybeRan,  // Something was sent and no whole answer came.
  kAnswered,  // A whole answer came.
};

// Ends a call from outside its coroutine.
class HttpCancelToken {
 public:
  // The call ends with kCancelled, at once or as soon as it begins to wait for
  // its answer. Safe from any thread.
  void Cancel();

  // For the client: what ends the present wait.
  void Attach(std::function<void()> action);

 private:
  std::mutex mutex_;
  bool cancelled_ = false;
  std::function<void()> action_;
};

struct HttpCallOptions {
  TimePoint deadline = TimePoint::max();
  Duration connect_timeout = std::chrono::milliseconds(1000);
  // Without a byte for this long the connection counts as dead. It is then
  // closed and every idle connection to the same endpoint with it.
  Duration progress_timeout = std::chrono::seconds(30);
  // Never reuse an idle connection: for requests that may not run twice, as a
  // reused connection that fails leaves it open whether they ran.
  bool fresh_connection = false;
  // May be null.
  std::shared_ptr<HttpCancelToken> cancel;
};

struct HttpClientOptions {
  AddressTranslation translation;
  size_t max_idle_per_endpoint = 64;
  Duration max_idle_time = std::chrono::seconds(15);
  size_t max_body_bytes = 64UL * 1024 * 1024;
};

struct HttpOutcome {
  CallProgress progress = CallProgress::kNotSent;
  std::error_code error;  // Set unless reach is kAnswered.
  HttpResponse response;  // Whole if reach is kAnswered.
};

// A response whose body is read piece by piece. Destroying it before the end
// closes its connection, which the peer sees as a cancel.
class HttpStream {
 public:
  virtual ~HttpStream() = default;

  virtual int status() const = 0;
  virtual const HttpHeaders& headers() const = 0;
  // The next bytes of the body; an empty string at its regular end. A body
  // that is cut off is an error, never an end.
  virtual Result<std::string> Read(Yield yield) = 0;
  // Makes a Read in progress on another coroutine return with an error.
  virtual void Cancel() = 0;
};

struct HttpStreamOutcome {
  CallProgress progress = CallProgress::kNotSent;
  std::error_code error;               // Set if stream is null.
  std::unique_ptr<HttpStream> stream;  // Present once the header has come.
};

class HttpClient {
 public:
  HttpClient(boost::asio::io_context& io, HttpClientOptions options);
  ~HttpClient();

  // Sends the request and reads the whole answer.
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
