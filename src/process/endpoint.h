// An IP address and a port, as settings give them.
#ifndef LYNXGLADE_PROCESS_ENDPOINT_H_
#define LYNXGLADE_PROCESS_ENDPOINT_H_

#include <optional>
#include <string>

namespace lynxglade::process {

struct Endpoint {
  std::string address;
  int port = 0;
};

// Reads "1.2.3.4:80" or "[::1]:80"; nothing when the address is not a number
// or the port is not in 0..65535.
std::optional<Endpoint> ParseEndpoint(const std::string& text);

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_ENDPOINT_H_
