#include "limpethatch/process/endpoint.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <charconv>

namespace limpethatch {

std::string Endpoint::ToString() const {
  return fmt::format("{}:{}", host, port);
}

bool ParseEndpoint(std::string_view text, Endpoint* endpoint) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string host(text.substr(0, colon));
  in_addr address{};
  if (inet_pton(AF_INET, host.c_str(), &address) != 1) {
    return false;
  }
  uint16_t port = 0;
  const std::string_view digits = text.substr(colon + 1);
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size() ||
      port == 0) {
    return false;
  }
  *endpoint = Endpoint{host, port};
  return true;
}

const Endpoint& Translate(const AddressTranslation& translation,
                          const Endpoint& endpoint) {
  const auto found = translation.find(endpoint);
  return found == translation.end() ? endpoint : found->second;
}

}  // namespace limpethatch
