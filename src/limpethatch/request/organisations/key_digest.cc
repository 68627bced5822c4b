#include "limpethatch/request/organisations/key_digest.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>

namespace limpethatch {

KeyDigest DigestOfKey(std::string_view key) {
  std::array<uint8_t, SHA256_DIGEST_LENGTH> whole;
  SHA256(reinterpret_cast<const uint8_t*>(key.data()), key.size(),
         whole.data());
  KeyDigest digest;
  std::copy_n(whole.begin(), digest.size(), digest.begin());
  return digest;
}

std::string EncodeKeyDigest(const KeyDigest& digest) {
  return {digest.begin(), digest.end()};
}

std::optional<KeyDigest> DecodeKeyDigest(std::string_view bytes) {
  KeyDigest digest;
  if (bytes.size() != digest.size()) {
    return std::nullopt;
  }
  std::copy(bytes.begin(), bytes.end(), digest.begin());
  return digest;
}

bool SameKeyDigest(const KeyDigest& a, const KeyDigest& b) {
  return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace limpethatch
