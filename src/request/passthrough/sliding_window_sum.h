// Sum of the amounts added within a time window.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_SLIDING_WINDOW_SUM_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_SLIDING_WINDOW_SUM_H_

#include <algorithm>
#include <deque>

#include "base/time.h"

namespace lynxglade::request::passthrough {

// Not thread-safe.
class SlidingWindowSum {
 public:
  // An amount added at t counts up to and including t + `life`.
  explicit SlidingWindowSum(base::Duration life) noexcept : life_(life) {}

  void Add(double amount, base::Time at) {
    const auto later = std::ranges::upper_bound(amounts_, at, {}, &Amount::at);
    amounts_.insert(later, {at, amount});
    total_ += amount;
    DropExpired(at);
  }

  // `now` must not decrease.
  double Total(base::Time now) {
    DropExpired(now);
    return total_;
  }

  // When the oldest amount no longer counts; nothing may be left out.
  base::Time ExpiryOfOldest() const {
    return amounts_.empty() ? base::Time()
                            : amounts_.front().at + life_ + base::Duration(1);
  }

 private:
  struct Amount {
    base::Time at{};
    double amount = 0;
  };

  void DropExpired(base::Time now) {
    while (!amounts_.empty() && amounts_.front().at < now - life_) {
      total_ -= amounts_.front().amount;
      amounts_.pop_front();
    }
    if (amounts_.empty()) {
      // Clears rounding errors.
      total_ = 0;
    }
  }

  const base::Duration life_;
  std::deque<Amount> amounts_;
  double total_ = 0;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_SLIDING_WINDOW_SUM_H_
