// Routes of passed-through requests: the service for a host and path, and the
// operator's settings for it.
//
// A table is one version of the configuration and immutable.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_ROUTE_TABLE_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_ROUTE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "request/passthrough/organisation_keys.h"
#include "request/passthrough/scaling_terms.h"

namespace lynxglade::request::passthrough {

// What may be retried. A stream is treated as non-idempotent unless its route
// is resumable.
enum class RouteKind { kIdempotent, kNonIdempotent, kStream };

// One of the services that share a route's requests.
struct ServiceShare {
  base::ServiceName service;
  // Relative to the sum of the route's weights; 0 for no requests.
  std::uint32_t weight = 1;
};

// Settings for the requests of one host and path prefix.
struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  RouteKind kind = RouteKind::kNonIdempotent;
  // Engines on which one request may run.
  int max_attempts = 1;
  // Most time until the final answer; 0 for no limit.
  base::Duration timeout{};
  // Latency target for the first byte; 0 for none.
  base::Duration target_latency{};
  // Target for the longest pause between the events of a stream.
  base::Duration pause_target{};
  // 0 is the most urgent.
  int priority = 0;
  bool resumable = false;
  // Serves callers without an API key.
  bool is_public = false;
  std::vector<ServiceShare> shares;

  // How long the caller of a stream waits for an event, including the first,
  // before it disconnects.
  base::Duration EventTimeout() const noexcept;
  // Whether a request of unknown outcome may be sent to another engine.
  bool CanRetry() const noexcept;
};

// Limits for callers' requests.
struct CallerLimits {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
  base::Duration header_timeout = std::chrono::seconds(3);
  base::Duration idle_timeout = std::chrono::seconds(15);
};

// Configuration of a service's targets.
struct ServiceTerms {
  base::ServiceName name;
  // Concurrent connections that one target accepts from all instances together;
  // 0 for no limit.
  int max_connections = 0;
  // Its targets are engines that can be switched between prefill and decode.
  bool has_stages = false;
  // Set if the number of its engines can be changed.
  std::optional<ScalingTerms> scaling;
};

class RouteTable {
 public:
  RouteTable() = default;
  RouteTable(std::int64_t version,
             std::vector<Route> routes,
             std::vector<ServiceTerms> services,
             CallerLimits limits,
             std::optional<OrganisationKeys> keys = std::nullopt);

  // The route of the host with the longest prefix of `path` (without query), or
  // null. Ignores the case and port of `host`.
  const Route* Find(std::string_view host, std::string_view path) const;
  // Null if the configuration does not name the service.
  const ServiceTerms* FindService(const base::ServiceName& name) const;
  // Services whose engines can change their stage, ordered by name.
  std::vector<base::ServiceName> StagedServices() const;
  // Terms of the services whose number of engines can be changed.
  std::map<base::ServiceName, ScalingTerms> ScaledServices() const;
  // Picks a service by weight. `point` is a hash of the request, so that all
  // attempts of a request use one service. Null if no share has weight.
  static const base::ServiceName* PickService(const Route& route,
                                              std::uint64_t point) noexcept;

  std::int64_t version() const noexcept { return version_; }
  const CallerLimits& limits() const noexcept { return limits_; }
  // Unset if the configuration names no organisations: callers then need no
  // key, and the credentials that they send are not this process's.
  const std::optional<OrganisationKeys>& keys() const noexcept { return keys_; }
  std::size_t size() const noexcept { return route_count_; }

 private:
  std::int64_t version_ = 0;
  std::size_t route_count_ = 0;
  CallerLimits limits_;
  std::optional<OrganisationKeys> keys_;
  // By lower-case host; longest prefix first.
  std::unordered_map<std::string, std::vector<Route>> by_host_;
  std::unordered_map<base::ServiceName, ServiceTerms> services_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_ROUTE_TABLE_H_
