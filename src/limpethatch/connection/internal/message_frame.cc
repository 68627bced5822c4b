#include "limpethatch/connection/internal/message_frame.h"

#include <boost/endian/conversion.hpp>

namespace limpethatch {

std::string EncodeMessageFrame(std::string_view message) {
  std::string frame(kFrameHeaderBytes, '\0');
  boost::endian::store_big_u64(reinterpret_cast<unsigned char*>(frame.data()),
                               message.size());
  frame += message;
  return frame;
}

uint64_t DecodeMessageLength(std::string_view frame) {
  return boost::endian::load_big_u64(
      reinterpret_cast<const unsigned char*>(frame.data()));
}

}  // namespace limpethatch
