// Digests by which the keys of organisations are known, so that neither the
// configuration of a gateway nor its memory contains a key.
#ifndef LIMPETHATCH_REQUEST_ORGANISATIONS_KEY_DIGEST_H_
#define LIMPETHATCH_REQUEST_ORGANISATIONS_KEY_DIGEST_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace limpethatch {

// 128 bits make it infeasible to find another key with a given digest, and take
// half the memory of a whole SHA-256.
inline constexpr size_t kKeyDigestBytes = 16;

using KeyDigest = std::array<uint8_t, kKeyDigestBytes>;

// The first bytes of the key's SHA-256.
KeyDigest DigestOfKey(std::string_view key);

std::string EncodeKeyDigest(const KeyDigest& digest);
// Nullopt if `bytes` has another length than a digest.
std::optional<KeyDigest> DecodeKeyDigest(std::string_view bytes);

// Takes the same time whether and where the digests differ.
bool SameKeyDigest(const KeyDigest& a, const KeyDigest& b);

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_ORGANISATIONS_KEY_DIGEST_H_
