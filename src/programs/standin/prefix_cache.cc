#include "programs/standin/prefix_cache.h"

#include <algorithm>

#include "limpethatch/request/digest.h"

namespace limpethatch::standin {
namespace {

constexpr size_t kBlockBytes = 256;

}  // namespace

std::vector<uint64_t> PrefixBlocks(std::string_view prompt) {
  std::vector<uint64_t> blocks;
  for (size_t end = kBlockBytes; end < prompt.size(); end += kBlockBytes) {
    blocks.push_back(ContentDigest(prompt.substr(0, end)));
  }
  blocks.push_back(ContentDigest(prompt));
  return blocks;
}

size_t PrefixCache::LookupAndInsert(const std::vector<uint64_t>& blocks) {
  const auto missing = std::find_if(
      blocks.begin(), blocks.end(),
      [this](uint64_t block) { return !entries_.contains(block); });
  const auto cached = static_cast<size_t>(missing - blocks.begin());
  // Prompts share their first blocks most, so those become the most recently
  // used ones.
  std::for_each(blocks.rbegin(), blocks.rend(),
                [this](uint64_t block) { Touch(block); });
  return cached;
}

void PrefixCache::Touch(uint64_t block) {
  if (const auto found = entries_.find(block); found != entries_.end()) {
    lru_.splice(lru_.begin(), lru_, found->second);
    return;
  }
  lru_.push_front(block);
  entries_[block] = lru_.begin();
  if (lru_.size() > capacity_) {
    entries_.erase(lru_.back());
    lru_.pop_back();
  }
}

}  // namespace limpethatch::standin
