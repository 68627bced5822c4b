#include "limpethatch/process/compression.h"

#include <zlib.h>

#include <boost/endian/conversion.hpp>

namespace limpethatch {
namespace {

// Field number 0 does not exist, so no message begins with this byte.
constexpr char kMarker = 0;
// Behind the marker: the length of the command, big endian.
constexpr size_t kHeaderBytes = 1 + sizeof(uint32_t);
// No command is longer; guards against a damaged length.
constexpr size_t kMaxCommandBytes = 64UL * 1024 * 1024;
// Commands are mostly generated text, which is read many times and rarely
// repeats itself: the fast level does nearly as well as the best.
constexpr int kLevel = 1;

}  // namespace

std::string CompressCommand(std::string command) {
  if (command.size() < kLeastCompressedBytes) {
    return command;
  }
  uLongf length = compressBound(command.size());
  std::string stored(kHeaderBytes + length, kMarker);
  boost::endian::store_big_u32(
      reinterpret_cast<unsigned char*>(stored.data()) + 1,
      static_cast<uint32_t>(command.size()));
  const int error = compress2(
      reinterpret_cast<Bytef*>(stored.data()) + kHeaderBytes, &length,
      reinterpret_cast<const Bytef*>(command.data()), command.size(), kLevel);
  if (error != Z_OK || kHeaderBytes + length >= command.size()) {
    return command;
  }
  stored.resize(kHeaderBytes + length);
  stored.shrink_to_fit();
  return stored;
}

std::optional<std::string> DecompressCommand(std::string_view stored) {
  if (stored.empty() || stored.front() != kMarker) {
    return std::string(stored);
  }
  if (stored.size() < kHeaderBytes) {
    return std::nullopt;
  }
  uLongf length = boost::endian::load_big_u32(
      reinterpret_cast<const unsigned char*>(stored.data()) + 1);
  if (length > kMaxCommandBytes) {
    return std::nullopt;
  }
  std::string command(length, '\0');
  const int error =
      uncompress(reinterpret_cast<Bytef*>(command.data()), &length,
                 reinterpret_cast<const Bytef*>(stored.data()) + kHeaderBytes,
                 stored.size() - kHeaderBytes);
  if (error != Z_OK || length != command.size()) {
    return std::nullopt;
  }
  return command;
}

}  // namespace limpethatch
