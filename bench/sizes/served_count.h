// How many requests of a group were served.
#ifndef LYNXGLADE_BENCH_SIZES_SERVED_COUNT_H_
#define LYNXGLADE_BENCH_SIZES_SERVED_COUNT_H_

#include <cmath>
#include <cstddef>

namespace lynxglade::bench {

struct ServedCount {
  std::size_t requests = 0;
  std::size_t served = 0;

  double Rate() const noexcept {
    return requests == 0
               ? 0
               : static_cast<double>(served) / static_cast<double>(requests);
  }
  // By how many standard deviations of chance fewer are served than at `rate`.
  double Shortfall(double rate) const noexcept {
    const auto n = static_cast<double>(requests);
    const double deviation = std::sqrt(n * rate * (1 - rate));
    return deviation > 0 ? (n * rate - static_cast<double>(served)) / deviation
                         : 0;
  }
};

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_SIZES_SERVED_COUNT_H_
