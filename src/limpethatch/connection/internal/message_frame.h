// A message on a connection: its length in 8 bytes, big endian, then itself.
#ifndef LIMPETHATCH_CONNECTION_INTERNAL_MESSAGE_FRAME_H_
#define LIMPETHATCH_CONNECTION_INTERNAL_MESSAGE_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace limpethatch {

constexpr size_t kFrameHeaderBytes = sizeof(uint64_t);

std::string EncodeMessageFrame(std::string_view message);
// `frame` holds the header at least.
uint64_t DecodeMessageLength(std::string_view frame);

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_INTERNAL_MESSAGE_FRAME_H_
