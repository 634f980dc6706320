// Limits the rate of weight loads to this holder's share of the weight store's
// limit.
#ifndef LYNXGLADE_PROCESS_LOAD_RATE_LIMITER_H_
#define LYNXGLADE_PROCESS_LOAD_RATE_LIMITER_H_

#include "base/time.h"

namespace lynxglade::process {

// Permits one load at a time at a fixed interval. There are no bursts, so the
// holders of all shards together stay within the limit if each keeps to its
// share. Not thread-safe.
class LoadRateLimiter {
 public:
  // `loads_per_minute` is this holder's share of the store's limit; 0 or less
  // permits no load.
  void SetRate(double loads_per_minute) noexcept;

  bool Allows(base::Time now) const noexcept;
  // Records a load that is about to be ordered.
  void RecordLoad(base::Time now) noexcept;

 private:
  double loads_per_minute_ = 0;
  bool any_load_ = false;
  base::Time last_{};
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_LOAD_RATE_LIMITER_H_
