#include "process/endpoint.h"

#include <arpa/inet.h>

#include "base/whole_number.h"

namespace lynxglade::process {

namespace {

constexpr int kMaxPort = 65535;

}  // namespace

std::optional<Endpoint> ParseEndpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  std::string address = text.substr(0, colon);
  const bool bracketed =
      address.size() > 2 && address.front() == '[' && address.back() == ']';
  if (bracketed) {
    address = address.substr(1, address.size() - 2);
  }
  in6_addr buf{};
  if (::inet_pton(bracketed ? AF_INET6 : AF_INET, address.c_str(), &buf) != 1) {
    return std::nullopt;
  }
  const auto port = base::ParseWhole(text.substr(colon + 1), 0, kMaxPort);
  if (!port) {
    return std::nullopt;
  }
  return Endpoint{address, static_cast<int>(*port)};
}

}  // namespace lynxglade::process
