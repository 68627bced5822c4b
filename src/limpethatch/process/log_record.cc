#include "limpethatch/process/log_record.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/util/delimited_message_util.h>
#include <google/protobuf/wire_format_lite.h>
#define XXH_STATIC_LINKING_ONLY  // Needed for a hash state on the stack.
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
      case StorageError::kRecordTooLarge:
        return "the record is too large";
      case StorageError::kPreviousWriteFailed:
        return "an earlier write failed";
    }
    return "unknown storage error";
  }
};

template <typename T>
void AppendLittleEndian(std::string* out, T value) {
  for (size_t i = 0; i < sizeof(T); ++i) {
    out->push_back(static_cast<char>(value >> (8 * i)));
  }
}

template <typename T>
T ReadLittleEndian(std::string_view bytes) {
  T value = 0;
  for (size_t i = 0; i < sizeof(T); ++i) {
    value |= static_cast<T>(static_cast<uint8_t>(bytes[i])) << (8 * i);
  }
  return value;
}

std::string MakeFrameHeader(const ByteRope& body) {
  std::string header;
  AppendLittleEndian(&header, kMagic);
  AppendLittleEndian(&header, static_cast<uint32_t>(body.size()));
  AppendLittleEndian(&header, XXH3_64bits(header.data(), kPrefixBytes));
  XXH3_state_t state;
  XXH3_64bits_reset(&state);
  for (const ByteRope::Piece& piece : body.pieces()) {
    XXH3_64bits_update(&state, piece->data(), piece->size());
  }
  AppendLittleEndian(&header, XXH3_64bits_digest(&state));
  return header;
}

// The length of the body if `bytes` starts with a complete, valid header.
std::optional<size_t> ReadHeader(std::string_view bytes) {
  if (bytes.size() < kHeaderBytes ||
      ReadLittleEndian<uint32_t>(bytes) != kMagic ||
      ReadLittleEndian<uint64_t>(bytes.substr(kPrefixBytes)) !=
          XXH3_64bits(bytes.data(), kPrefixBytes)) {
    return std::nullopt;
  }
  const size_t length = ReadLittleEndian<uint32_t>(bytes.substr(4));
  return length <= kMaxFrameBytes ? std::optional(length) : std::nullopt;
}

// The body if `bytes` starts with a complete, valid frame.
std::optional<std::string_view> ReadFrame(std::string_view bytes) {
  const std::optional<size_t> length = ReadHeader(bytes);
  if (!length || bytes.size() - kHeaderBytes < *length) {
    return std::nullopt;
  }
  const std::string_view body = bytes.substr(kHeaderBytes, *length);
  const uint64_t checksum =
      ReadLittleEndian<uint64_t>(bytes.substr(kPrefixBytes + 8));
  return checksum == XXH3_64bits(body.data(), body.size()) ? std::optional(body)
                                                           : std::nullopt;
}

bool HasLaterFrame(std::string_view bytes) {
  std::string magic;
  AppendLittleEndian(&magic, kMagic);
  for (size_t at = bytes.find(magic, 1); at != std::string_view::npos;
       at = bytes.find(magic, at + 1)) {
    if (ReadFrame(bytes.substr(at))) {
      return true;
    }
  }
  return false;
}

LogTail ClassifyTail(std::string_view rest) {
  if (rest.empty()) {
    return LogTail::kClean;
  }
  if (HasLaterFrame(rest)) {
    return LogTail::kCorrupt;
  }
  const bool zeros = std::all_of(rest.begin(), rest.end(),
                                 [](char byte) { return byte == 0; });
  const std::optional<size_t> length = ReadHeader(rest);
  const bool cut_short = length ? rest.size() - kHeaderBytes < *length
                                : rest.size() < kHeaderBytes;
  return zeros || cut_short ? LogTail::kTorn : LogTail::kDamaged;
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
  std::string body;
  {
    google::protobuf::io::StringOutputStream stream(&body);
    for (const wire::LogRecord& record : records) {
      google::protobuf::util::SerializeDelimitedToZeroCopyStream(record,
                                                                 &stream);
    }
  }
  ByteRope frame(std::move(body));
  const std::string header = MakeFrameHeader(frame);
  return header + *frame.pieces().front();
}

ByteRope EncodeSnapshotFrame(const StateSnapshot& snapshot) {
  using google::protobuf::internal::WireFormatLite;
  // Encodes the prefix by hand, so that the state, the last field, need not be
  // copied.
  wire::SnapshotRecord record;
  record.set_index(snapshot.index);
  record.set_term(snapshot.term);
  if (snapshot.members) {
    *record.mutable_members() = *snapshot.members;
  }
  const auto bytes_tag =
      WireFormatLite::MakeTag(wire::SnapshotRecord::kStateFieldNumber,
                              WireFormatLite::WIRETYPE_LENGTH_DELIMITED);
  const auto record_tag =
      WireFormatLite::MakeTag(wire::LogRecord::kSnapshotFieldNumber,
                              WireFormatLite::WIRETYPE_LENGTH_DELIMITED);
  using google::protobuf::io::CodedOutputStream;
  const size_t record_bytes =
      record.ByteSizeLong() + CodedOutputStream::VarintSize32(bytes_tag) +
      CodedOutputStream::VarintSize64(snapshot.state.size()) +
      snapshot.state.size();
  const size_t log_record_bytes =
      CodedOutputStream::VarintSize32(record_tag) +
      CodedOutputStream::VarintSize64(record_bytes) + record_bytes;
  std::string front;
  {
    google::protobuf::io::StringOutputStream stream(&front);
    CodedOutputStream out(&stream);
    out.WriteVarint64(log_record_bytes);
    out.WriteTag(record_tag);
    out.WriteVarint64(record_bytes);
    record.SerializeToCodedStream(&out);
    out.WriteTag(bytes_tag);
    out.WriteVarint64(snapshot.state.size());
  }
  ByteRope body(std::move(front));
  body.Append(snapshot.state);
  ByteRope frame(MakeFrameHeader(body));
  frame.Append(body);
  return frame;
}

LogContents DecodeFrames(std::string_view bytes) {
  LogContents contents;
  while (const std::optional<std::string_view> body = ReadFrame(bytes)) {
    if (!DecodeBody(*body, &contents.records)) {
      contents.tail = LogTail::kCorrupt;
      return contents;
    }
    bytes.remove_prefix(kHeaderBytes + body->size());
  }
  contents.tail = ClassifyTail(bytes);
  return contents;
}

}  // namespace limpethatch
