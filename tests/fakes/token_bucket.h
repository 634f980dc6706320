// A token-bucket rate limiter.
#ifndef LYNXGLADE_FAKES_TOKEN_BUCKET_H_
#define LYNXGLADE_FAKES_TOKEN_BUCKET_H_

#include "base/time.h"

namespace lynxglade::fakes {

// Not thread-safe. Starts full.
class TokenBucket {
 public:
  // `per_second` 0 means no limit; `burst` is the capacity of the bucket.
  TokenBucket(double per_second, double burst) noexcept;

  bool Take(base::Time now) noexcept;
  // Time until Take() would succeed; zero if it would succeed now.
  base::Duration TimeToNext(base::Time now) noexcept;
  void set_rate(double per_second, double burst) noexcept;

 private:
  void Refill(base::Time now) noexcept;

  double per_second_;
  double burst_;
  double tokens_;
  base::Time last_{};
};

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_TOKEN_BUCKET_H_
