// Validation of text from outside.
#ifndef LIMPETHATCH_PROCESS_UTF8_H_
#define LIMPETHATCH_PROCESS_UTF8_H_

#include <string_view>

namespace limpethatch {

// Whether the text is well-formed UTF-8, as RFC 3629 defines it. The strings of
// a message that are not make the whole message unreadable.
bool IsValidUtf8(std::string_view text);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_UTF8_H_
