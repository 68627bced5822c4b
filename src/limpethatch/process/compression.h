// Compression of entries of the replicated log.
#ifndef LIMPETHATCH_PROCESS_COMPRESSION_H_
#define LIMPETHATCH_PROCESS_COMPRESSION_H_

#include <optional>
#include <string>
#include <string_view>

namespace limpethatch {

// Commands shorter than this are left as they are.
inline constexpr size_t kCompressionThresholdBytes = 512;

// A command as it stands in the log: compressed if that makes it shorter, with
// a first byte that no serialised command begins with.
std::string CompressCommand(std::string command);

// The command as it was given to CompressCommand; nothing if it is damaged.
// Commands that were never compressed stay as they are.
std::optional<std::string> DecompressCommand(std::string_view stored);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_COMPRESSION_H_
