// Holds the share of requests that are served by their size.
//
// Where something is scarce, large requests are lost first: they wait longer,
// and run into their timeouts more often after they were admitted. Each route's
// requests are therefore classed by size. While a class of larger requests is
// served less often than its share, pressure rises: smaller ones may use only a
// part of what is scarce, and engines are filled less, so that larger ones
// finish in time. Without such a shortfall the pressure falls, and engines take
// as many requests as typical answers allow.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_SERVED_SHARES_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_SERVED_SHARES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "base/ids.h"
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

struct ServedSharesOptions {
  // A class should be served at least this often, against its whole route.
  double aim = 0.9;
  // At full pressure, the part of a capacity that is withheld from the smaller
  // classes.
  double max_withheld = 0.4;
  // How large an answer an engine must have time for, in standard deviations
  // above the mean of the logarithms of its route's sizes: without pressure,
  // and at full pressure.
  double min_deviations = 1.5;
  double max_deviations = 2.5;
  // The most that a request changes the pressure, and the shortfall of a class,
  // as a part of its aim, at which it does.
  double max_pressure_step = 0.1;
  double full_shortfall = 0.2;
  // Part of that step by which the pressure falls without a shortfall.
  double relief = 0.5;
  // Recent sizes that determine the classes, and the least number of them.
  std::size_t max_sizes = 200;
  std::size_t min_sizes = 20;
  // Time constant of the served shares.
  base::Duration averaging_time = std::chrono::seconds(15);
  // Requests that a class is assumed to have had, served as often as the whole
  // route.
  double assumed_requests = 3;
  // Routes without a request for this long are dropped.
  base::Duration route_ttl = std::chrono::minutes(5);
};

// How a request stands against others of its route.
struct SizeStanding {
  SizeClass size = SizeClass::kTypical;
  // Part of a capacity that it may use.
  double capacity_fraction = 1;
  // Of the route; see ServedSharesOptions.
  double deviations = 2;
};

// Not thread-safe: used on the event loop only.
class ServedShares {
 public:
  explicit ServedShares(ServedSharesOptions options = {});
  ServedShares(const ServedShares&) = delete;
  ServedShares& operator=(const ServedShares&) = delete;

  // The standing of a new request. `size`: RequestSize(), as its caller expects
  // it.
  SizeStanding Classify(const base::ServiceName& service,
                        const std::string& route,
                        std::int64_t size,
                        base::Time now);
  // A request has ended, refused ones included. `size` as it is known now:
  // callers' estimates are often far off.
  void RecordEnd(const base::ServiceName& service,
                 const std::string& route,
                 std::int64_t size,
                 bool served,
                 base::Time now);

 private:
  // Exponentially decaying counts.
  struct Share {
    double seen = 0;
    double served = 0;
    base::Time last_at{};
  };
  struct Route {
    std::deque<std::int64_t> sizes;
    std::size_t until_sorted = 0;
    std::int64_t large_from = 0;
    std::int64_t largest_from = 0;
    std::array<Share, kSizeClasses> shares;
    // From 0 to 1, and for the deviations. These start at the most: engines are
    // filled only once large answers are known to finish in time.
    double pressure = 0;
    double deviation_pressure = 1;
    base::Time last_at{};
  };

  Route& Find(const base::ServiceName& service,
              const std::string& route,
              base::Time now);
  void AddSize(Route& route, std::int64_t size) const;
  SizeClass ClassOf(const Route& route, std::int64_t size) const noexcept;
  void UpdatePressure(Route& route) const;
  // Part of the capacity that is withheld from the class.
  double Withheld(const Route& route, SizeClass size) const noexcept;
  // Missing part of what the class should be served.
  double Shortfall(const Route& route, SizeClass size) const noexcept;
  void Decay(Share& share, base::Time now) const;

  const ServedSharesOptions options_;
  std::map<base::ServiceName, std::map<std::string, Route>> routes_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_SERVED_SHARES_H_
