#include "limpethatch/process/operator_keys.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

namespace limpethatch {
namespace {

constexpr std::string_view kScheme = "Bearer ";
constexpr mode_t kGroupAndOthers = S_IRWXG | S_IRWXO;
constexpr size_t kMaxFileBytes = 4096;

std::string_view Trim(std::string_view line) {
  constexpr std::string_view kBlank = " \t\r";
  const size_t first = line.find_first_not_of(kBlank);
  if (first == std::string_view::npos) {
    return {};
  }
  return line.substr(first, line.find_last_not_of(kBlank) - first + 1);
}

bool IsPrintable(std::string_view key) {
  return std::all_of(key.begin(), key.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

// Reads an open file. On errors, returns nullopt and sets `problem`.
std::optional<std::string> ReadKeyFile(int file, std::string* problem) {
  struct stat status {};
  if (fstat(file, &status) != 0 || !S_ISREG(status.st_mode)) {
    *problem = "is not a regular file";
    return std::nullopt;
  }
  if ((status.st_mode & kGroupAndOthers) != 0) {
    *problem = fmt::format(
        "has mode {:04o}; expected 0600 or 0400 (no access for group and "
        "others)",
        status.st_mode & 07777);
    return std::nullopt;
  }
  std::array<char, kMaxFileBytes + 1> bytes{};
  const ssize_t size = read(file, bytes.data(), bytes.size());
  if (size < 0 || static_cast<size_t>(size) > kMaxFileBytes) {
    *problem =
        fmt::format("cannot be read or is longer than {} bytes", kMaxFileBytes);
    return std::nullopt;
  }
  return std::string(bytes.data(), static_cast<size_t>(size));
}

}  // namespace

bool EqualInConstantTime(std::string_view given, std::string_view secret) {
  volatile unsigned char difference = given.size() == secret.size() ? 0 : 1;
  for (size_t i = 0; i < given.size(); ++i) {
    const char expected = secret.empty() ? '\0' : secret[i % secret.size()];
    difference = difference | static_cast<unsigned char>(given[i] ^ expected);
  }
  return difference == 0;
}

std::optional<OperatorKeys> OperatorKeys::Parse(std::string_view text,
                                                std::string* problem) {
  OperatorKeys keys;
  int number = 0;
  while (!text.empty()) {
    const size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = Trim(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
    ++number;
    if (line.empty() || line.front() == '#') {
      continue;
    }
    if (line.size() < kMinCharacters || !IsPrintable(line)) {
      *problem = fmt::format(
          "line {}: expected a key of at least {} printable characters", number,
          kMinCharacters);
      return std::nullopt;
    }
    keys.keys_.emplace_back(line);
  }
  if (keys.keys_.empty() || keys.keys_.size() > kMaxKeys) {
    *problem = fmt::format(
        "contains {} keys; expected one, or two during a key "
        "rotation",
        keys.keys_.size());
    return std::nullopt;
  }
  return keys;
}

std::optional<OperatorKeys> OperatorKeys::Load(const std::string& path,
                                               std::string* problem) {
  const int file = open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK);
  if (file < 0) {
    *problem = fmt::format("cannot be opened: {}",
                           std::generic_category().message(errno));
    return std::nullopt;
  }
  const std::optional<std::string> text = ReadKeyFile(file, problem);
  close(file);
  return text ? Parse(*text, problem) : std::nullopt;
}

bool OperatorKeys::Allows(std::string_view authorization) const {
  if (!authorization.starts_with(kScheme)) {
    return false;
  }
  const std::string_view given = Trim(authorization.substr(kScheme.size()));
  bool allowed = false;
  for (const std::string& key : keys_) {
    // Not short-circuited, so that the time does not reveal which key matched.
    allowed = EqualInConstantTime(given, key) | allowed;
  }
  return allowed;
}

}  // namespace limpethatch
