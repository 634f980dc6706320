// The platform's bound on arrivals beyond the first of each request, checked
// over a whole run.
#ifndef LYNXGLADE_BENCH_RETRIES_RETRY_BOUND_H_
#define LYNXGLADE_BENCH_RETRIES_RETRY_BOUND_H_

#include <cstddef>
#include <vector>

#include "base/time.h"

namespace lynxglade::bench {

// The bound for one service, over all instances.
struct RetryBoundTerms {
  // Arrivals beyond the first that each request allows, and those allowed
  // besides.
  double ratio = 0.2;
  double allowance = 50;
  base::Duration window = std::chrono::seconds(10);
};

// Of all windows, the one that uses most of what is allowed.
struct RetryBoundUse {
  std::size_t arrivals = 0;
  double allowed = 0;
  // End of the window.
  base::Time at{};

  // 1 is all that is allowed.
  double Fraction() const noexcept {
    return allowed > 0 ? static_cast<double>(arrivals) / allowed
                       : static_cast<double>(arrivals);
  }
};

// Not thread-safe.
class RetryBound {
 public:
  explicit RetryBound(const RetryBoundTerms& terms) : terms_(terms) {}

  void OnRequest(base::Time at) { requests_.push_back(at); }
  // An arrival beyond the first of its request.
  void OnExtra(base::Time at) { extra_.push_back(at); }

  // Sorts what was counted. In a window, the requests of that window, of the
  // one before, or of the one half a window before count, whichever are most.
  RetryBoundUse MostUsed();

 private:
  const RetryBoundTerms terms_;
  std::vector<base::Time> requests_;
  std::vector<base::Time> extra_;
};

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_RETRIES_RETRY_BOUND_H_
