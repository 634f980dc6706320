// An IP address and a port, as given in settings.
#ifndef LYNXGLADE_PROCESS_ENDPOINT_H_
#define LYNXGLADE_PROCESS_ENDPOINT_H_

#include <optional>
#include <string>

namespace lynxglade::process {

struct Endpoint {
  std::string address;
  int port = 0;
};

// Parses "1.2.3.4:80" or "[::1]:80". Returns nullopt for host names and for
// ports outside 0..65535.
std::optional<Endpoint> ParseEndpoint(const std::string& text);

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_ENDPOINT_H_
