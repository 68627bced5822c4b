// Keys that authorise operator calls.
#ifndef LIMPETHATCH_PROCESS_OPERATOR_KEYS_H_
#define LIMPETHATCH_PROCESS_OPERATOR_KEYS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpethatch {

// Compares two texts in a time that depends only on the length of `given`.
bool EqualInConstantTime(std::string_view given, std::string_view secret);

// One operator key, or two during a key rotation. Keys are never printed.
class OperatorKeys {
 public:
  static constexpr size_t kMinCharacters = 16;
  static constexpr size_t kMaxKeys = 2;

  // Parses one key per line; ignores empty lines and lines that start with '#'.
  // On errors, returns nullopt and sets `problem`, which never contains a key.
  static std::optional<OperatorKeys> Parse(std::string_view text,
                                           std::string* problem);
  // Parses a file, which must be accessible only to its owner.
  static std::optional<OperatorKeys> Load(const std::string& path,
                                          std::string* problem);

  // Returns true if the value of an Authorization header is "Bearer " followed
  // by one of the keys.
  bool Allows(std::string_view authorization) const;

  bool operator==(const OperatorKeys&) const = default;

 private:
  std::vector<std::string> keys_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_OPERATOR_KEYS_H_
