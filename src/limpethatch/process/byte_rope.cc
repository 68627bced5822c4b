#include "limpethatch/process/byte_rope.h"

#include <algorithm>
#include <utility>

namespace limpethatch {

void ByteRope::Append(std::string bytes) {
  Append(std::make_shared<const std::string>(std::move(bytes)));
}

void ByteRope::Append(Piece piece) {
  if (!piece->empty()) {
    size_ += piece->size();
    pieces_.push_back(std::move(piece));
  }
}

void ByteRope::Append(const ByteRope& other) {
  for (const Piece& piece : other.pieces_) {
    Append(piece);
  }
}

std::string ByteRope::Substr(size_t offset, size_t count) const {
  std::string bytes;
  if (offset >= size_) {
    return bytes;
  }
  count = std::min(count, size_ - offset);
  bytes.reserve(count);
  for (const Piece& piece : pieces_) {
    if (offset >= piece->size()) {
      offset -= piece->size();
      continue;
    }
    bytes.append(*piece, offset, count - bytes.size());
    offset = 0;
    if (bytes.size() == count) {
      break;
    }
  }
  return bytes;
}

}  // namespace limpethatch
