#include "limpethatch/process/compression.h"

#include <zlib.h>
#include <zstd.h>

#include <algorithm>
#include <boost/endian/conversion.hpp>

namespace limpethatch {
namespace {

// No protobuf message starts with these bytes: field number 0 is not valid.
// Other texts may, and are then always compressed.
constexpr char kZlibMarker = 0;  // Written by earlier releases; only read.
constexpr char kZstdMarker = 1;
// The marker, then the uncompressed length (4 bytes, big endian).
constexpr size_t kHeaderBytes = 1 + sizeof(uint32_t);
// Longer than any command; rejects a corrupt length before allocating.
constexpr size_t kMaxCommandBytes = 64UL * 1024 * 1024;
// The fastest level: commands are mostly generated text, which is read often
// and has few repetitions, so that the best level gains little.
constexpr int kZstdLevel = 1;

bool IsMarked(std::string_view stored) {
  return !stored.empty() && static_cast<unsigned char>(stored.front()) <=
                                static_cast<unsigned char>(kZstdMarker);
}

size_t DecompressZlib(std::string_view compressed, std::string* command) {
  uLongf length = command->size();
  const int error = uncompress(
      reinterpret_cast<Bytef*>(command->data()), &length,
      reinterpret_cast<const Bytef*>(compressed.data()), compressed.size());
  return error == Z_OK ? length : 0;
}

size_t DecompressZstd(std::string_view compressed, std::string* command) {
  const size_t length = ZSTD_decompress(command->data(), command->size(),
                                        compressed.data(), compressed.size());
  return ZSTD_isError(length) ? 0 : length;
}

}  // namespace

std::string CompressCommand(std::string command) {
  const bool looks_compressed = IsMarked(command);
  if (command.size() < kCompressionThresholdBytes && !looks_compressed) {
    return command;
  }
  std::string stored(kHeaderBytes + ZSTD_compressBound(command.size()),
                     kZstdMarker);
  boost::endian::store_big_u32(
      reinterpret_cast<unsigned char*>(stored.data()) + 1,
      static_cast<uint32_t>(command.size()));
  const size_t length =
      ZSTD_compress(stored.data() + kHeaderBytes, stored.size() - kHeaderBytes,
                    command.data(), command.size(), kZstdLevel);
  if (ZSTD_isError(length) ||
      (kHeaderBytes + length >= command.size() && !looks_compressed)) {
    return command;
  }
  stored.resize(kHeaderBytes + length);
  stored.shrink_to_fit();
  return stored;
}

std::optional<size_t> DecompressedSize(std::string_view stored) {
  if (!IsMarked(stored)) {
    return stored.size();
  }
  if (stored.size() < kHeaderBytes) {
    return std::nullopt;
  }
  const size_t length = boost::endian::load_big_u32(
      reinterpret_cast<const unsigned char*>(stored.data()) + 1);
  return length <= kMaxCommandBytes ? std::optional(length) : std::nullopt;
}

bool IsStoredForm(std::string_view stored) {
  if (!IsMarked(stored)) {
    return true;
  }
  if (stored.front() == kZlibMarker) {
    return DecompressCommand(stored).has_value();
  }
  const std::string_view frame =
      stored.substr(std::min(kHeaderBytes, stored.size()));
  const std::optional<size_t> length = DecompressedSize(stored);
  return length &&
         ZSTD_getFrameContentSize(frame.data(), frame.size()) == *length;
}

std::optional<std::string> DecompressCommand(std::string_view stored) {
  if (!IsMarked(stored)) {
    return std::string(stored);
  }
  const std::optional<size_t> length = DecompressedSize(stored);
  if (!length) {
    return std::nullopt;
  }
  std::string command(*length, '\0');
  const std::string_view compressed = stored.substr(kHeaderBytes);
  const size_t decompressed_bytes = stored.front() == kZlibMarker
                                        ? DecompressZlib(compressed, &command)
                                        : DecompressZstd(compressed, &command);
  if (decompressed_bytes != command.size()) {
    return std::nullopt;
  }
  return command;
}

}  // namespace limpethatch
