#include "limpethatch/process/compression.h"

#include <rapidcheck.h>
#include <zlib.h>

#include <string>

#include <criterion/criterion.h>

namespace limpethatch {

Test(compression, a_long_command_round_trips_and_is_shorter) {
  std::string command = "\x0a";
  for (int i = 0; i < 1000; ++i) {
    command += "generated text " + std::to_string(i);
  }
  const std::string stored = CompressCommand(command);
  cr_assert(stored.size() < command.size());
  cr_assert(DecompressCommand(stored) == command);
}

Test(compression, short_commands_stay_as_they_are) {
  cr_assert(CompressCommand("\x0ashort") == "\x0ashort");
  cr_assert(DecompressCommand("\x0ashort") == "\x0ashort");
}

Test(compression, any_command_round_trips) {
  cr_assert(rc::check("any command round-trips", [] {
    const std::string command =
        "\x0a" + *rc::gen::scale(50, rc::gen::arbitrary<std::string>());
    RC_ASSERT(DecompressCommand(CompressCommand(command)) == command);
  }));
}

// Guards against texts of engines that begin with a marker byte: they were
// taken for compressed ones and could not be read.
Test(compression, a_text_that_begins_with_a_marker_byte_round_trips) {
  for (const char first : {'\0', '\1', '\2'}) {
    for (const size_t length : {0, 1, 4, 100, 600, 5000}) {
      const std::string text = first + std::string(length, 'x');
      cr_assert(DecompressCommand(CompressCommand(text)) == text,
                "first byte %d, then %zu", first, length);
      cr_assert(DecompressedSize(CompressCommand(text)) == text.size());
    }
  }
  cr_assert(rc::check("any text round-trips", [] {
    const char first = *rc::gen::inRange<char>(0, 3);
    const std::string text =
        first + *rc::gen::scale(50, rc::gen::arbitrary<std::string>());
    RC_ASSERT(DecompressCommand(CompressCommand(text)) == text);
  }));
}

Test(compression, damage_is_detected) {
  const std::string stored = CompressCommand(std::string(5000, 'x'));
  for (size_t length = 1; length < stored.size(); ++length) {
    cr_assert(!DecompressCommand(stored.substr(0, length)));
  }
  std::string wrong = stored;
  wrong[2] = '\x7f';
  cr_assert(!DecompressCommand(wrong));
}

Test(compression, commands_of_earlier_releases_are_still_read) {
  // 600 times 'x', stored with zlib.
  const std::string command(600, 'x');
  uLongf length = compressBound(command.size());
  std::string stored(5 + length, '\0');
  stored[3] = '\x02';
  stored[4] = '\x58';
  cr_assert(compress(reinterpret_cast<Bytef*>(stored.data()) + 5, &length,
                     reinterpret_cast<const Bytef*>(command.data()),
                     command.size()) == Z_OK);
  stored.resize(5 + length);
  cr_assert(DecompressCommand(stored) == command);
}

}  // namespace limpethatch
