// Network address of a process: an IPv4 address and a port.
#ifndef LIMPETHATCH_PROCESS_ENDPOINT_H_
#define LIMPETHATCH_PROCESS_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace limpethatch {

struct Endpoint {
  std::string host;
  uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
  std::string ToString() const;
};

// Parses "IP:PORT". Returns false if the text is not an IPv4 address and a
// port other than 0.
bool ParseEndpoint(std::string_view text, Endpoint* endpoint);

// Maps advertised addresses to the addresses to connect to, for example behind
// NAT. Addresses that are not listed are used unchanged.
using AddressTranslation = std::map<Endpoint, Endpoint>;

// Returns the address to connect to in order to reach `endpoint`.
const Endpoint& Translate(const AddressTranslation& translation,
                          const Endpoint& endpoint);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_ENDPOINT_H_
