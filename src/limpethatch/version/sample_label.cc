#include "limpethatch/version/sample_label.h"

#include <algorithm>

#include "limpethatch/process/digest.h"

namespace limpethatch {

bool RangesCover(const VersionRanges& ranges, uint32_t tokens) {
  uint32_t next = 0;
  for (const auto& range : ranges) {
    if (range.first_token() != next || range.end_token() <= next) {
      return false;
    }
    next = range.end_token();
  }
  return tokens > 0 && next == tokens;
}

uint64_t OldestVersion(const VersionRanges& ranges) {
  return std::min_element(ranges.begin(), ranges.end(),
                          [](const auto& left, const auto& right) {
                            return left.version() < right.version();
                          })
      ->version();
}

bool IsValidRecord(const wire::SampleRecord& record) {
  return RangesCover(record.ranges(), record.tokens()) &&
         record.digest() == ContentDigest(record.text());
}

}  // namespace limpethatch
