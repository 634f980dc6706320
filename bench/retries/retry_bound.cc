#include "bench/retries/retry_bound.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace lynxglade::bench {

namespace {

// Number of `times`, sorted, in the window that ends at `end`, both ends
// included.
std::size_t CountInWindow(const std::vector<base::Time>& times,
                          base::Time end,
                          base::Duration window) {
  const auto first = std::ranges::lower_bound(times, end - window);
  const auto last = std::ranges::upper_bound(times, end);
  return static_cast<std::size_t>(std::max<std::ptrdiff_t>(last - first, 0));
}

}  // namespace

RetryBoundUse RetryBound::MostUsed() {
  std::ranges::sort(requests_);
  std::ranges::sort(extra_);
  RetryBoundUse most;
  for (const base::Time end : extra_) {
    const std::array ends{end, end - terms_.window / 2, end - terms_.window};
    std::size_t requests = 0;
    for (const base::Time it : ends) {
      requests =
          std::max(requests, CountInWindow(requests_, it, terms_.window));
    }
    const RetryBoundUse use{
        CountInWindow(extra_, end, terms_.window),
        terms_.ratio * static_cast<double>(requests) + terms_.allowance, end};
    if (most.arrivals == 0 || use.Fraction() > most.Fraction()) {
      most = use;
    }
  }
  return most;
}

}  // namespace lynxglade::bench
