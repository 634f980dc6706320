#include "request/router.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "base/hash.h"
#include "request/outlier_ejector.h"

namespace lynxglade::request {

namespace {

// Random tries before a full scan for a usable target.
constexpr int kSampleTries = 3;

double Seconds(base::Duration d) noexcept {
  return std::chrono::duration<double>(d).count();
}

base::Duration FromSeconds(double seconds) noexcept {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(seconds));
}

Rates RatesOf(const Target& target) noexcept {
  return {target.load.prefill_tokens_per_s, target.load.decode_tokens_per_s};
}

// Weight of a target in the rendezvous hash of a prefix.
std::uint64_t RendezvousWeight(std::uint64_t prefix,
                               std::uint64_t id_hash) noexcept {
  std::uint64_t n = (prefix ^ id_hash) * 0xff51afd7ed558ccdu;
  n ^= n >> 32;
  n *= 0xc4ceb9fe1a85ec53u;
  return n ^ (n >> 29);
}

// Work that this process has in flight at the target and that its last report
// does not include yet. Without send history back to the report, all of it.
SentWork UnreportedWork(const Target& target, base::Time now) noexcept {
  const LocalLoad& own = *target.local_load;
  const SentWork in_flight{
      std::max(0, own.running.load(std::memory_order_relaxed)),
      {base::Tokens(std::max<std::int64_t>(
           0, own.prefill_tokens.load(std::memory_order_relaxed))),
       base::Tokens(std::max<std::int64_t>(
           0, own.decode_tokens.load(std::memory_order_relaxed)))}};
  if (in_flight.requests == 0 ||
      now - target.load.as_of >= SendHistory::kSpan) {
    return in_flight;
  }
  const SentWork sent = own.history.SumSince(target.load.as_of, now);
  return {std::min(in_flight.requests, sent.requests),
          {std::min(in_flight.cost.prefill, sent.cost.prefill),
           std::min(in_flight.cost.decode, sent.cost.decode)}};
}

}  // namespace

// A target with its backlog estimate in seconds.
struct Router::Candidate {
  const Target* target = nullptr;
  std::uint64_t id_hash = 0;
  double wait = 0;
  RouteReason reason = RouteReason::kSampled;
};

// The members of a pool to sample from: a zone's range, or all others.
enum class Router::Side { kInside, kOutside };
struct Router::Draw {
  std::size_t begin = 0;
  std::size_t end = 0;
  Side side = Side::kOutside;
};

// The state of one Pick call.
struct Router::Search {
  const RouteQuery& query;
  const TargetIndex& index;
  // Whether ejected targets are usable.
  bool allow_ejected = false;

  bool IsUsable(const Target& target) const noexcept {
    if (!allow_ejected && OutlierEjector::IsEjected(target, query.now)) {
      return false;
    }
    return std::ranges::find(query.excluded, target.id) == query.excluded.end();
  }
};

Router::Router(RouterOptions options, base::RandomSource random)
    : options_(options),
      random_(std::move(random)),
      prefixes_(options.prefix_entries) {}

std::optional<RouteChoice> Router::Pick(const TargetIndex& index,
                                        const RouteQuery& query,
                                        RouteError* error) {
  const TargetGroup* group =
      index.Find(query.service, query.model, query.version);
  if (group == nullptr) {
    *error = index.HasService(query.service) ? RouteError::kUnknownModel
                                             : RouteError::kUnknownService;
    return std::nullopt;
  }
  if (group->serving() == 0) {
    *error = RouteError::kNoServingTarget;
    return std::nullopt;
  }
  Search search{query, index, !options_.avoid_ejected};
  std::optional<RouteChoice> choice = PickGroup(*group, search);
  if (!choice && !search.allow_ejected) {
    search.allow_ejected = true;
    choice = PickGroup(*group, search);
    if (choice) {
      choice->reason = RouteReason::kAllEjected;
    }
  }
  if (!choice) {
    const bool any_left =
        std::ranges::any_of(group->pools, [&search](const TargetPool& pool) {
          return std::ranges::any_of(pool.members, [&search](const auto& it) {
            return search.IsUsable(*it.target);
          });
        });
    *error = any_left ? RouteError::kRolesIncomplete : RouteError::kAllExcluded;
    return std::nullopt;
  }
  if (query.prefix_hash != 0) {
    prefixes_.Add(query.prefix_hash, base::Hash64(choice->target->id.str()));
  }
  return choice;
}

void Router::AddPrefix(std::uint64_t prefix, const base::TargetId& target) {
  prefixes_.Add(prefix, base::Hash64(target.str()));
}

void Router::RemovePrefix(std::uint64_t prefix, const base::TargetId& target) {
  prefixes_.Remove(prefix, base::Hash64(target.str()));
}

double Router::EstimateSeconds(const TargetPool& pool,
                               const IndexedTarget& it,
                               base::Time now) const noexcept {
  const Target& target = *it.target;
  double seconds = it.reported_seconds;
  if (options_.decay_reports) {
    const double age = std::max(0.0, Seconds(now - target.load.as_of));
    const double trust = std::exp(-age / Seconds(options_.report_decay));
    seconds = pool.mean_seconds + (seconds - pool.mean_seconds) * trust;
  }
  if (options_.add_unreported_sends) {
    const SentWork sent = UnreportedWork(target, now);
    const Rates rates = RatesOf(target);
    const bool counts_tokens =
        rates.prefill_tokens_per_s > 0 || rates.decode_tokens_per_s > 0;
    seconds += counts_tokens ? WorkSeconds(sent.cost, rates)
                             : sent.requests * pool.seconds_per_request;
  }
  return seconds;
}

Router::Candidate Router::Evaluate(const TargetPool& pool,
                                   const IndexedTarget& it,
                                   RouteReason reason,
                                   base::Time now) const noexcept {
  return {it.target, it.id_hash, EstimateSeconds(pool, it, now), reason};
}

std::optional<RouteChoice> Router::PickGroup(const TargetGroup& group,
                                             const Search& search) {
  if (options_.policy != RoutePolicy::kDefault &&
      options_.policy != RoutePolicy::kNoAffinity) {
    return PickBaseline(group, search);
  }
  return PickWhole(group, search);
}

std::optional<RouteChoice> Router::PickWhole(const TargetGroup& group,
                                             const Search& search) const {
  const auto single = [](const Candidate& it) {
    return RouteChoice{it.target, nullptr, it.reason, FromSeconds(it.wait)};
  };
  const TargetPool& mixed = group.Pool(EngineRole::kMixed);
  const TargetPool& prefill = group.Pool(EngineRole::kPrefill);
  const TargetPool& decode = group.Pool(EngineRole::kDecode);
  const TargetPool& plain = group.Pool(EngineRole::kPlain);
  if (!plain.empty()) {
    const auto it = PickFromPool(plain, search);
    return it ? std::optional(single(*it)) : std::nullopt;
  }
  if (search.query.role != RequestedRole::kAny) {
    const bool wants_prefill = search.query.role == RequestedRole::kPrefill;
    const auto it = PickBetter(wants_prefill ? prefill : decode, mixed, search);
    if (it) {
      return single(*it);
    }
  }
  const auto whole = PickFromPool(mixed, search);
  const bool may_split =
      options_.split_roles && search.query.role == RequestedRole::kAny;
  const auto first = may_split ? PickFromPool(prefill, search) : std::nullopt;
  const auto second = first ? PickFromPool(decode, search) : std::nullopt;
  const Cost& cost = search.query.cost;
  if (first && second) {
    const double transfer = Seconds(options_.kv_transfer_per_token) *
                            static_cast<double>(cost.prefill.value());
    const double split =
        first->wait + WorkSeconds({cost.prefill, {}}, RatesOf(*first->target)) +
        transfer + second->wait +
        WorkSeconds({{}, cost.decode}, RatesOf(*second->target));
    const double alone =
        whole ? whole->wait + WorkSeconds(cost, RatesOf(*whole->target)) : 0;
    if (!whole || split < alone) {
      return RouteChoice{first->target, second->target, first->reason,
                         FromSeconds(first->wait)};
    }
  }
  if (whole) {
    return single(*whole);
  }
  if (!options_.any_role_fallback) {
    return std::nullopt;
  }
  auto last = PickBetter(decode, prefill, search);
  if (!last) {
    return std::nullopt;
  }
  last->reason = RouteReason::kRoleFallback;
  return single(*last);
}

std::optional<Router::Candidate> Router::PickBetter(
    const TargetPool& a,
    const TargetPool& b,
    const Search& search) const {
  auto x = PickFromPool(a, search);
  auto y = PickFromPool(b, search);
  if (!x || (y && y->wait < x->wait)) {
    return y;
  }
  return x;
}

std::optional<Router::Candidate> Router::PickFromPool(
    const TargetPool& pool,
    const Search& search) const {
  if (pool.empty()) {
    return std::nullopt;
  }
  const Draw anywhere;
  if (!options_.prefer_local_zone || IgnoresZones(pool, search)) {
    return PickFromRange(pool, pool.zones, anywhere, search);
  }
  const TargetPool::ZoneRange local = pool.FindZone(search.query.local_zone);
  const auto best =
      PickFromRange(pool, std::span(&local, 1),
                    Draw{local.begin, local.end, Side::kInside}, search);
  if (best && best->wait <= Seconds(options_.max_local_wait)) {
    return best;
  }
  // Affinity is not limited to the other zones here: the prefix may be cached
  // in any.
  auto other = PickFromRange(
      pool, pool.zones, Draw{local.begin, local.end, Side::kOutside}, search);
  if (!other ||
      (best && other->wait + Seconds(options_.zone_penalty) >= best->wait)) {
    return best;
  }
  if (other->target->zone != search.query.local_zone) {
    other->reason = RouteReason::kOtherZone;
  }
  return other;
}

// Whether a cache hit would save more than sending to another zone costs.
bool Router::IgnoresZones(const TargetPool& pool, const Search& search) const {
  if (!options_.affinity_across_zones || search.query.prefix_hash == 0) {
    return false;
  }
  const Rates rates = RatesOf(*pool.members.front().target);
  return PrefixSaving(search.query.cost, rates) >
         Seconds(options_.zone_penalty);
}

double Router::PrefixSaving(const Cost& cost,
                            const Rates& rates) const noexcept {
  return options_.prefix_saving *
         WorkSeconds({cost.prefill, base::Tokens(0)}, rates);
}

std::optional<Router::Candidate> Router::PickFromRange(
    const TargetPool& pool,
    std::span<const TargetPool::ZoneRange> affine_zones,
    const Draw& draw,
    const Search& search) const {
  const auto sample = PickSampled(pool, draw, search);
  const bool affinity = options_.policy == RoutePolicy::kDefault;
  if (!sample || !affinity || search.query.prefix_hash == 0) {
    return sample;
  }
  const auto affine = PickAffine(pool, affine_zones, search);
  if (!affine) {
    return sample;
  }
  const double bound =
      Seconds(options_.affinity_slack) +
      PrefixSaving(search.query.cost, RatesOf(*affine->target));
  return affine->wait <= sample->wait + bound ? affine : sample;
}

std::optional<Router::Candidate> Router::PickSampled(
    const TargetPool& pool,
    const Draw& draw,
    const Search& search) const {
  const std::size_t in_range = draw.end - draw.begin;
  const bool inside = draw.side == Side::kInside;
  const std::size_t n = inside ? in_range : pool.members.size() - in_range;
  if (n == 0) {
    return std::nullopt;
  }
  const auto member = [&](std::size_t i) -> const IndexedTarget& {
    const bool after = !inside && i >= draw.begin;
    return pool.members[inside ? draw.begin + i : i + (after ? in_range : 0)];
  };
  const auto draw_one = [&]() -> const IndexedTarget* {
    for (int i = 0; i < kSampleTries; ++i) {
      const auto& it = member(base::UniformBelow(random_, n));
      if (search.IsUsable(*it.target)) {
        return &it;
      }
    }
    const std::size_t offset = base::UniformBelow(random_, n);
    for (std::size_t i = 0; i < n; ++i) {
      const auto& it = member((offset + i) % n);
      if (search.IsUsable(*it.target)) {
        return &it;
      }
    }
    return nullptr;
  };
  const IndexedTarget* a = draw_one();
  if (a == nullptr) {
    return std::nullopt;
  }
  const base::Time now = search.query.now;
  const Candidate first = Evaluate(pool, *a, RouteReason::kSampled, now);
  const IndexedTarget* b = n > 1 ? draw_one() : a;
  if (b == a) {
    return first;
  }
  const Candidate second = Evaluate(pool, *b, RouteReason::kSampled, now);
  return second.wait < first.wait ? second : first;
}

std::optional<Router::Candidate> Router::PickAffine(
    const TargetPool& pool,
    std::span<const TargetPool::ZoneRange> zones,
    const Search& search) const {
  const PrefixTargets recent = prefixes_.Find(search.query.prefix_hash);
  std::optional<Candidate> best;
  for (const std::uint64_t id_hash : recent) {
    if (id_hash == 0) {
      continue;
    }
    for (const auto& zone : zones) {
      const auto begin =
          pool.members.begin() + static_cast<std::ptrdiff_t>(zone.begin);
      const auto end =
          pool.members.begin() + static_cast<std::ptrdiff_t>(zone.end);
      const auto it = std::ranges::lower_bound(begin, end, id_hash, {},
                                               &IndexedTarget::id_hash);
      if (it == end || it->id_hash != id_hash ||
          !search.IsUsable(*it->target)) {
        continue;
      }
      const Candidate found =
          Evaluate(pool, *it, RouteReason::kPrefix, search.query.now);
      if (!best || found.wait < best->wait) {
        best = found;
      }
    }
  }
  return best ? best : PickHome(pool, zones, search);
}

std::optional<Router::Candidate> Router::PickHome(
    const TargetPool& pool,
    std::span<const TargetPool::ZoneRange> zones,
    const Search& search) const {
  const IndexedTarget* home = nullptr;
  std::uint64_t most = 0;
  for (const auto& zone : zones) {
    for (std::size_t i = zone.begin; i < zone.end; ++i) {
      const IndexedTarget& it = pool.members[i];
      const std::uint64_t weight =
          RendezvousWeight(search.query.prefix_hash, it.id_hash);
      if (weight >= most && search.IsUsable(*it.target)) {
        home = &it;
        most = weight;
      }
    }
  }
  if (home == nullptr) {
    return std::nullopt;
  }
  return Evaluate(pool, *home, RouteReason::kPrefixHome, search.query.now);
}

std::optional<RouteChoice> Router::PickBaseline(const TargetGroup& group,
                                                const Search& search) {
  const std::size_t n = group.serving();
  const auto member = [&group](std::size_t i) -> const IndexedTarget& {
    const auto pool = std::ranges::find_if(group.pools, [&i](const auto& it) {
      if (i < it.members.size()) {
        return true;
      }
      i -= it.members.size();
      return false;
    });
    return pool->members[i];
  };
  const bool least = options_.policy == RoutePolicy::kLeastReported;
  std::size_t start = 0;
  if (options_.policy == RoutePolicy::kRandom) {
    start = base::UniformBelow(random_, n);
  } else if (options_.policy == RoutePolicy::kRoundRobin) {
    start = next_round_robin_.fetch_add(1, std::memory_order_relaxed) % n;
  }
  const IndexedTarget* best = nullptr;
  for (std::size_t i = 0; i < n; ++i) {
    const IndexedTarget& it = member((start + i) % n);
    if (!search.IsUsable(*it.target)) {
      continue;
    }
    if (best == nullptr || it.reported_seconds < best->reported_seconds) {
      best = &it;
    }
    if (!least) {
      break;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return RouteChoice{best->target, nullptr, RouteReason::kBaseline,
                     FromSeconds(best->reported_seconds)};
}

}  // namespace lynxglade::request
