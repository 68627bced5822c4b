// The framing of messages on a connection: the length as 8 bytes in big-endian
// order, followed by the message.
#ifndef LIMPETHATCH_CONNECTION_INTERNAL_MESSAGE_FRAME_H_
#define LIMPETHATCH_CONNECTION_INTERNAL_MESSAGE_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace limpethatch {

constexpr size_t kFrameHeaderBytes = sizeof(uint64_t);

// Returns the message preceded by its frame header.
std::string EncodeMessageFrame(std::string_view message);
// Returns the message length in bytes. `frame` must contain at least the
// header.
uint64_t DecodeMessageLength(std::string_view frame);

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_INTERNAL_MESSAGE_FRAME_H_
