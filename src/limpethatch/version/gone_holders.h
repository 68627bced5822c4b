// Holders (instance and incarnation) that were declared gone. A late command
// of such a holder must grant nothing, since nobody would release the grant.
#ifndef LIMPETHATCH_VERSION_GONE_HOLDERS_H_
#define LIMPETHATCH_VERSION_GONE_HOLDERS_H_

#include <cstddef>
#include <deque>
#include <set>
#include <string>

#include <google/protobuf/repeated_field.h>

namespace limpethatch {

// Bounded: the holder declared gone first is evicted first.
class GoneHolders {
 public:
  static constexpr size_t kMaxHolders = 16'384;

  void Add(const std::string& holder);
  bool Contains(const std::string& holder) const;

  // Oldest first.
  const std::deque<std::string>& holders() const { return order_; }
  void Load(const google::protobuf::RepeatedPtrField<std::string>& holders);

 private:
  std::set<std::string> gone_;
  std::deque<std::string> order_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_GONE_HOLDERS_H_
