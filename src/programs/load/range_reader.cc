#include "programs/load/range_reader.h"

#include <boost/json/array.hpp>

#include "limpethatch/process/json_members.h"

namespace limpethatch::load {

std::vector<TokenRange> ReadRanges(const boost::json::object& object) {
  std::vector<TokenRange> ranges;
  const boost::json::array* array = ArrayMember(object, "ranges");
  if (array == nullptr) {
    return ranges;
  }
  for (const boost::json::value& value : *array) {
    if (const boost::json::object* range = value.if_object()) {
      ranges.push_back(
          {UnsignedMember(*range, "version"),
           static_cast<uint32_t>(UnsignedMember(*range, "first_token")),
           static_cast<uint32_t>(UnsignedMember(*range, "end_token"))});
    }
  }
  return ranges;
}

}  // namespace limpethatch::load
