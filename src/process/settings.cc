#include "process/settings.h"

#include <algorithm>
#include <cctype>
#include <functional>
#include <sstream>
#include <string_view>
#include <utility>

#include "base/whole_number.h"
#include "process/option_table.h"

namespace lynxglade::process {

namespace {

constexpr std::string_view kUrlScheme = "http://";
constexpr std::size_t kMaxSeedPeers = 32;
// Minimum part of a lease in which orders can be sent.
constexpr base::Duration kMinOrderTime = std::chrono::seconds(5);

using OptionParser = process::OptionParser<Settings>;
using Option = process::Option<Settings>;

// --- Readers ----------------------------------------------------------------

OptionParser NameParser(std::function<void(Settings&, std::string)> set) {
  return [set](Settings& settings,
               const std::string& text) -> std::optional<std::string> {
    const bool valid =
        !text.empty() && text.size() <= 64 &&
        std::ranges::all_of(text, [](unsigned char c) {
          return std::isalnum(c) || c == '-' || c == '_' || c == '.';
        });
    if (!valid) {
      return "1 to 64 letters, digits, '-', '_' or '.'";
    }
    set(settings, text);
    return std::nullopt;
  };
}

OptionParser TextParser(std::string Settings::* member) {
  return [member](Settings& settings,
                  const std::string& text) -> std::optional<std::string> {
    settings.*member = text;
    return std::nullopt;
  };
}

std::optional<std::string> ParseSeedPeers(Settings& settings,
                                          const std::string& text) {
  std::istringstream parts(text);
  std::vector<Endpoint> peers;
  for (std::string part; std::getline(parts, part, ',');) {
    const auto endpoint = ParseEndpoint(part);
    if (!endpoint || endpoint->port == 0 || peers.size() == kMaxSeedPeers) {
      return "up to " + std::to_string(kMaxSeedPeers) +
             " IP addresses and ports with commas between, such as "
             "10.0.0.1:7003,10.0.0.2:7003";
    }
    peers.push_back(*endpoint);
  }
  settings.seed_peers = std::move(peers);
  return std::nullopt;
}

OptionParser UrlParser(std::string Settings::* member) {
  return [member](Settings& settings,
                  const std::string& text) -> std::optional<std::string> {
    if (!text.starts_with(kUrlScheme) ||
        !ParseEndpoint(text.substr(kUrlScheme.size()))) {
      return "http:// with an IP address and a port, such as "
             "http://127.0.0.1:2379";
    }
    settings.*member = text;
    return std::nullopt;
  };
}

std::optional<std::string> ParseRoutingPolicy(Settings& settings,
                                              const std::string& text) {
  // Policy names use underscores, flag values hyphens.
  std::string name = text;
  std::ranges::replace(name, '-', '_');
  if (!request::ParseRoutePolicy(name, &settings.routing_policy)) {
    return "default, random, round-robin, least-reported or no-affinity";
  }
  return std::nullopt;
}

// --- The table of settings --------------------------------------------------

std::vector<Option> AllOptions() {
  return {
      {"instance-id", "", true, "name of this instance, new at each start",
       NameParser([](Settings& s, std::string v) {
         s.instance = base::InstanceId(std::move(v));
       })},
      {"region", "default", false, "region of this instance",
       NameParser([](Settings& s, std::string v) {
         s.region = base::RegionId(std::move(v));
       })},
      {"zone", "", true, "availability zone of this instance",
       NameParser([](Settings& s, std::string v) {
         s.zone = base::ZoneId(std::move(v));
       })},
      {"listen", "", true, "where callers connect",
       EndpointParser(&Settings::listen)},
      {"admin-listen", "", true, "where operators, health and metrics connect",
       EndpointParser(&Settings::admin_listen)},
      {"peer-listen", "", true, "where other instances connect",
       EndpointParser(&Settings::peer_listen)},
      {"seed-peers", "", false,
       "where other instances of the zone listen for peers; tried while the "
       "instance list names none",
       ParseSeedPeers},
      {"kv-url", "", true, "the platform's key-value service",
       UrlParser(&Settings::kv_url)},
      {"instance-list-url", "", true, "the platform's instance list",
       UrlParser(&Settings::instance_list_url)},
      {"weight-store-url", "", true, "the platform's weight store",
       UrlParser(&Settings::weight_store_url)},
      {"bootstrap-operator-key", "", false,
       "operator key accepted while the configuration names no operator",
       TextParser(&Settings::bootstrap_operator_key)},
      {"log-level", "info", false, "debug, info, warning or error",
       LogLevelParser(&Settings::log_level)},
      {"routing-policy", "default", false,
       "default; the others (random, round-robin, least-reported, "
       "no-affinity) are for comparison",
       ParseRoutingPolicy},
      {"max-connections", "1200", false,
       "maximum number of concurrent caller connections; further ones are "
       "rejected",
       IntegerParser<std::int64_t>(&Settings::max_connections, 1, 20'000)},
      {"default-deadline", "60", false,
       "deadline of a request in seconds if neither caller nor contract sets "
       "one",
       IntegerParser<std::chrono::seconds>(&Settings::default_deadline, 1,
                                           3600)},
      {"lease-ttl", "30", false,
       "lease duration, in seconds, of the authority over a zone's engines",
       IntegerParser<std::chrono::seconds>(&Settings::lease_ttl, 2, 300)},
      {"engine-idle-timeout", "10", false,
       "seconds after which engines close an idle connection; bounds how long "
       "an order of a paused process can stay in flight",
       IntegerParser<std::chrono::seconds>(&Settings::engine_idle_timeout, 1,
                                           600)},
      {"role-change-time", "5", false,
       "seconds for which a role change takes an engine out of service",
       IntegerParser<std::chrono::seconds>(&Settings::role_change_time, 1,
                                           600)},
      {"tls-certificate", "", false, "PEM certificate chain; needs --tls-key",
       TextParser(&Settings::tls_certificate)},
      {"tls-key", "", false, "PEM private key; needs --tls-certificate",
       TextParser(&Settings::tls_key)},
      {"peer-ca", "", false,
       "PEM authority that signs peers' certificates; needs --tls-certificate",
       TextParser(&Settings::peer_ca)},
  };
}

void CheckConsistency(const Settings& settings, SettingsFault& fault) {
  if (settings.tls_certificate.empty() != settings.tls_key.empty()) {
    fault.lines.emplace_back(
        "--tls-certificate and --tls-key must be given together");
  }
  if (!settings.peer_ca.empty() && settings.tls_certificate.empty()) {
    fault.lines.emplace_back("--peer-ca needs --tls-certificate and --tls-key");
  }
  if (settings.lease_ttl < settings.engine_idle_timeout + kMinOrderTime) {
    fault.lines.emplace_back(
        "--lease-ttl must exceed --engine-idle-timeout by at least 5 seconds: "
        "no order is sent in the part of a lease in which an earlier one may "
        "still be in flight");
  }
  const std::vector<const Endpoint*> endpoints = {
      &settings.listen, &settings.admin_listen, &settings.peer_listen};
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    for (std::size_t j = i + 1; j < endpoints.size(); ++j) {
      const bool same = endpoints[i]->port != 0 &&
                        endpoints[i]->port == endpoints[j]->port &&
                        endpoints[i]->address == endpoints[j]->address;
      if (same) {
        fault.lines.emplace_back(
            "--listen, --admin-listen and --peer-listen must differ");
        return;
      }
    }
  }
}

}  // namespace

std::optional<Settings> ParseSettings(int argc,
                                      const char* const* argv,
                                      SettingsFault* fault) {
  const auto settings = ParseOptions<Settings>(
      "One entry instance of lynxglade. Each flag can be given by the "
      "environment variable named in parentheses; the flag takes precedence.",
      AllOptions(), argc, argv, fault);
  if (!settings) {
    return std::nullopt;
  }
  CheckConsistency(*settings, *fault);
  if (!fault->lines.empty()) {
    return std::nullopt;
  }
  return settings;
}

}  // namespace lynxglade::process
