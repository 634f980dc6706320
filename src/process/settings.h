// The daemon's settings: flags, each with its environment variable.
#ifndef LYNXGLADE_PROCESS_SETTINGS_H_
#define LYNXGLADE_PROCESS_SETTINGS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/log.h"
#include "base/time.h"
#include "request/router.h"

namespace lynxglade::process {

// An IP address and a port.
struct Endpoint {
  std::string address;
  int port = 0;
};

// Reads "1.2.3.4:80" or "[::1]:80"; nothing when the address is not a number
// or the port is not in 0..65535.
std::optional<Endpoint> ParseEndpoint(const std::string& text);

struct Settings {
  base::InstanceId instance;
  base::RegionId region;
  base::ZoneId zone;
  Endpoint listen;
  Endpoint admin_listen;
  Endpoint peer_listen;
  // Where to look for peers while the instance list names none.
  std::vector<Endpoint> seed_peers;
  // "http://address:port" of the platform's services.
  std::string kv_url;
  std::string instance_list_url;
  std::string weight_store_url;
  // Key of the operator who may act while none is configured; may be empty.
  std::string bootstrap_operator_key;
  base::LogLevel log_level = base::LogLevel::kInfo;
  request::RoutePolicy routing_policy = request::RoutePolicy::kDefault;
  std::size_t max_connections = 1200;
  base::Duration default_deadline = std::chrono::seconds(60);
  base::Duration lease_ttl = std::chrono::seconds(30);
  base::Duration engine_idle_timeout = std::chrono::seconds(10);
  base::Duration role_change_time = std::chrono::seconds(5);
  std::string tls_certificate;
  std::string tls_key;
  std::string peer_ca;
};

// Why settings were not taken; one line a fault, each naming the flag and what
// is allowed.
struct SettingsFault {
  std::vector<std::string> lines;
  // --help or --version was asked for and printed: not a fault.
  bool handled = false;
};

// Reads argv, then the environment (LYNXGLADE_LISTEN for --listen, and so on);
// a flag goes before its variable.
std::optional<Settings> ParseSettings(int argc,
                                      const char* const* argv,
                                      SettingsFault* last_reason);

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_SETTINGS_H_
