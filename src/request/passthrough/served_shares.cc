#include "request/passthrough/served_shares.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace lynxglade::request::passthrough {

namespace {

constexpr double kLargestPart = 0.1;
constexpr double kLargePart = 0.2;
// The classes are determined anew after this many requests.
constexpr std::size_t kSortInterval = 10;

std::size_t Index(SizeClass size) noexcept {
  return static_cast<std::size_t>(size);
}

}  // namespace

std::string_view ToString(SizeClass size) noexcept {
  switch (size) {
    case SizeClass::kTypical:
      return "typical";
    case SizeClass::kLarge:
      return "large";
    case SizeClass::kLargest:
      break;
  }
  return "largest";
}

ServedShares::ServedShares(ServedSharesOptions options) : options_(options) {}

SizeStanding ServedShares::Classify(const base::ServiceName& service,
                                   const std::string& name,
                                   std::int64_t size,
                                   base::Time now) {
  Route& route = Find(service, name, now);
  std::ranges::for_each(route.shares, [&](Share& it) { Decay(it, now); });
  UpdatePressure(route);
  const SizeClass size_class = ClassOf(route, size);
  return {size_class, 1 - Withheld(route, size_class),
          std::lerp(options_.min_deviations, options_.max_deviations,
                    route.deviation_pressure)};
}

void ServedShares::UpdatePressure(Route& route) const {
  const double shortfall = std::max(Shortfall(route, SizeClass::kLarge),
                                    Shortfall(route, SizeClass::kLargest));
  const double change = shortfall > 0
                            ? std::min(shortfall / options_.full_shortfall, 1.0)
                            : -options_.relief;
  for (double* pressure : {&route.pressure, &route.deviation_pressure}) {
    *pressure =
        std::clamp(*pressure + options_.max_pressure_step * change, 0.0, 1.0);
  }
}

double ServedShares::Withheld(const Route& route,
                             SizeClass size) const noexcept {
  const double most = options_.max_withheld * route.pressure;
  switch (size) {
    case SizeClass::kTypical:
      return most;
    case SizeClass::kLarge:
      // It gives way to the largest ones only while it is better off.
      return Shortfall(route, SizeClass::kLargest) >
                     Shortfall(route, SizeClass::kLarge)
                 ? most / 2
                 : 0;
    case SizeClass::kLargest:
      break;
  }
  return 0;
}

void ServedShares::RecordEnd(const base::ServiceName& service,
                            const std::string& name,
                            std::int64_t size,
                            bool served,
                            base::Time now) {
  Route& route = Find(service, name, now);
  AddSize(route, size);
  Share& share = route.shares[Index(ClassOf(route, size))];
  Decay(share, now);
  share.seen += 1;
  share.served += served ? 1 : 0;
}

ServedShares::Route& ServedShares::Find(const base::ServiceName& service,
                                      const std::string& name,
                                      base::Time now) {
  auto& routes = routes_[service];
  if (!routes.contains(name)) {
    std::erase_if(routes, [&](const auto& it) {
      return now - it.second.last_at > options_.route_ttl;
    });
  }
  Route& route = routes[name];
  route.last_at = now;
  return route;
}

void ServedShares::AddSize(Route& route, std::int64_t size) const {
  route.sizes.push_back(size);
  if (route.sizes.size() > options_.max_sizes) {
    route.sizes.pop_front();
  }
  if (route.until_sorted > 0) {
    --route.until_sorted;
    return;
  }
  route.until_sorted = kSortInterval;
  std::vector<std::int64_t> sorted(route.sizes.begin(), route.sizes.end());
  std::ranges::sort(sorted);
  const auto n = static_cast<double>(sorted.size());
  const auto at = [&](double part) {
    return sorted[std::min(static_cast<std::size_t>(part * n),
                           sorted.size() - 1)];
  };
  route.largest_from = at(1 - kLargestPart);
  route.large_from = at(1 - kLargestPart - kLargePart);
}

SizeClass ServedShares::ClassOf(const Route& route,
                               std::int64_t size) const noexcept {
  if (route.sizes.size() < options_.min_sizes || size < route.large_from) {
    return SizeClass::kTypical;
  }
  return size < route.largest_from ? SizeClass::kLarge : SizeClass::kLargest;
}

double ServedShares::Shortfall(const Route& route,
                              SizeClass size) const noexcept {
  Share all;
  for (const Share& it : route.shares) {
    all.seen += it.seen;
    all.served += it.served;
  }
  if (all.served <= 0) {
    return 0;
  }
  const double rate = all.served / all.seen;
  const Share& share = route.shares[Index(size)];
  const double served = share.served + options_.assumed_requests * rate;
  const double seen = share.seen + options_.assumed_requests;
  return std::max(1 - served / seen / (options_.aim * rate), 0.0);
}

void ServedShares::Decay(Share& share, base::Time now) const {
  const double factor = std::exp(-base::ToFineMillis(now - share.last_at) /
                                 base::ToFineMillis(options_.averaging_time));
  share.seen *= factor;
  share.served *= factor;
  share.last_at = now;
}

}  // namespace lynxglade::request::passthrough
