#include "request/passthrough/served_shares.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/hash.h"

namespace lynxglade::request::passthrough {

namespace {

constexpr double kLargestPart = 0.1;
constexpr double kLargePart = 0.2;
// The classes are determined anew after this many requests.
constexpr std::size_t kSortInterval = 10;

std::size_t Index(SizeClass size) noexcept {
  return static_cast<std::size_t>(size);
}

ShareCount Total(const std::array<ShareCount, kSizeClasses>& counts) noexcept {
  ShareCount total;
  for (const ShareCount& it : counts) {
    total += it;
  }
  return total;
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

RouteKey KeyOf(const base::ServiceName& service,
               const std::string& route) noexcept {
  return static_cast<RouteKey>(base::Hash64(service.str() + '\n' + route));
}

ServedShares::ServedShares(base::RandomSource random,
                           ServedSharesOptions options)
    : random_(std::move(random)), options_(options) {}

ShareStanding ServedShares::Classify(const base::ServiceName& service,
                                     const std::string& name,
                                     std::int64_t size,
                                     base::Time now) {
  Route& route = Find(service, name, now);
  Decay(route, now);
  const ShareCount all = SumOfAll(now);
  const Counts counts = SumOf(route);
  UpdatePressure(route, counts, now);
  ShareStanding standing;
  standing.size = ClassOf(route, size);
  standing.capacity_fraction = 1 - Withheld(route, counts, standing.size);
  standing.deviations =
      std::lerp(options_.min_deviations, options_.max_deviations,
                route.deviation_pressure);
  standing.route_share = ShareOf(route, all);
  const double guarantee = GuaranteeFor(standing.route_share);
  standing.guaranteed = guarantee > 0 && base::UniformReal(random_) < guarantee;
  if (guarantee <= 0) {
    FindYield(service, name, all, standing);
  }
  return standing;
}

double ServedShares::ShareOf(const Route& route, const ShareCount& all) const {
  if (all.served <= 0) {
    return 1;
  }
  const double rate = all.served / all.seen;
  const ShareCount own = Total(SumOf(route));
  return (own.served + options_.assumed_requests * rate) /
         (own.seen + options_.assumed_requests) / rate;
}

double ServedShares::GuaranteeFor(double share) const noexcept {
  return std::clamp(
      (options_.min_free_share - share) /
          (options_.min_free_share - options_.full_guarantee_share),
      0.0, 1.0);
}

void ServedShares::FindYield(const base::ServiceName& service,
                             const std::string& name,
                             const ShareCount& all,
                             ShareStanding& standing) const {
  for (const auto& [other, route] : routes_.at(service)) {
    const double needed = GuaranteeFor(ShareOf(route, all));
    if (other != name && needed > standing.yield) {
      standing.yield = needed;
      standing.yields_to = other;
    }
  }
}

void ServedShares::UpdatePressure(Route& route,
                                  const Counts& counts,
                                  base::Time now) const {
  const double shortfall = std::max(Shortfall(counts, SizeClass::kLarge),
                                    Shortfall(counts, SizeClass::kLargest));
  const double direction =
      shortfall > 0 ? std::min(shortfall / options_.full_shortfall, 1.0)
                    : -options_.relief;
  const base::Duration interval =
      std::min(now - route.pressure_at, options_.max_interval);
  route.pressure_at = now;
  const double change = options_.max_pressure_per_second * direction *
                        base::ToFineMillis(interval) / 1000;
  for (double* pressure : {&route.pressure, &route.deviation_pressure}) {
    *pressure = std::clamp(*pressure + change, 0.0, 1.0);
  }
}

double ServedShares::Withheld(const Route& route,
                              const Counts& counts,
                              SizeClass size) const noexcept {
  const double most = options_.max_withheld * route.pressure;
  switch (size) {
    case SizeClass::kTypical:
      return most;
    case SizeClass::kLarge:
      // It gives way to the largest ones only while it is better off.
      return Shortfall(counts, SizeClass::kLargest) >
                     Shortfall(counts, SizeClass::kLarge)
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
  if (size > 0) {
    AddSize(route, size);
  }
  Decay(route, now);
  route.counts[Index(ClassOf(route, size))] += {1, served ? 1.0 : 0.0};
}

std::vector<RouteShares> ServedShares::Own(base::Time now) {
  std::vector<RouteShares> shares;
  for (auto& [service, routes] : routes_) {
    for (auto& [name, route] : routes) {
      Decay(route, now);
      shares.push_back({route.key, route.counts});
    }
  }
  std::ranges::sort(shares, std::greater<>(), [](const RouteShares& it) {
    return Total(it.counts).seen;
  });
  return shares;
}

void ServedShares::Put(const base::InstanceId& peer,
                       const std::vector<RouteShares>& shares,
                       base::Time now) {
  reports_[peer] = {shares, now};
}

void ServedShares::SumReports(base::Time now) {
  if (now - summed_at_ < options_.sum_interval) {
    return;
  }
  summed_at_ = now;
  std::erase_if(reports_, [&](const auto& it) {
    return now - it.second.received_at > options_.report_ttl;
  });
  peer_counts_.clear();
  peer_sum_ = {};
  for (const auto& [peer, report] : reports_) {
    for (const RouteShares& it : report.shares) {
      Counts& counts = peer_counts_[it.route];
      for (std::size_t i = 0; i < kSizeClasses; ++i) {
        counts[i] += it.counts[i];
      }
      peer_sum_ += Total(it.counts);
    }
  }
}

ServedShares::Counts ServedShares::SumOf(const Route& route) const {
  Counts counts = route.counts;
  const auto peers = peer_counts_.find(route.key);
  for (std::size_t i = 0; peers != peer_counts_.end() && i < kSizeClasses;
       ++i) {
    counts[i] += peers->second[i];
  }
  return counts;
}

ShareCount ServedShares::SumOfAll(base::Time now) {
  SumReports(now);
  ShareCount all = peer_sum_;
  for (auto& [service, routes] : routes_) {
    for (auto& [name, route] : routes) {
      Decay(route, now);
      all += Total(route.counts);
    }
  }
  return all;
}

ServedShares::Route& ServedShares::Find(const base::ServiceName& service,
                                        const std::string& name,
                                        base::Time now) {
  auto& routes = routes_[service];
  if (!routes.contains(name)) {
    std::erase_if(routes, [&](const auto& it) {
      return now - it.second.last_at > options_.route_ttl;
    });
    Route route;
    route.key = KeyOf(service, name);
    route.pressure_at = now;
    route.counted_at = now;
    routes.emplace(name, std::move(route));
  }
  Route& route = routes.at(name);
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

double ServedShares::Shortfall(const Counts& counts,
                               SizeClass size) const noexcept {
  const ShareCount all = Total(counts);
  if (all.served <= 0) {
    return 0;
  }
  const double rate = all.served / all.seen;
  const ShareCount& share = counts[Index(size)];
  const double served = share.served + options_.assumed_requests * rate;
  const double seen = share.seen + options_.assumed_requests;
  return std::max(1 - served / seen / (options_.size_aim * rate), 0.0);
}

void ServedShares::Decay(Route& route, base::Time now) const {
  const double factor = std::exp(-base::ToFineMillis(now - route.counted_at) /
                                 base::ToFineMillis(options_.averaging_time));
  for (ShareCount& it : route.counts) {
    it.seen *= factor;
    it.served *= factor;
  }
  route.counted_at = now;
}

}  // namespace lynxglade::request::passthrough
