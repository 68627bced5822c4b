// Value-or-error returns, used because no exception may cross a module
// boundary.
#ifndef LIMPETHATCH_PROCESS_RESULT_H_
#define LIMPETHATCH_PROCESS_RESULT_H_

#include <boost/outcome/std_result.hpp>
#include <system_error>

namespace limpethatch {

// A value of type T or the std::error_code of the layer that failed.
template <typename T>
using Result = boost::outcome_v2::std_result<T>;

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_RESULT_H_
