// Reads one response from a connection of an HttpClient, then returns the
// connection to the pool.
#ifndef LIMPETHATCH_CONNECTION_INTERNAL_HTTP_RESPONSE_READER_H_
#define LIMPETHATCH_CONNECTION_INTERNAL_HTTP_RESPONSE_READER_H_

#include <atomic>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>

#include "limpethatch/connection/internal/http_connection_pool.h"

namespace limpethatch {

class HttpResponseReader
    : public std::enable_shared_from_this<HttpResponseReader> {
 public:
  HttpResponseReader(std::shared_ptr<HttpConnectionPool> pool,
                     Endpoint endpoint,
                     std::unique_ptr<HttpConnection> connection,
                     const HttpCallOptions& options,
                     bool head);

  // Reads up to the header of the final answer.
  std::error_code ReadHeader(Yield yield);
  int status() const { return status_; }
  const HttpHeaders& headers() const { return headers_; }
  bool body_has_no_length() const { return body_has_no_length_; }
  // Returns the next bytes of the body, or an empty string at its end.
  Result<std::string> ReadBody(Yield yield);
  // Thread-safe.
  void Cancel();
  // Closes the connection unless the answer was read completely.
  void Abandon() { connection_.reset(); }

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void SetExecutor(Yield yield);
  // Prepares the parser for the next message on the connection.
  void ResetParser();
  std::error_code ReadOneHeader(Yield yield);
  // Reads once from the socket and passes the bytes to the parser.
  std::error_code ReadAndParse(Yield yield);
  std::error_code Parse();
  std::error_code ReadSocket(Yield yield);
  std::error_code HandleReadError(std::error_code error);
  void ReleaseIfDone();

  std::shared_ptr<HttpConnectionPool> pool_;
  Endpoint endpoint_;
  std::unique_ptr<HttpConnection> connection_;
  HttpCallOptions options_;
  const bool head_;  // The answer to a HEAD request has no body.
  std::optional<Parser> parser_;
  int status_ = 0;
  HttpHeaders headers_;
  bool body_has_no_length_ = false;
  size_t bytes_read_ = 0;          // By the last read.
  size_t body_bytes_ = 0;          // Returned so far.
  size_t bytes_without_body_ = 0;  // Read since the body last grew.
  std::atomic<bool> cancelled_ = false;
  std::mutex executor_mutex_;
  // The executor of the coroutine that reads. Guarded by `executor_mutex_`.
  boost::asio::any_io_executor executor_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_INTERNAL_HTTP_RESPONSE_READER_H_
