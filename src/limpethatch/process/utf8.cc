#include "limpethatch/process/utf8.h"

#include <cstddef>

namespace limpethatch {
namespace {

// The bytes that may follow a first byte (RFC 3629, section 4).
struct Sequence {
  size_t length = 0;  // Of the whole sequence; 0: no sequence starts so.
  unsigned char second_min = 0x80;
  unsigned char second_max = 0xBF;
};

Sequence SequenceOf(unsigned char first) {
  if (first < 0x80) {
    return {1};
  }
  if (first >= 0xC2 && first <= 0xDF) {
    return {2};
  }
  if (first >= 0xE0 && first <= 0xEF) {
    // No overlong forms, no surrogates.
    return {3,
            first == 0xE0 ? static_cast<unsigned char>(0xA0)
                          : static_cast<unsigned char>(0x80),
            first == 0xED ? static_cast<unsigned char>(0x9F)
                          : static_cast<unsigned char>(0xBF)};
  }
  if (first >= 0xF0 && first <= 0xF4) {
    // No overlong forms, nothing beyond U+10FFFF.
    return {4,
            first == 0xF0 ? static_cast<unsigned char>(0x90)
                          : static_cast<unsigned char>(0x80),
            first == 0xF4 ? static_cast<unsigned char>(0x8F)
                          : static_cast<unsigned char>(0xBF)};
  }
  return {};
}

bool IsContinuation(char byte) {
  return (static_cast<unsigned char>(byte) & 0xC0U) == 0x80;
}

}  // namespace

bool IsValidUtf8(std::string_view text) {
  while (!text.empty()) {
    const Sequence sequence =
        SequenceOf(static_cast<unsigned char>(text.front()));
    if (sequence.length == 0 || sequence.length > text.size()) {
      return false;
    }
    if (sequence.length > 1) {
      const auto second = static_cast<unsigned char>(text[1]);
      if (second < sequence.second_min || second > sequence.second_max) {
        return false;
      }
    }
    for (size_t i = 2; i < sequence.length; ++i) {
      if (!IsContinuation(text[i])) {
        return false;
      }
    }
    text.remove_prefix(sequence.length);
  }
  return true;
}

}  // namespace limpethatch
