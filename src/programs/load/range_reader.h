// Reads the token ranges of answers and samples.
#ifndef PROGRAMS_LOAD_RANGE_READER_H_
#define PROGRAMS_LOAD_RANGE_READER_H_

#include <boost/json/object.hpp>
#include <vector>

#include "limpethatch/request/generation.h"

namespace limpethatch::load {

// Reads the member "ranges"; empty if it is absent.
std::vector<TokenRange> ReadRanges(const boost::json::object& object);

}  // namespace limpethatch::load

#endif  // PROGRAMS_LOAD_RANGE_READER_H_
