// Routes of opaque requests: which service a host and path belong to, and the
// terms the operator set for them.
//
// A table is one version of the configuration and never changes; a newer
// version is a new table.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_ROUTE_TABLE_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_ROUTE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace lynxglade::request::passthrough {

// What may be repeated. A stream is as unsafe to repeat as a non-idempotent
// request, unless its route says that it may be resumed.
enum class RouteKind { kIdempotent, kNonIdempotent, kStream };

// One of the services that share a route's requests.
struct ServiceShare {
  base::ServiceName service;
  // Relative to the sum of the route's weights; 0 sends nothing.
  std::uint32_t weight = 1;
};

// The operator's terms for the requests of one host and path prefix.
struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  RouteKind kind = RouteKind::kNonIdempotent;
  // Engines on which one request may run.
  int max_attempts = 1;
  // The longest time a caller is kept without its final answer.
  base::Duration timeout{};
  // Up to the first byte; an answer within it earns its full worth.
  base::Duration target_latency{};
  // Longest pause between the events of a stream that earns its full worth.
  base::Duration pause_target{};
  // 0 is the most urgent.
  int priority = 0;
  bool resumable = false;
  std::vector<ServiceShare> shares;

  // How long a stream's caller waits for an event, the first included, before
  // it leaves.
  base::Duration EventTimeout() const noexcept;
  // Whether a request of unknown outcome may be sent to another engine.
  bool CanRetry() const noexcept;
};

// What a caller may send, and how long it may take.
struct CallerLimits {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
  base::Duration header_timeout = std::chrono::seconds(3);
  base::Duration idle_timeout = std::chrono::seconds(15);
};

// What the configuration says of a service's targets.
struct ServiceTerms {
  base::ServiceName name;
  // Concurrent connections one target takes, from all instances together.
  int max_connections = 0;
  // Its targets are engines that can be ordered to read prompts or to generate.
  bool has_stages = false;
};

class RouteTable {
 public:
  RouteTable() = default;
  RouteTable(std::int64_t version,
             std::vector<Route> routes,
             std::vector<ServiceTerms> services,
             CallerLimits limits);

  // The route of that host with the longest prefix of `path` (no query), or
  // null. The port of `host` is ignored, and its case.
  const Route* Find(std::string_view host, std::string_view path) const;
  // Null for a service the configuration does not name.
  const ServiceTerms* FindService(const base::ServiceName& name) const;
  // Services whose engines can change their stage, in order of their names.
  std::vector<base::ServiceName> StagedServices() const;
  // Splits a route by weight. `point` is a hash of the request, so that a
  // request's attempts stay with one service. Null if no share has weight.
  static const base::ServiceName* PickService(const Route& route,
                                              std::uint64_t point) noexcept;

  std::int64_t version() const noexcept { return version_; }
  const CallerLimits& limits() const noexcept { return limits_; }
  std::size_t size() const noexcept { return route_count_; }

 private:
  std::int64_t version_ = 0;
  std::size_t route_count_ = 0;
  CallerLimits limits_;
  // By lower-case host; the longest prefixes first.
  std::unordered_map<std::string, std::vector<Route>> by_host_;
  std::unordered_map<base::ServiceName, ServiceTerms> services_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_ROUTE_TABLE_H_
