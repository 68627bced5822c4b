#include "limpethatch/process/internal/mark_table.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace limpethatch {
namespace {

constexpr size_t kMaxMarks = 4096;

uint64_t HashOf(std::string_view key, std::string_view value) {
  const uint64_t seed = XXH3_64bits(key.data(), key.size());
  return XXH3_64bits_withSeed(value.data(), value.size(), seed);
}

}  // namespace

MarkTable::MarkTable(MarkRules rules) : rules_(std::move(rules)) {}

bool MarkTable::Merge(const std::string& key,
                      std::string_view value,
                      Duration age,
                      TimePoint now) {
  if (age > rules_.lifetime(key)) {
    return false;
  }
  auto found = marks_.find(key);
  std::string merged(value);
  if (found != marks_.end()) {
    merged = rules_.merge(key, found->second.value, value);
    if (merged == found->second.value) {
      return false;
    }
    digest_ ^= found->second.hash;
  } else {
    found = marks_.emplace(key, Mark{}).first;
  }
  Mark& mark = found->second;
  mark.value = std::move(merged);
  mark.changed_at = std::max(mark.changed_at, now - age);
  mark.hash = HashOf(key, mark.value);
  digest_ ^= mark.hash;
  if (marks_.size() > kMaxMarks) {
    DropOldest();
  }
  return true;
}

void MarkTable::Expire(TimePoint now) {
  std::erase_if(marks_, [&](const auto& entry) {
    const auto& [key, mark] = entry;
    const bool expired = now - mark.changed_at > rules_.lifetime(key);
    if (expired) {
      digest_ ^= mark.hash;
    }
    return expired;
  });
}

void MarkTable::DropOldest() {
  const auto oldest = std::min_element(
      marks_.begin(), marks_.end(), [](const auto& a, const auto& b) {
        return a.second.changed_at < b.second.changed_at;
      });
  digest_ ^= oldest->second.hash;
  marks_.erase(oldest);
}

}  // namespace limpethatch
