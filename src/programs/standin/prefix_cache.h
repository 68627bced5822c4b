// The bounded prompt-prefix cache of a model engine.
#ifndef PROGRAMS_STANDIN_PREFIX_CACHE_H_
#define PROGRAMS_STANDIN_PREFIX_CACHE_H_

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace limpethatch::standin {

// Digests of the prefixes of a prompt, each one block longer than the last.
std::vector<uint64_t> PrefixBlocks(std::string_view prompt);

// Evicts the least recently used block.
class PrefixCache {
 public:
  explicit PrefixCache(size_t capacity) : capacity_(capacity) {}

  // Returns how many leading blocks are cached, and inserts all of them.
  size_t LookupAndInsert(const std::vector<uint64_t>& blocks);

 private:
  void Touch(uint64_t block);

  size_t capacity_;
  std::list<uint64_t> lru_;  // Most recently used first.
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> entries_;
};

}  // namespace limpethatch::standin

#endif  // PROGRAMS_STANDIN_PREFIX_CACHE_H_
