// A small queueing model of a fleet behind several routers, driven by events
// and a seed. Shared by the router's tests and bench/routing_experiment.
//
// Each target is one server that works through its requests in order, at a
// prefill and a decode rate. Its load reports reach all routers `report_lag`
// after they were made. A router sees its own sends only.
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
  // Offered work over the fleet's capacity, without cache hits.
  double utilization = 0.85;
  base::Duration run_for = std::chrono::seconds(240);
  base::Duration report_every = std::chrono::milliseconds(500);
  base::Duration report_lag = std::chrono::seconds(2);
  // The prefill's part of the work swings between 3/4 and 1/4 in this time;
  // 0: it stays at a half.
  base::Duration swing = std::chrono::seconds(120);
  // Prompt prefixes in use, and how many of them a target caches; 0: none.
  std::size_t prefixes = 0;
  std::size_t cached_prefixes = 24;
  // Part of the prompt that a cached prefix saves.
  double cached_part = 0.8;
  // Targets that work at half their reported rates.
  std::size_t slow_targets = 0;
  // From this time on the first zone's targets are gone; 0: never.
  base::Duration zone_lost_at{};
  RouterOptions router;
  std::uint64_t seed = 1;
};

struct FleetModelResult {
  std::size_t requests = 0;
  std::size_t unrouted = 0;
  // Until the first token: queue and prefill, in seconds.
  double mean_first_token = 0;
  double p95_first_token = 0;
  double max_first_token = 0;
  // Longest work ahead that any target ever had, in seconds.
  double max_backlog = 0;
  // Share of requests that found their prefix cached, and that left the zone.
  double cache_hits = 0;
  double left_zone = 0;
};

FleetModelResult RunFleetModel(const FleetModelOptions& options);

}  // namespace lynxglade::request

#endif  // LYNXGLADE_TESTS_REQUEST_FLEET_MODEL_H_
