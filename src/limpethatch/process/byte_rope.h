// A long byte sequence made of shared, immutable pieces.
#ifndef LIMPETHATCH_PROCESS_BYTE_ROPE_H_
#define LIMPETHATCH_PROCESS_BYTE_ROPE_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace limpethatch {

// Copies are cheap: they share the pieces, which are immutable.
class ByteRope {
 public:
  using Piece = std::shared_ptr<const std::string>;

  ByteRope() = default;
  ByteRope(std::string bytes) { Append(std::move(bytes)); }      // NOLINT
  ByteRope(const char* bytes) : ByteRope(std::string(bytes)) {}  // NOLINT

  void Append(std::string bytes);
  void Append(Piece piece);
  void Append(const ByteRope& other);

  size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  const std::vector<Piece>& pieces() const { return pieces_; }

  // Up to `count` bytes from `offset`; empty if that is beyond the end.
  std::string Substr(size_t offset, size_t count) const;
  std::string ToString() const { return Substr(0, size_); }

 private:
  std::vector<Piece> pieces_;
  size_t size_ = 0;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_BYTE_ROPE_H_
