// Client for the limits of the weight store, from which engines load models.
// Used to limit the rate of load orders.
#ifndef LYNXGLADE_CONNECTION_WEIGHT_STORE_H_
#define LYNXGLADE_CONNECTION_WEIGHT_STORE_H_

#include <optional>

#include "connection/platform_fetch.h"

namespace lynxglade::connection {

struct WeightLimits {
  // Loads per minute that the store serves to all engines; at least 1.
  int loads_per_minute = 1;
};

// Thread-safe if its fetch is.
class WeightStore {
 public:
  explicit WeightStore(PlatformFetch fetch);

  // Blocks. Returns nullopt and sets `last_error` on failure; the caller should
  // keep its last limits then.
  std::optional<WeightLimits> ReadLimits(PlatformError* last_error) const;

 private:
  const PlatformFetch fetch_;
};

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_WEIGHT_STORE_H_
