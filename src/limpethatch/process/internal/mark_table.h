// Replicated key-value marks that converge to the same values on all
// instances. The values are opaque to the table.
#ifndef LIMPETHATCH_PROCESS_INTERNAL_MARK_TABLE_H_
#define LIMPETHATCH_PROCESS_INTERNAL_MARK_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "limpethatch/process/clock.h"

namespace limpethatch {

// Merge function and lifetime of marks, defined by their user.
struct MarkRules {
  // Merges two values of one key. Must be commutative, associative and
  // idempotent.
  std::function<
      std::string(std::string_view key, std::string_view a, std::string_view b)>
      merge;
  // How long a value is kept after its last change; Duration::max() means
  // forever.
  std::function<Duration(std::string_view key)> lifetime;
};

class MarkTable {
 public:
  struct Mark {
    std::string value;
    TimePoint changed_at;
    uint64_t hash = 0;  // Of key and value.
  };

  explicit MarkTable(MarkRules rules);

  // Merges a value that was set `age` ago. Returns true if the mark changed.
  bool Merge(const std::string& key,
             std::string_view value,
             Duration age,
             TimePoint now);
  void Expire(TimePoint now);

  const std::map<std::string, Mark>& marks() const { return marks_; }
  // Hash over all marks.
  uint64_t digest() const { return digest_; }

 private:
  void DropOldest();

  const MarkRules rules_;
  std::map<std::string, Mark> marks_;
  uint64_t digest_ = 0;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_INTERNAL_MARK_TABLE_H_
