// Spreads weight loads so that the weight store's limit is kept.
#ifndef LYNXGLADE_PROCESS_LOAD_PACER_H_
#define LYNXGLADE_PROCESS_LOAD_PACER_H_

#include "base/time.h"

namespace lynxglade::process {

// Lets one load through at a time, at an even pace: no burst, so that the
// holders of all shards together stay within the limit when each paces itself
// at its share. Not thread-safe.
class LoadPacer {
 public:
  // `loads_per_minute` is this holder's share of the store's limit; 0 or less
  // lets nothing through.
  void SetRate(double loads_per_minute) noexcept;

  bool Allows(base::Time now) const noexcept;
  // Counts a load that is about to be ordered.
  void Take(base::Time now) noexcept;

 private:
  double loads_per_minute_ = 0;
  bool taken_ = false;
  base::Time last_{};
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_LOAD_PACER_H_
