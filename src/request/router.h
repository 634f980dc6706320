// Chooses the target of one attempt.
//
// Two targets are drawn at random and the one with less estimated work ahead
// wins. The estimate is the target's last report, drawn towards the mean of
// its pool as the report ages, plus what this process sent since the report
// was made. A prompt prefix that ran before prefers its earlier target unless
// that one's estimate exceeds the sample's by more than the cache would save.
// The own zone comes first; other zones take over when it has no target or
// none with a short enough wait. See docs/notes/routing.md.
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

// Why no target could be chosen. Nothing was sent, so the outcome is not-run.
enum class RouteError {
  kUnknownService,   // no target of the service in view
  kUnknownModel,     // the service is known, this model or version is not
  kNoServingTarget,  // known targets all drain, leave or change
  kAllExcluded,      // every serving target was tried already
  kRolesIncomplete,  // no target or pair could run the whole request
};
std::string_view ToString(RouteError error) noexcept;
// The caller's view of it.
RefusalReason ToRefusalReason(RouteError error) noexcept;

// How targets are chosen. All but kDefault and kNoAffinity are baselines for
// comparison; they look at no zone and choose one target, never a pair.
enum class RoutePolicy {
  kDefault,
  kNoAffinity,
  kRandom,
  kRoundRobin,
  kLeastReported,  // the least reported load, taken at face value
};
std::string_view ToString(RoutePolicy policy) noexcept;
// Returns false on other text.
bool ParseRoutePolicy(std::string_view text, RoutePolicy* policy) noexcept;

// What the attempt needs. kAny: the whole request, at one target or at a pair
// of a prefill and a decode engine. kPrefill and kDecode: one target that can
// do that part.
enum class RoleWanted { kAny, kPrefill, kDecode };

// Why the target was chosen; each has a counter label.
enum class RouteReason {
  kSampled,       // less work ahead of two drawn at random
  kPrefix,        // ran this prefix before
  kPrefixHome,    // first choice of a prefix not seen yet
  kOtherZone,     // own zone has no target or none free enough
  kRoleFallback,  // no complete set of roles: whole request on any engine
  kAllEjected,    // only ejected targets are left
  kBaseline,      // a baseline policy
};
std::string_view ToString(RouteReason reason) noexcept;

struct RouteQuery {
  base::ServiceName service;
  base::ModelName model;       // empty for plain services
  base::ModelVersion version;  // empty: any
  RoleWanted role = RoleWanted::kAny;
  std::uint64_t prefix_hash = 0;  // 0: none
  Cost cost;
  base::ZoneId local_zone;
  // Targets not to choose, such as those already tried. Must outlive the call.
  std::span<const base::TargetId> excluded;
  base::Time now{};
};

// The pointers live as long as the TargetIndex that was asked.
struct RouteChoice {
  // Runs the request, or its prefill when `decode` is set.
  const Target* target = nullptr;
  // Null unless prefill and decode go to different engines.
  const Target* decode = nullptr;
  RouteReason reason = RouteReason::kSampled;
  // Estimated time until the target gets to the request.
  base::Duration wait{};
};

struct RouterOptions {
  RoutePolicy policy = RoutePolicy::kDefault;
  // Each mechanism can be switched off to see what it adds.
  bool age_reports = true;
  bool add_unreported_sends = true;
  bool prefer_local_zone = true;
  bool split_roles = true;
  bool avoid_ejected = true;
  // Time in which an old report loses 63% of its say. Measured: see
  // docs/notes/routing.md.
  base::Duration report_decay = std::chrono::milliseconds(700);
  // Affinity gives way when the affine target's work ahead exceeds the
  // sample's by this plus `prefix_saving` of the request's prefill time.
  base::Duration affinity_slack = std::chrono::milliseconds(100);
  double prefix_saving = 0.8;
  // Work ahead in the own zone from which other zones are looked at, and what
  // another zone must be better by.
  base::Duration max_local_wait = std::chrono::milliseconds(500);
  base::Duration zone_penalty = std::chrono::milliseconds(50);
  // Whether a prefix may have its one home in another zone, where the cache
  // saves more than zone_penalty. Off, each zone caches for itself.
  bool affinity_across_zones = false;
  // Time to hand a prompt token's KV cache from a prefill to a decode engine.
  base::Duration kv_transfer_per_token = std::chrono::microseconds(5);
  // Whether an engine of any role may run a whole request when no mixed one
  // and no complete pair serves.
  bool any_role_fallback = true;
  // Prefixes remembered.
  std::size_t prefix_entries = 65536;
};

// Thread-safe; takes no lock. One a process.
class Router {
 public:
  // `random` must be thread-safe if Pick is called from several threads.
  Router(RouterOptions options, base::RandomSource random);
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  // Chooses among serving targets that are not excluded. On nullopt
  // `*last_error` says why.
  std::optional<RouteChoice> Pick(const TargetIndex& index,
                                  const RouteQuery& query,
                                  RouteError* last_error);

  // What a target's cache events say. Routing itself learns from its picks.
  void AddPrefix(std::uint64_t prefix, const base::TargetId& target);
  void RemovePrefix(std::uint64_t prefix, const base::TargetId& target);

  // Seconds of work ahead at a target, as this router judges it.
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
  bool IsWorthLeaving(const TargetPool& pool, const Search& search) const;
  double PrefixSaving(const Cost& cost, const Rates& rates) const noexcept;
  std::optional<Candidate> PickFrom(
      const TargetPool& pool,
      std::span<const TargetPool::ZoneRange> affine_zones,
      const Draw& draw,
      const Search& search) const;
  std::optional<Candidate> Sample(const TargetPool& pool,
                                  const Draw& draw,
                                  const Search& search) const;
  std::optional<Candidate> Affine(const TargetPool& pool,
                                  std::span<const TargetPool::ZoneRange> zones,
                                  const Search& search) const;
  std::optional<Candidate> Home(const TargetPool& pool,
                                std::span<const TargetPool::ZoneRange> zones,
                                const Search& search) const;
  std::optional<Candidate> Better(const TargetPool& a,
                                  const TargetPool& b,
                                  const Search& search) const;
  std::optional<RouteChoice> PickWhole(const TargetGroup& group,
                                       const Search& search) const;
  std::optional<RouteChoice> PickGroup(const TargetGroup& group,
                                       const Search& search);
  std::optional<RouteChoice> PickBaseline(const TargetGroup& group,
                                          const Search& search);
  Candidate Judge(const TargetPool& pool,
                  const IndexedTarget& it,
                  RouteReason reason,
                  base::Time now) const noexcept;

  const RouterOptions options_;
  const base::RandomSource random_;
  PrefixTable prefixes_;
  std::atomic<std::uint64_t> turn_{0};
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_ROUTER_H_
