#include "limpethatch/process/digest.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <memory>

namespace limpethatch {

uint64_t ContentDigest(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

std::string RequestDigest(std::string_view text) {
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical, XXH3_128bits(text.data(), text.size()));
  return std::string(reinterpret_cast<const char*>(canonical.digest),
                     sizeof(canonical.digest));
}

std::string RequestDigest(std::string_view head, std::string_view body) {
  const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(
      XXH3_createState(), &XXH3_freeState);
  XXH3_128bits_reset(state.get());
  XXH3_128bits_update(state.get(), head.data(), head.size());
  XXH3_128bits_update(state.get(), body.data(), body.size());
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical, XXH3_128bits_digest(state.get()));
  return std::string(reinterpret_cast<const char*>(canonical.digest),
                     sizeof(canonical.digest));
}

std::string DigestToHex(uint64_t digest) {
  return fmt::format("{:016x}", digest);
}

std::string BytesToHex(std::string_view bytes) {
  std::string text;
  for (const char byte : bytes) {
    text += fmt::format("{:02x}", static_cast<unsigned char>(byte));
  }
  return text;
}

}  // namespace limpethatch
