// Compression of commands in the replicated log, and of texts in its state.
#ifndef LIMPETHATCH_PROCESS_COMPRESSION_H_
#define LIMPETHATCH_PROCESS_COMPRESSION_H_

#include <optional>
#include <string>
#include <string_view>

namespace limpethatch {

// Shorter commands are not compressed.
inline constexpr size_t kCompressionThresholdBytes = 512;

// The stored form of a command or of any text: compressed if that makes it
// shorter, and then marked by a first byte that no serialised command starts
// with. A text that starts with such a byte is compressed whatever its length.
std::string CompressCommand(std::string command);

// The length of the command that was passed to CompressCommand, without
// decompressing it; nullopt if `stored` is corrupt.
std::optional<size_t> DecompressedSize(std::string_view stored);

// Whether CompressCommand has made `stored`. Earlier releases stored texts that
// start with a marker byte as they were.
bool IsStoredForm(std::string_view stored);

// The command that was passed to CompressCommand; nullopt if `stored` is
// corrupt. Uncompressed commands are returned unchanged.
std::optional<std::string> DecompressCommand(std::string_view stored);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_COMPRESSION_H_
