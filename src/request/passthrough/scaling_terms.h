// Terms under which the number of a service's engines can be changed.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_SCALING_TERMS_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_SCALING_TERMS_H_

#include <map>

#include "base/ids.h"
#include "base/time.h"

namespace lynxglade::request::passthrough {

struct ScalingTerms {
  // Limits on the engines of one zone, of both kinds together.
  int min_engines = 0;
  int max_engines = 0;
  // From an order until the new engine serves.
  base::Duration boot_time{};
  // Price of a spot engine relative to a regular one; 0 if there are none.
  double spot_price = 0;
  // Relative prices of the zones.
  std::map<base::ZoneId, double> zone_prices;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_SCALING_TERMS_H_
