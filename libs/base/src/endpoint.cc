#include "base/endpoint.h"

#include <arpa/inet.h>

#include "base/parse_number.h"

namespace godwit::base {
namespace {

bool ParsesAs(int family, const std::string& text) {
  unsigned char address[sizeof(in6_addr)];
  return inet_pton(family, text.c_str(), address) == 1;
}

}  // namespace

bool IsIpAddress(std::string_view text) {
  const std::string copy(text);
  return ParsesAs(AF_INET, copy) || ParsesAs(AF_INET6, copy);
}

std::optional<Endpoint> Endpoint::FromText(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const auto port = ParseNumber<uint16_t>(text.substr(colon + 1));
  std::string ip(text.substr(0, colon));
  const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  if (bracketed) {
    ip = ip.substr(1, ip.size() - 2);
  }
  if (!port || *port == 0 || !ParsesAs(bracketed ? AF_INET6 : AF_INET, ip)) {
    return std::nullopt;
  }
  return Endpoint{std::move(ip), *port};
}

std::string Endpoint::ToText() const {
  const bool is_ipv6 = ip.find(':') != std::string::npos;
  return (is_ipv6 ? "[" + ip + "]" : ip) + ":" + std::to_string(port);
}

}  // namespace godwit::base
