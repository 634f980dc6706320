// Settings of the daemon. Each is a flag with an environment variable.
#ifndef LYNXGLADE_PROCESS_SETTINGS_H_
#define LYNXGLADE_PROCESS_SETTINGS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/log.h"
#include "base/time.h"
#include "process/endpoint.h"
#include "process/settings_fault.h"
#include "request/router.h"

namespace lynxglade::process {

struct Settings {
  base::InstanceId instance;
  base::RegionId region;
  base::ZoneId zone;
  Endpoint listen;
  Endpoint admin_listen;
  Endpoint peer_listen;
  // Initial peers while the instance list is empty.
  std::vector<Endpoint> seed_peers;
  // "http://address:port" of the platform's services.
  std::string kv_url;
  std::string instance_list_url;
  std::string weight_store_url;
  // Operator key that is accepted while no operator is configured; may be
  // empty.
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

// Reads argv, then the environment (LYNXGLADE_LISTEN for --listen, and so on);
// a flag takes precedence. Returns nullopt and fills `*fault` if a setting is
// missing or invalid, or if --help or --version was handled.
std::optional<Settings> ParseSettings(int argc,
                                      const char* const* argv,
                                      SettingsFault* fault);

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_SETTINGS_H_
