// Chooses the target of each attempt.
//
// Load balancing is power of two choices: of two targets sampled at random,
// the one with the smaller backlog estimate is chosen. The estimate is the
// target's last load report, decaying towards the mean of its pool with the
// report's age, plus what this process sent since the report was made. A
// request whose prompt prefix is likely cached at a target goes there, unless
// that target's estimate exceeds the sampled one's by more than the cache hit
// would save. The local zone is preferred; other zones are used when it has no
// usable target or its wait is too long. See docs/design/routing.md.
#ifndef LYNXGLADE_REQUEST_ROUTER_H_
#define LYNXGLADE_REQUEST_ROUTER_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "request/cost.h"
#include "request/prefix_table.h"
#include "request/request.h"
#include "request/target.h"
#include "request/target_index.h"

namespace lynxglade::request {

// Why no target could be chosen. Nothing was sent: the outcome is not-run.
enum class RouteError {
  kUnknownService,   // no target of the service is known
  kUnknownModel,     // no target of the service has this model or version
  kNoServingTarget,  // targets are known, but none is serving
  kAllExcluded,      // every serving target is excluded by the query
  kRolesIncomplete,  // no target or pair can run the whole request
};
std::string_view ToString(RouteError error) noexcept;
// The reason that the caller is given.
RefusalReason ToRefusalReason(RouteError error) noexcept;

// How targets are chosen. All but kDefault and kNoAffinity are baselines for
// comparison: they ignore zones and never split a request over two targets.
enum class RoutePolicy {
  kDefault,
  kNoAffinity,
  kRandom,
  kRoundRobin,
  kLeastReported,  // the least reported load, without corrections
};
std::string_view ToString(RoutePolicy policy) noexcept;
// Returns false if `text` names no policy.
bool ParseRoutePolicy(std::string_view text, RoutePolicy* policy) noexcept;

// Which part of the request the attempt runs. kAny: all of it, at one target or
// at a pair of a prefill and a decode engine. kPrefill and kDecode: that part,
// at one target that supports it.
enum class RequestedRole { kAny, kPrefill, kDecode };

// Why the target was chosen. ToString gives the metric label.
enum class RouteReason {
  kSampled,       // the smaller backlog of two sampled targets
  kPrefix,        // recently ran this prefix
  kPrefixHome,    // rendezvous hash: no usable target is known to have it
  kOtherZone,     // the local zone has no usable target or too long a wait
  kRoleFallback,  // roles incomplete: the whole request on any engine
  kAllEjected,    // only ejected targets are left
  kBaseline,      // chosen by a baseline policy
};
std::string_view ToString(RouteReason reason) noexcept;

struct RouteQuery {
  base::ServiceName service;
  base::ModelName model;       // empty for plain services
  base::ModelVersion version;  // empty: any
  RequestedRole role = RequestedRole::kAny;
  std::uint64_t prefix_hash = 0;  // 0: none
  Cost cost;
  base::ZoneId local_zone;
  // Targets not to choose, such as those already tried.
  std::span<const base::TargetId> excluded;
  base::Time now{};
};

// The pointers are valid for the lifetime of the TargetIndex passed to Pick.
struct RouteChoice {
  // Runs the request, or its prefill when `decode` is set.
  const Target* target = nullptr;
  // Null unless prefill and decode go to different engines.
  const Target* decode = nullptr;
  RouteReason reason = RouteReason::kSampled;
  // Estimated time until the target starts on the request.
  base::Duration wait{};
};

struct RouterOptions {
  RoutePolicy policy = RoutePolicy::kDefault;
  // Switches for the individual mechanisms.
  bool decay_reports = true;
  bool add_unreported_sends = true;
  bool prefer_local_zone = true;
  bool split_roles = true;
  bool avoid_ejected = true;
  // Time constant of the decay of a report towards the pool's mean.
  base::Duration report_decay = std::chrono::milliseconds(700);
  // The affine target is passed over when its backlog exceeds the sampled
  // target's by more than this plus `prefix_saving` times the request's prefill
  // time. `prefix_saving` is the fraction of prefill that a cache hit saves.
  base::Duration affinity_slack = std::chrono::milliseconds(100);
  double prefix_saving = 0.8;
  // Other zones are considered when the wait in the local zone exceeds
  // `max_local_wait`, and one is chosen only if its wait is shorter by more
  // than `zone_penalty`.
  base::Duration max_local_wait = std::chrono::milliseconds(500);
  base::Duration zone_penalty = std::chrono::milliseconds(50);
  // Whether prefix affinity ignores zones for requests where a cache hit saves
  // more than zone_penalty. If false, each zone caches a prefix separately.
  bool affinity_across_zones = false;
  // KV cache transfer time from a prefill to a decode engine, per prompt token.
  base::Duration kv_transfer_per_token = std::chrono::microseconds(5);
  // Whether an engine of any role may run a whole request when neither a mixed
  // engine nor a complete prefill and decode pair is available.
  bool any_role_fallback = true;
  // Capacity of the prefix table.
  std::size_t prefix_entries = 65536;
};

// Thread-safe; takes no lock. Use one per process, so that all requests share
// the prefix table.
class Router {
 public:
  // `random` must be thread-safe if Pick is called from several threads.
  Router(RouterOptions options, base::RandomSource random);
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  // Chooses among the serving targets that are not excluded. On nullopt,
  // `*error` is set. Adds the request's prefix to the prefix table.
  std::optional<RouteChoice> Pick(const TargetIndex& index,
                                  const RouteQuery& query,
                                  RouteError* error);

  // Apply prefix cache events of targets.
  void AddPrefix(std::uint64_t prefix, const base::TargetId& target);
  void RemovePrefix(std::uint64_t prefix, const base::TargetId& target);

  // Estimated backlog of a target in seconds.
  double EstimateSeconds(const TargetPool& pool,
                         const IndexedTarget& it,
                         base::Time now) const noexcept;

  const RouterOptions& options() const noexcept { return options_; }

 private:
  struct Candidate;
  struct Search;
  enum class Side;
  struct Draw;

  std::optional<Candidate> PickFromPool(const TargetPool& pool,
                                        const Search& search) const;
  bool IgnoresZones(const TargetPool& pool, const Search& search) const;
  double PrefixSaving(const Cost& cost, const Rates& rates) const noexcept;
  std::optional<Candidate> PickFromRange(
      const TargetPool& pool,
      std::span<const TargetPool::ZoneRange> affine_zones,
      const Draw& draw,
      const Search& search) const;
  std::optional<Candidate> PickSampled(const TargetPool& pool,
                                       const Draw& draw,
                                       const Search& search) const;
  std::optional<Candidate> PickAffine(
      const TargetPool& pool,
      std::span<const TargetPool::ZoneRange> zones,
      const Search& search) const;
  std::optional<Candidate> PickHome(
      const TargetPool& pool,
      std::span<const TargetPool::ZoneRange> zones,
      const Search& search) const;
  std::optional<Candidate> PickBetter(const TargetPool& a,
                                      const TargetPool& b,
                                      const Search& search) const;
  std::optional<RouteChoice> PickWhole(const TargetGroup& group,
                                       const Search& search) const;
  std::optional<RouteChoice> PickGroup(const TargetGroup& group,
                                       const Search& search);
  std::optional<RouteChoice> PickBaseline(const TargetGroup& group,
                                          const Search& search);
  Candidate Evaluate(const TargetPool& pool,
                     const IndexedTarget& it,
                     RouteReason reason,
                     base::Time now) const noexcept;

  const RouterOptions options_;
  const base::RandomSource random_;
  PrefixTable prefixes_;
  std::atomic<std::uint64_t> next_round_robin_{0};
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_ROUTER_H_
