// The body of a request. Copies share its bytes, as a body may take a third of
// the memory of a small machine.
#ifndef LIMPETHATCH_CONNECTION_SHARED_BODY_H_
#define LIMPETHATCH_CONNECTION_SHARED_BODY_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace limpethatch {

class SharedBody {
 public:
  SharedBody() = default;
  // Implicit, so that a body is assigned like a text.
  SharedBody(std::string text)  // NOLINT(google-explicit-constructor)
      : text_(text.empty()
                  ? nullptr
                  : std::make_shared<const std::string>(std::move(text))) {}
  SharedBody(const char* text)  // NOLINT(google-explicit-constructor)
      : SharedBody(std::string(text)) {}

  const std::string& text() const {
    static const std::string empty;
    return text_ ? *text_ : empty;
  }
  // NOLINTNEXTLINE(google-explicit-constructor)
  operator const std::string&() const { return text(); }
  // NOLINTNEXTLINE(google-explicit-constructor)
  operator std::string_view() const { return text(); }

  size_t size() const { return text().size(); }
  bool empty() const { return !text_; }
  size_t find(std::string_view part) const { return text().find(part); }

  friend bool operator==(const SharedBody& body, std::string_view text) {
    return body.text() == text;
  }
  friend std::string operator+(std::string text, const SharedBody& body) {
    return std::move(text) + body.text();
  }

 private:
  std::shared_ptr<const std::string> text_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_SHARED_BODY_H_
