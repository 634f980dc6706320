// Discrete-event model of a fleet of targets behind several routers. Seeded and
// deterministic. Shared by the router's tests and bench/routing_experiment.
//
// Each target is a FIFO server with a prefill and a decode rate. Its load
// reports reach all routers `report_lag` after they were made. A router sees
// only its own sends.
#ifndef LYNXGLADE_TESTS_REQUEST_FLEET_MODEL_H_
#define LYNXGLADE_TESTS_REQUEST_FLEET_MODEL_H_

#include <cstddef>
#include <cstdint>

#include "base/time.h"
#include "request/router.h"

namespace lynxglade::request {

struct FleetModelOptions {
  std::size_t zones = 3;
  std::size_t targets = 18;
  std::size_t routers = 6;
  // Offered load as a fraction of the fleet's capacity, without cache hits.
  double utilization = 0.85;
  base::Duration run_for = std::chrono::seconds(240);
  base::Duration report_every = std::chrono::milliseconds(500);
  base::Duration report_lag = std::chrono::seconds(2);
  // Half-period in which the prefill fraction of the work goes from 3/4 to 1/4;
  // 0: constant at 1/2.
  base::Duration swing = std::chrono::seconds(120);
  // Distinct prompt prefixes (0: none), and how many a target caches.
  std::size_t prefixes = 0;
  std::size_t cached_prefixes = 24;
  // Fraction of the prefill that a cache hit saves.
  double cached_part = 0.8;
  // Number of targets that run at half their reported rates.
  std::size_t slow_targets = 0;
  // When the first zone's targets leave, from the start of the run; 0: never.
  base::Duration zone_lost_at{};
  RouterOptions router;
  std::uint64_t seed = 1;
};

struct FleetModelResult {
  std::size_t requests = 0;
  std::size_t unrouted = 0;
  // Time to first token (queueing and prefill) in seconds.
  double mean_first_token = 0;
  double p95_first_token = 0;
  double max_first_token = 0;
  // Largest backlog of any target, in seconds.
  double max_backlog = 0;
  // Fraction of requests with a cache hit, and of those sent to another zone.
  double cache_hits = 0;
  double left_zone = 0;
};

FleetModelResult RunFleetModel(const FleetModelOptions& options);

}  // namespace lynxglade::request

#endif  // LYNXGLADE_TESTS_REQUEST_FLEET_MODEL_H_
