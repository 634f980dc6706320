// The store that engines load weights from; this system only asks for its
// limits, so that loads are ordered no faster than it serves them.
#ifndef LYNXGLADE_CONNECTION_WEIGHT_STORE_H_
#define LYNXGLADE_CONNECTION_WEIGHT_STORE_H_

#include <optional>

#include "connection/platform_fetch.h"

namespace lynxglade::connection {

struct WeightLimits {
  // Loads that the store serves in a minute, over all engines; at least 1.
  int loads_per_minute = 1;
};

// Thread-safe when its fetch is.
class WeightStore {
 public:
  explicit WeightStore(PlatformFetch fetch);

  // Asks the store; blocks. The caller keeps its last limits on failure.
  std::optional<WeightLimits> ReadLimits(PlatformError* last_error) const;

 private:
  const PlatformFetch fetch_;
};

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_WEIGHT_STORE_H_
