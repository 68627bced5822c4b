#include "limpethatch/process/utf8.h"

#include <string>
#include <string_view>

#include <criterion/criterion.h>

namespace limpethatch {

Test(utf8, the_limits_of_each_length_are_valid) {
  for (const std::string_view text :
       {"", "a", "\x7F", "\xC2\x80", "\xDF\xBF", "\xE0\xA0\x80", "\xED\x9F\xBF",
        "\xEE\x80\x80", "\xEF\xBF\xBF", "\xF0\x90\x80\x80", "\xF4\x8F\xBF\xBF",
        "a\xC3\xA9z"}) {
    cr_assert(IsValidUtf8(text));
  }
  cr_assert(IsValidUtf8(std::string_view("\0", 1)));
}

Test(utf8, other_bytes_are_invalid) {
  for (const std::string_view text :
       {"\x80", "\xBF", "\xC0\x80", "\xC1\xBF", "\xC2", "\xC2z", "\xE0\x9F\xBF",
        "\xE0\xA0", "\xE1\x80z", "\xED\xA0\x80", "\xF0\x8F\xBF\xBF",
        "\xF1\x80\x80", "\xF1\x80\x80z", "\xF4\x90\x80\x80", "\xF5\x80\x80\x80",
        "\xFF", "ab\xFE"}) {
    cr_assert(!IsValidUtf8(text));
  }
}

}  // namespace limpethatch
