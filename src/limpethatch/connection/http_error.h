// The errors of HTTP connections. Socket errors are mapped to them.
#ifndef LIMPETHATCH_CONNECTION_HTTP_ERROR_H_
#define LIMPETHATCH_CONNECTION_HTTP_ERROR_H_

#include <system_error>

namespace limpethatch {

enum class HttpError {
  kConnectFailed = 1,  // Refused, unreachable, or not established in time.
  kConnectionLost,     // Closed or reset before the message was complete.
  kDeadlineExceeded,   // The call's deadline passed.
  kNoProgress,         // No byte was transferred for the progress timeout.
  kMalformed,          // Not valid HTTP/1.1, or a field with forbidden bytes.
  kHeaderTooLarge,
  kBodyTooLarge,
  kCancelled,     // By HttpStream::Cancel or HttpCancelToken::Cancel.
  kWrongSequence  // A second answer, or a chunk outside a stream.
};

const std::error_category& HttpErrorCategory();
// Found by argument-dependent look-up when std::error_code is constructed.
std::error_code make_error_code(HttpError error);

}  // namespace limpethatch

template <>
struct std::is_error_code_enum<limpethatch::HttpError> : std::true_type {};

#endif  // LIMPETHATCH_CONNECTION_HTTP_ERROR_H_
