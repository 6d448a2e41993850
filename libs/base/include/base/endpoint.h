#ifndef BASE_ENDPOINT_H_
#define BASE_ENDPOINT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace godwit::base {

// The address that a server listens on: an IP address and a port.
struct Endpoint {
  // IPv4 or IPv6 address, without brackets.
  std::string ip;
  // 1 to 65535.
  uint16_t port = 0;

  // Parses "127.0.0.1:8080" or "[::1]:8080"; empty for any other text, such as
  // a host name.
  static std::optional<Endpoint> FromText(std::string_view text);
  // Formats the endpoint as FromText parses it.
  std::string ToText() const;

  friend bool operator==(const Endpoint& a, const Endpoint& b) {
    return std::tie(a.ip, a.port) == std::tie(b.ip, b.port);
  }
  friend bool operator!=(const Endpoint& a, const Endpoint& b) {
    return !(a == b);
  }
  friend bool operator<(const Endpoint& a, const Endpoint& b) {
    return std::tie(a.ip, a.port) < std::tie(b.ip, b.port);
  }
};

// True for an IPv4 or IPv6 address in text form.
bool IsIpAddress(std::string_view text);

}  // namespace godwit::base

#endif  // BASE_ENDPOINT_H_
