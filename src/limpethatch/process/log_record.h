// Framing of records on disk.
//
// A frame consists of a magic number and the length of the body (4 bytes each,
// little endian), a checksum of these (XXH3, 8 bytes), a checksum of the body
// (XXH3, 8 bytes), and the body. The body is a sequence of LogRecord messages,
// each preceded by its length, that are written and synced together.
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
  kCorrupt = 1,    // Synced data cannot be read back.
  kUnknownFormat,  // Written by a later release.
  kRecordTooLarge,
  kPreviousWriteFailed,  // The log must be reopened.
};

std::error_code make_error_code(StorageError error);

// How the readable part of a log file ends.
enum class LogTail {
  kClean,
  kTorn,     // With an incomplete frame, which was never synced.
  kDamaged,  // With a damaged last frame that may have been synced.
  kCorrupt,  // With a damaged frame that later frames follow.
};

struct LogContents {
  std::vector<wire::LogRecord> records;
  LogTail tail = LogTail::kClean;
};

// Encodes `records` as one frame.
std::string EncodeFrame(const std::vector<wire::LogRecord>& records);
// Encodes one record with the snapshot as one frame. The frame shares the
// pieces of the state, which can be large.
ByteRope EncodeSnapshotFrame(const StateSnapshot& snapshot);

// Decodes all frames up to the first incomplete or damaged one.
LogContents DecodeFrames(std::string_view bytes);

}  // namespace limpethatch

template <>
struct std::is_error_code_enum<limpethatch::StorageError> : std::true_type {};

#endif  // LIMPETHATCH_PROCESS_LOG_RECORD_H_
