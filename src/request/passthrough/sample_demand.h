// Decides how many targets of a sampled fleet the load needs.
//
// Instances count the requests that they place and those that met no free
// target; the counts of many instances are added up, as one of them sees too
// few requests.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_SAMPLE_DEMAND_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_SAMPLE_DEMAND_H_

#include "base/time.h"

namespace lynxglade::request::passthrough {

// Requests placed at targets, and those of them that had to wait long, or were
// rejected, because the targets in use are busy.
struct PlacementCounts {
  double placed = 0;
  double crowded = 0;
};

struct SampleDemandOptions {
  // Time constant with which counts fade.
  base::Duration averaging_time = std::chrono::seconds(2);
  // With fewer requests counted nothing is decided.
  double min_placed = 10;
  // The sample is doubled while a larger fraction of the requests is crowded,
  // and twice at a time beyond the second one.
  double max_crowded = 0.08;
  double max_crowded_urgent = 0.3;
  base::Duration doubling_period = std::chrono::milliseconds(1000);
  // It is halved again after the fraction was below this for a while.
  double min_crowded = 0.01;
  base::Duration halving_period = std::chrono::seconds(30);
  int max_doublings = 20;
};

// Not thread-safe: used on the event loop only.
class SampleDemand {
 public:
  explicit SampleDemand(SampleDemandOptions options = {});

  // Adds counts that were not added before.
  void Add(const PlacementCounts& counts, base::Time now);
  // How often the sample is to be doubled.
  int Doublings(base::Time now);

 private:
  void Fade(base::Time now);

  const SampleDemandOptions options_;
  PlacementCounts recent_;
  base::Time faded_at_{};
  base::Time changed_at_{};
  // When the fraction of crowded requests was last not low.
  base::Time busy_at_{};
  int doublings_ = 0;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_SAMPLE_DEMAND_H_
