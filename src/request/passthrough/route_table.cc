#include "request/passthrough/route_table.h"

#include <algorithm>
#include <cctype>
#include <numeric>
#include <utility>

namespace lynxglade::request::passthrough {

namespace {

// Host name of a Host header in lower case, without port.
std::string HostKey(std::string_view host) {
  const std::string_view name = host.substr(0, host.rfind(':'));
  std::string key(name);
  std::ranges::transform(key, key.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return key;
}

}  // namespace

// As specified by the platform's protocol.
base::Duration Route::EventTimeout() const noexcept {
  constexpr base::Duration kMin = std::chrono::seconds(2);
  return std::max({kMin, 4 * target_latency, 8 * pause_target});
}

bool Route::CanRetry() const noexcept {
  return kind == RouteKind::kIdempotent ||
         (kind == RouteKind::kStream && resumable);
}

RouteTable::RouteTable(std::int64_t version,
                       std::vector<Route> routes,
                       std::vector<ServiceTerms> services,
                       CallerLimits limits,
                       std::optional<OrganisationKeys> keys)
    : version_(version),
      route_count_(routes.size()),
      limits_(limits),
      keys_(std::move(keys)) {
  for (Route& route : routes) {
    by_host_[HostKey(route.host)].push_back(std::move(route));
  }
  for (auto& [host, list] : by_host_) {
    std::ranges::stable_sort(list, std::ranges::greater(), [](const Route& it) {
      return it.path_prefix.size();
    });
  }
  for (ServiceTerms& service : services) {
    const base::ServiceName name = service.name;
    services_.emplace(name, std::move(service));
  }
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  const auto it = by_host_.find(HostKey(host));
  if (it == by_host_.end()) {
    return nullptr;
  }
  const auto found = std::ranges::find_if(it->second, [&](const Route& route) {
    return path.starts_with(route.path_prefix);
  });
  return found == it->second.end() ? nullptr : &*found;
}

const ServiceTerms* RouteTable::FindService(
    const base::ServiceName& name) const {
  const auto it = services_.find(name);
  return it == services_.end() ? nullptr : &it->second;
}

std::vector<base::ServiceName> RouteTable::StagedServices() const {
  std::vector<base::ServiceName> names;
  for (const auto& [name, service] : services_) {
    if (service.has_stages) {
      names.push_back(name);
    }
  }
  std::ranges::sort(names);
  return names;
}

std::map<base::ServiceName, ScalingTerms> RouteTable::ScaledServices() const {
  std::map<base::ServiceName, ScalingTerms> scaled;
  for (const auto& [name, service] : services_) {
    if (service.scaling) {
      scaled.emplace(name, *service.scaling);
    }
  }
  return scaled;
}

const base::ServiceName* RouteTable::PickService(const Route& route,
                                                 std::uint64_t point) noexcept {
  const std::uint64_t total = std::accumulate(
      route.shares.begin(), route.shares.end(), std::uint64_t{0},
      [](std::uint64_t sum, const ServiceShare& it) {
        return sum + it.weight;
      });
  if (total == 0) {
    return nullptr;
  }
  std::uint64_t rest = point % total;
  const auto it =
      std::ranges::find_if(route.shares, [&rest](const ServiceShare& share) {
        if (rest < share.weight) {
          return true;
        }
        rest -= share.weight;
        return false;
      });
  return &it->service;
}

}  // namespace lynxglade::request::passthrough
