#include "main/daemon_options.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <string>
#include <vector>

#include "base/time.h"
#include "connection/chat_body.h"
#include "connection/http_limits.h"
#include "request/request.h"

namespace lynxglade {

namespace {

using connection::HttpServerOptions;
using request::RefusalReason;

constexpr base::Duration kRetryElsewhere = std::chrono::milliseconds(100);
constexpr std::size_t kAdminConnections = 64;
constexpr int kHttpTooLarge = 413;
constexpr std::int64_t kMillisPerSecond = 1000;

// Errors of the HTTP library in the format of this API's errors.
std::string LibraryErrorBody(int status) {
  const RefusalReason reason = status == kHttpTooLarge
                                   ? RefusalReason::kBodyTooLarge
                                   : RefusalReason::kMalformedBody;
  return connection::RefusalBody({reason, base::Outcome::kNotRun,
                                  "HTTP status " + std::to_string(status),
                                  std::nullopt});
}

}  // namespace

HttpServerOptions CallerServerOptions(const process::Settings& settings) {
  HttpServerOptions options;
  options.address = settings.listen.address;
  options.port = settings.listen.port;
  options.max_connections = settings.max_connections;
  options.max_body_bytes = connection::kMaxCallerBodyBytes;
  options.overflow.body = connection::RefusalBody(
      {RefusalReason::kOverloaded, base::Outcome::kNotRun,
       "this instance has reached its connection limit", kRetryElsewhere});
  options.error_body = LibraryErrorBody;
  return options;
}

HttpServerOptions AdminServerOptions(const process::Settings& settings) {
  HttpServerOptions options;
  options.address = settings.admin_listen.address;
  options.port = settings.admin_listen.port;
  options.max_connections = kAdminConnections;
  return options;
}

std::unique_ptr<connection::TlsMaterial> TlsMaterialOf(
    const process::Settings& settings) {
  if (settings.tls_certificate.empty()) {
    return nullptr;
  }
  return std::make_unique<connection::TlsMaterial>(
      connection::TlsFiles{settings.tls_certificate, settings.tls_key, {}},
      [] { return base::WallMillis() / kMillisPerSecond; },
      std::vector<std::string>{settings.peer_ca});
}

process::ServingOptions ServingOptionsOf(const process::Settings& settings) {
  process::ServingOptions options;
  options.instance = settings.instance;
  options.zone = settings.zone;
  options.router.policy = settings.routing_policy;
  return options;
}

process::ViewServiceOptions ViewOptionsOf(const process::Settings& settings) {
  process::ViewServiceOptions options;
  options.instance = settings.instance;
  options.zone = settings.zone;
  options.address = settings.peer_listen.address;
  options.port = settings.peer_listen.port;
  if (!settings.peer_ca.empty()) {
    options.tls = {settings.tls_certificate, settings.tls_key,
                   settings.peer_ca};
  }
  return options;
}

version::ConfigurationPlaneOptions ConfigurationOptionsOf(
    const process::Settings& settings) {
  version::ConfigurationPlaneOptions options;
  options.instance = settings.instance;
  options.bootstrap_key = settings.bootstrap_operator_key;
  return options;
}

std::vector<process::InstanceRow> SeedRows(const process::Settings& settings) {
  std::vector<process::InstanceRow> rows;
  std::ranges::transform(
      settings.seed_peers, std::back_inserter(rows),
      [&](const process::Endpoint& seed) {
        const std::string id =
            "seed-" + seed.address + "-" + std::to_string(seed.port);
        return process::InstanceRow{base::InstanceId(id), settings.zone,
                                    seed.address, seed.port, false};
      });
  return rows;
}

}  // namespace lynxglade
