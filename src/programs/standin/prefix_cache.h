// The limited prompt-prefix cache of a model engine.
#ifndef PROGRAMS_STANDIN_PREFIX_CACHE_H_
#define PROGRAMS_STANDIN_PREFIX_CACHE_H_

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace limpethatch::standin {

// The digests of a prompt's prefixes, a block of text longer each.
std::vector<uint64_t> PrefixBlocks(std::string_view prompt);

// Keeps the blocks that were used last.
class PrefixCache {
 public:
  explicit PrefixCache(size_t capacity) : capacity_(capacity) {}

  // How many leading blocks are cached; then all of them count as used.
  size_t LookupAndInsert(const std::vector<uint64_t>& blocks);

 private:
  void Touch(uint64_t block);

  size_t capacity_;
  std::list<uint64_t> lru_;  // The last used one stands in front.
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> entries_;
};

}  // namespace limpethatch::standin

#endif  // PROGRAMS_STANDIN_PREFIX_CACHE_H_
