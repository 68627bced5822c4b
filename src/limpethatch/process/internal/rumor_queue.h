// Queue of updates to gossip (rumor mongering), each for a few rounds.
#ifndef LIMPETHATCH_PROCESS_INTERNAL_RUMOR_QUEUE_H_
#define LIMPETHATCH_PROCESS_INTERNAL_RUMOR_QUEUE_H_

#include <algorithm>
#include <map>
#include <vector>

namespace limpethatch {

template <typename Key>
class RumorQueue {
 public:
  // Includes `key` in at least the next `rounds` rounds.
  void Add(const Key& key, int rounds) {
    int& left = rounds_left_[key];
    left = std::max(left, rounds);
  }

  // Returns the keys of the next round and counts the round.
  std::vector<Key> TakeRound() {
    std::vector<Key> round;
    round.reserve(rounds_left_.size());
    for (auto& [key, left] : rounds_left_) {
      round.push_back(key);
      --left;
    }
    std::erase_if(rounds_left_,
                  [](const auto& entry) { return entry.second <= 0; });
    return round;
  }

  bool empty() const { return rounds_left_.empty(); }

 private:
  std::map<Key, int> rounds_left_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_INTERNAL_RUMOR_QUEUE_H_
