// Holds the share of requests that are served, by kind and by size.
//
// Engines run the most urgent requests first, so that where something is scarce
// the least urgent kind would be left unserved; and large requests are lost
// first, as they wait longer and run into their timeouts more often.
//
// Kinds: a route that is served much less often than all requests has a part of
// its requests treated as most urgent, by chance, so that no subject or caller
// of it is left out. Other routes of its service give way where its answers
// need emptier engines than theirs.
//
// Sizes: each route's requests are classed by size. While a class of larger
// requests is served less often than its share, pressure rises: smaller ones
// may use only a part of what is scarce, and engines are filled less, so that
// larger ones finish in time. Without such a shortfall the pressure falls.
//
// An instance sees a small part of all requests. Instances therefore tell each
// other their counts (process/peers/share_sharing), and each decides by the sum
// of those that it knows.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_SERVED_SHARES_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_SERVED_SHARES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"

namespace lynxglade::request::passthrough {

// By size among the recent requests of a route.
enum class SizeClass {
  kTypical,
  // The fifth below the largest tenth.
  kLarge,
  // The largest tenth.
  kLargest,
};
inline constexpr std::size_t kSizeClasses = 3;
std::string_view ToString(SizeClass size) noexcept;

// What a request takes of an engine, in tokens: one of the output takes as much
// as ten of the prompt.
inline std::int64_t RequestSize(std::int64_t prompt_tokens,
                                std::int64_t output_tokens) noexcept {
  constexpr std::int64_t kPromptTokensPerOutputToken = 10;
  return prompt_tokens + kPromptTokensPerOutputToken * output_tokens;
}

// Recent requests, as exponentially decaying counts.
struct ShareCount {
  double seen = 0;
  double served = 0;

  ShareCount& operator+=(const ShareCount& other) noexcept {
    seen += other.seen;
    served += other.served;
    return *this;
  }
};

// Hash of a service's and a route's name, to keep reports small.
using RouteKey = std::uint32_t;
RouteKey KeyOf(const base::ServiceName& service,
               const std::string& route) noexcept;

// Counts of one route, by SizeClass.
struct RouteShares {
  RouteKey route = 0;
  std::array<ShareCount, kSizeClasses> counts;
};

struct ServedSharesOptions {
  // A route's share, against that of all requests, at which none of its
  // requests is treated as most urgent, and at which all are.
  double min_free_share = 0.4;
  double full_guarantee_share = 0.2;
  // A class of sizes should be served at least this often, against its whole
  // route.
  double size_aim = 0.9;
  // At full pressure, the part of a capacity that is withheld from the smaller
  // classes.
  double max_withheld = 0.4;
  // How large an answer an engine must have time for, in standard deviations
  // above the mean of the logarithms of its route's sizes: without pressure,
  // and at full pressure.
  double min_deviations = 1.5;
  double max_deviations = 2.5;
  // The most that the pressure changes in a second, and the shortfall of a
  // class, as a part of its aim, at which it does. A longer interval between
  // requests counts as `max_interval`.
  double max_pressure_per_second = 1;
  double full_shortfall = 0.2;
  base::Duration max_interval = std::chrono::seconds(1);
  // Part of that change by which the pressure falls without a shortfall.
  double relief = 0.5;
  // Recent sizes that determine the classes, and the least number of them.
  std::size_t max_sizes = 200;
  std::size_t min_sizes = 20;
  // Time constant of the counts.
  base::Duration averaging_time = std::chrono::seconds(15);
  // Requests that a class or a route is assumed to have had, served as often as
  // the whole it is compared with.
  double assumed_requests = 3;
  // Routes without a request for this long are dropped.
  base::Duration route_ttl = std::chrono::minutes(5);
  // Reports of other instances expire after this, which covers a few lost ones,
  // and are added up this often.
  base::Duration report_ttl = std::chrono::seconds(5);
  base::Duration sum_interval = std::chrono::milliseconds(200);
};

// How a request stands against others.
struct ShareStanding {
  SizeClass size = SizeClass::kTypical;
  // Part of a capacity that it may use.
  double capacity_fraction = 1;
  // Of the route; see ServedSharesOptions.
  double deviations = 2;
  // It is treated as most urgent, as its route is served too rarely.
  bool guaranteed = false;
  // The route's share against that of all requests, as far as known.
  double route_share = 1;
  // The route that it gives way to, and how much, from 0 to 1.
  std::string yields_to;
  double yield = 0;
};

// Not thread-safe: used on the event loop only.
class ServedShares {
 public:
  explicit ServedShares(base::RandomSource random,
                        ServedSharesOptions options = {});
  ServedShares(const ServedShares&) = delete;
  ServedShares& operator=(const ServedShares&) = delete;

  // The standing of a new request. `size`: RequestSize(), as its caller expects
  // it.
  ShareStanding Classify(const base::ServiceName& service,
                         const std::string& route,
                         std::int64_t size,
                         base::Time now);
  // A request has ended, refused ones included. `size` as it is known now:
  // callers' estimates are often far off. 0 for requests without a prompt.
  void RecordEnd(const base::ServiceName& service,
                 const std::string& route,
                 std::int64_t size,
                 bool served,
                 base::Time now);

  // This instance's counts, for its peers; those of most requests first.
  std::vector<RouteShares> Own(base::Time now);
  // Replaces all counts of `peer`.
  void Put(const base::InstanceId& peer,
           const std::vector<RouteShares>& shares,
           base::Time now);

 private:
  struct Route {
    RouteKey key = 0;
    std::deque<std::int64_t> sizes;
    std::size_t until_sorted = 0;
    std::int64_t large_from = 0;
    std::int64_t largest_from = 0;
    std::array<ShareCount, kSizeClasses> counts;
    base::Time counted_at{};
    // From 0 to 1, and for the deviations. These start at the most: engines are
    // filled only once large answers are known to finish in time.
    double pressure = 0;
    double deviation_pressure = 1;
    base::Time pressure_at{};
    base::Time last_at{};
  };
  using Counts = std::array<ShareCount, kSizeClasses>;
  struct Report {
    std::vector<RouteShares> shares;
    base::Time received_at{};
  };

  Route& Find(const base::ServiceName& service,
              const std::string& route,
              base::Time now);
  void AddSize(Route& route, std::int64_t size) const;
  SizeClass ClassOf(const Route& route, std::int64_t size) const noexcept;
  void UpdatePressure(Route& route, const Counts& counts, base::Time now) const;
  // Part of the capacity that is withheld from the class.
  double Withheld(const Route& route,
                  const Counts& counts,
                  SizeClass size) const noexcept;
  // Missing part of what the class should be served.
  double Shortfall(const Counts& counts, SizeClass size) const noexcept;
  void Decay(Route& route, base::Time now) const;
  // Sums over this instance and its peers.
  Counts SumOf(const Route& route) const;
  ShareCount SumOfAll(base::Time now);
  // Adds up the reports that have not expired, unless that was done lately.
  void SumReports(base::Time now);
  // The route's share against that of `all`.
  double ShareOf(const Route& route, const ShareCount& all) const;
  // Part of the route's requests that are treated as most urgent.
  double GuaranteeFor(double share) const noexcept;
  // Sets the route of the service that needs most that others give way.
  void FindYield(const base::ServiceName& service,
                 const std::string& route,
                 const ShareCount& all,
                 ShareStanding& standing) const;

  const base::RandomSource random_;
  const ServedSharesOptions options_;
  std::map<base::ServiceName, std::map<std::string, Route>> routes_;
  std::map<base::InstanceId, Report> reports_;
  // Sums of `reports_`.
  base::Time summed_at_{};
  std::map<RouteKey, Counts> peer_counts_;
  ShareCount peer_sum_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_SERVED_SHARES_H_
