// The framing of records on disk.
//
// A frame is: a magic number and the body's length (4 bytes each, little
// endian), a checksum of these (8 bytes, XXH3), a checksum of the body (8
// bytes, XXH3), the body. A body is a sequence of LogRecord messages, each
// behind its length, that are written and synced together.
#ifndef LIMPETHATCH_PROCESS_LOG_RECORD_H_
#define LIMPETHATCH_PROCESS_LOG_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "consensus.pb.h"
#include "limpethatch/process/state_snapshot.h"

namespace limpethatch {

constexpr size_t kMaxFrameBytes = size_t{1} << 30;
constexpr uint32_t kLogFormat = 1;

enum class StorageError {
  kCorrupt = 1,    // What was synced does not read back.
  kUnknownFormat,  // Written by a later release.
  kRecordTooLarge,
  kPreviousWriteFailed,  // An earlier write failed: open the log again.
};

std::error_code make_error_code(StorageError error);

// How the readable part of a file ends.
enum class LogTail {
  kClean,
  kTorn,     // In a frame that was never written whole, thus never synced.
  kDamaged,  // In a last frame that may have been synced.
  kCorrupt,  // In a damaged frame with later frames behind it.
};

struct LogContents {
  std::vector<wire::LogRecord> records;
  LogTail tail = LogTail::kClean;
};

// One frame that holds `records`.
std::string EncodeFrame(const std::vector<wire::LogRecord>& records);
// As above, of one record that holds the snapshot. Shares the pieces of its
// state, which can be large.
ByteRope EncodeSnapshotFrame(const StateSnapshot& snapshot);

// Reads all frames up to the first that is not whole.
LogContents DecodeFrames(std::string_view bytes);

}  // namespace limpethatch

template <>
struct std::is_error_code_enum<limpethatch::StorageError> : std::true_type {};

#endif  // LIMPETHATCH_PROCESS_LOG_RECORD_H_
