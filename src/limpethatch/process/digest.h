// Non-cryptographic digests of texts.
#ifndef LIMPETHATCH_PROCESS_DIGEST_H_
#define LIMPETHATCH_PROCESS_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace limpethatch {

// 64-bit XXH3. Detects accidental corruption, not forgery.
uint64_t ContentDigest(std::string_view text);

// 128-bit XXH3 as 16 bytes; distinguishes requests from one another.
std::string RequestDigest(std::string_view text);
// The same digest of `head` followed by `body`, without joining them.
std::string RequestDigest(std::string_view head, std::string_view body);

// Formats bytes as lower-case hexadecimal digits.
std::string BytesToHex(std::string_view bytes);

// Formats a digest as 16 hexadecimal digits, the form used in responses.
std::string DigestToHex(uint64_t digest);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_DIGEST_H_
