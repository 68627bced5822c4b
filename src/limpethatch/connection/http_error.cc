#include "limpethatch/connection/http_error.h"

namespace limpethatch {
namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "http"; }

  std::string message(int value) const override {
    switch (static_cast<HttpError>(value)) {
      case HttpError::kConnectFailed:
        return "could not connect";
      case HttpError::kConnectionLost:
        return "connection closed before the message was whole";
      case HttpError::kDeadlineExceeded:
        return "deadline exceeded";
      case HttpError::kNoProgress:
        return "connection made no progress";
      case HttpError::kMalformed:
        return "malformed HTTP message";
      case HttpError::kHeaderTooLarge:
        return "header too large";
      case HttpError::kBodyTooLarge:
        return "body too large";
      case HttpError::kCancelled:
        return "cancelled";
      case HttpError::kWrongSequence:
        return "answer out of sequence";
    }
    return "unknown HTTP error";
  }
};

}  // namespace

const std::error_category& HttpErrorCategory() {
  static const Category category;
  return category;
}

std::error_code make_error_code(HttpError error) {
  return {static_cast<int>(error), HttpErrorCategory()};
}

}  // namespace limpethatch
