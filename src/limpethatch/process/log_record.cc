#include "limpethatch/process/log_record.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/util/delimited_message_util.h>
#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <optional>

namespace limpethatch {
namespace {

constexpr uint32_t kMagic = 0x3154504c;
constexpr size_t kPrefixBytes = 8;
constexpr size_t kHeaderBytes = 24;

class StorageCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "storage"; }
  std::string message(int value) const override {
    switch (static_cast<StorageError>(value)) {
      case StorageError::kCorrupt:
        return "the data on disk is corrupt";
      case StorageError::kUnknownFormat:
        return "the data folder was written by a later release";
      case StorageError::kTooLarge:
        return "the record is too large";
      case StorageError::kFailedBefore:
        return "an earlier write failed";
    }
    return "unknown storage error";
  }
};

template <typename T>
void Put(std::string* out, T value) {
  for (size_t i = 0; i < sizeof(T); ++i) {
    out->push_back(static_cast<char>(value >> (8 * i)));
  }
}

template <typename T>
T Get(std::string_view bytes) {
  T value = 0;
  for (size_t i = 0; i < sizeof(T); ++i) {
    value |= static_cast<T>(static_cast<uint8_t>(bytes[i])) << (8 * i);
  }
  return value;
}

// Fills in the header of a frame whose body stands behind it.
void FillHeader(std::string* frame) {
  const std::string_view body = std::string_view(*frame).substr(kHeaderBytes);
  std::string header;
  Put(&header, kMagic);
  Put(&header, static_cast<uint32_t>(body.size()));
  Put(&header, XXH3_64bits(header.data(), kPrefixBytes));
  Put(&header, XXH3_64bits(body.data(), body.size()));
  frame->replace(0, kHeaderBytes, header);
}

// The body's length if a whole and undamaged header stands at the start.
std::optional<size_t> ReadHeader(std::string_view bytes) {
  if (bytes.size() < kHeaderBytes || Get<uint32_t>(bytes) != kMagic ||
      Get<uint64_t>(bytes.substr(kPrefixBytes)) !=
          XXH3_64bits(bytes.data(), kPrefixBytes)) {
    return std::nullopt;
  }
  const size_t length = Get<uint32_t>(bytes.substr(4));
  return length <= kMaxFrameBytes ? std::optional(length) : std::nullopt;
}

// The body of the whole frame at the start of `bytes`, if there is one.
std::optional<std::string_view> ReadFrame(std::string_view bytes) {
  const std::optional<size_t> length = ReadHeader(bytes);
  if (!length || bytes.size() - kHeaderBytes < *length) {
    return std::nullopt;
  }
  const std::string_view body = bytes.substr(kHeaderBytes, *length);
  const uint64_t checksum = Get<uint64_t>(bytes.substr(kPrefixBytes + 8));
  return checksum == XXH3_64bits(body.data(), body.size()) ? std::optional(body)
                                                           : std::nullopt;
}

bool HasFrameBehind(std::string_view bytes) {
  std::string magic;
  Put(&magic, kMagic);
  for (size_t at = bytes.find(magic, 1); at != std::string_view::npos;
       at = bytes.find(magic, at + 1)) {
    if (ReadFrame(bytes.substr(at))) {
      return true;
    }
  }
  return false;
}

LogEnd Classify(std::string_view rest) {
  if (rest.empty()) {
    return LogEnd::kClean;
  }
  if (HasFrameBehind(rest)) {
    return LogEnd::kCorrupt;
  }
  const bool zeros = std::all_of(rest.begin(), rest.end(),
                                 [](char byte) { return byte == 0; });
  const std::optional<size_t> length = ReadHeader(rest);
  const bool cut_short = length ? rest.size() - kHeaderBytes < *length
                                : rest.size() < kHeaderBytes;
  return zeros || cut_short ? LogEnd::kTorn : LogEnd::kDamaged;
}

bool DecodeBody(std::string_view body, std::vector<wire::LogRecord>* records) {
  google::protobuf::io::ArrayInputStream stream(body.data(),
                                                static_cast<int>(body.size()));
  bool at_end = false;
  while (true) {
    wire::LogRecord record;
    if (!google::protobuf::util::ParseDelimitedFromZeroCopyStream(
            &record, &stream, &at_end)) {
      return at_end;
    }
    records->push_back(std::move(record));
  }
}

}  // namespace

std::error_code make_error_code(StorageError error) {
  static const StorageCategory category;
  return {static_cast<int>(error), category};
}

std::string EncodeFrame(const std::vector<wire::LogRecord>& records) {
  std::string frame(kHeaderBytes, '\0');
  {
    google::protobuf::io::StringOutputStream stream(&frame);
    for (const wire::LogRecord& record : records) {
      google::protobuf::util::SerializeDelimitedToZeroCopyStream(record,
                                                                 &stream);
    }
  }
  FillHeader(&frame);
  return frame;
}

std::string EncodeSnapshotFrame(const wire::SnapshotRecord& snapshot) {
  // Lends the snapshot, which can be large, to a record instead of copying it.
  wire::LogRecord record;
  record.unsafe_arena_set_allocated_snapshot(
      const_cast<wire::SnapshotRecord*>(&snapshot));
  std::string frame(kHeaderBytes, '\0');
  frame.reserve(kHeaderBytes + kPrefixBytes + record.ByteSizeLong() +
                kPrefixBytes);
  {
    google::protobuf::io::StringOutputStream stream(&frame);
    google::protobuf::util::SerializeDelimitedToZeroCopyStream(record, &stream);
  }
  record.unsafe_arena_release_snapshot();
  FillHeader(&frame);
  return frame;
}

LogContents DecodeFrames(std::string_view bytes) {
  LogContents contents;
  while (const std::optional<std::string_view> body = ReadFrame(bytes)) {
    if (!DecodeBody(*body, &contents.records)) {
      contents.end = LogEnd::kCorrupt;
      return contents;
    }
    bytes.remove_prefix(kHeaderBytes + body->size());
  }
  contents.end = Classify(bytes);
  return contents;
}

}  // namespace limpethatch
