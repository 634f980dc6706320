#include "request/router.h"

#include <algorithm>
#include <array>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "request/fleet_model.h"
#include "request/in_flight.h"
#include "request/outlier_ejector.h"

namespace lynxglade::request {
namespace {

const base::Time kNow = base::Time() + std::chrono::hours(1);

Target MakeTarget(const std::string& id,
                  const std::string& zone,
                  EngineRole role = EngineRole::kMixed) {
  Target it;
  it.id = base::TargetId(id);
  it.service = base::ServiceName("llm");
  it.model = base::ModelName("m");
  it.zone = base::ZoneId(zone);
  it.role = role;
  it.load.prefill_tokens_per_s = 1000;
  it.load.decode_tokens_per_s = 100;
  it.load.as_of = kNow;
  return it;
}

// Sets the target's reported backlog, as prefill tokens.
void Report(Target& target, double seconds, base::Time as_of) {
  target.load.queued_prefill =
      base::Tokens(static_cast<std::int64_t>(seconds * 1000));
  target.load.as_of = as_of;
}

TargetIndex IndexOf(TargetTable table) {
  return TargetIndex(std::make_shared<const TargetTable>(std::move(table)));
}

RouteQuery Query() {
  RouteQuery query;
  query.service = base::ServiceName("llm");
  query.model = base::ModelName("m");
  query.local_zone = base::ZoneId("a");
  query.cost = {base::Tokens(100), base::Tokens(10)};
  query.now = kNow;
  return query;
}

// How often each target is picked in `n` tries.
std::map<std::string, int> Count(Router& router,
                                 const TargetIndex& index,
                                 const RouteQuery& query,
                                 int n) {
  std::map<std::string, int> picks;
  for (int i = 0; i < n; ++i) {
    RouteError error{};
    const auto choice = router.Pick(index, query, &error);
    ++picks[choice ? choice->target->id.str() : std::string(ToString(error))];
  }
  return picks;
}

constexpr std::array kPolicies = {
    RoutePolicy::kDefault, RoutePolicy::kNoAffinity, RoutePolicy::kRandom,
    RoutePolicy::kRoundRobin, RoutePolicy::kLeastReported};

RC_GTEST_PROP(RouterTest, PicksOnlyServingTargetsThatWereNotTried, ()) {
  const auto n = *rc::gen::inRange<std::size_t>(0, 12);
  TargetTable table;
  std::vector<base::TargetId> excluded;
  std::size_t usable = 0;
  std::size_t serving = 0;
  for (std::size_t i = 0; i < n; ++i) {
    Target it = MakeTarget(
        "t" + std::to_string(i), *rc::gen::element<std::string>("a", "b", "c"),
        *rc::gen::element(EngineRole::kMixed, EngineRole::kPrefill,
                          EngineRole::kDecode));
    it.state = *rc::gen::element(TargetState::kServing, TargetState::kServing,
                                 TargetState::kDraining, TargetState::kLeaving,
                                 TargetState::kChanging, TargetState::kEjected);
    Report(it, *rc::gen::inRange(0, 5), kNow);
    if (*rc::gen::inRange(0, 4) == 0) {
      it.local_load->ejected_until =
          (kNow + std::chrono::seconds(9)).time_since_epoch().count();
    }
    const bool is_excluded = *rc::gen::inRange(0, 4) == 0;
    if (is_excluded) {
      excluded.push_back(it.id);
    }
    if (it.state == TargetState::kServing) {
      ++serving;
      usable += is_excluded ? 0 : 1;
    }
    table.targets.push_back(std::move(it));
  }
  const TargetIndex index = IndexOf(table);
  RouterOptions options;
  options.policy = *rc::gen::elementOf(kPolicies);
  Router router(options, base::SeededRandom(*rc::gen::arbitrary<unsigned>()));
  RouteQuery query = Query();
  query.excluded = excluded;
  query.prefix_hash = *rc::gen::inRange<std::uint64_t>(0, 3);
  query.role = *rc::gen::element(RequestedRole::kAny, RequestedRole::kPrefill,
                                 RequestedRole::kDecode);
  for (int i = 0; i < 20; ++i) {
    RouteError error{};
    const auto choice = router.Pick(index, query, &error);
    RC_ASSERT(choice.has_value() == (usable > 0));
    if (!choice) {
      RC_ASSERT(error == (n == 0         ? RouteError::kUnknownService
                          : serving == 0 ? RouteError::kNoServingTarget
                                         : RouteError::kAllExcluded));
      continue;
    }
    for (const Target* it : {choice->target, choice->decode}) {
      if (it == nullptr) {
        continue;
      }
      RC_ASSERT(it->state == TargetState::kServing);
      RC_ASSERT(std::ranges::find(excluded, it->id) == excluded.end());
      // Ejected targets are picked only if no other is usable.
      const bool ejected = OutlierEjector::IsEjected(*it, kNow);
      RC_ASSERT((!ejected || choice->reason == RouteReason::kAllEjected));
    }
  }
}

TEST(RouterTest, LeavingTargetGetsNoRequestsFromTheNextTable) {
  TargetTable table;
  for (const char* id : {"t0", "t1", "t2"}) {
    table.targets.push_back(MakeTarget(id, "a"));
  }
  // The target with affinity for the prefix leaves.
  Router router({}, base::SeededRandom(1));
  RouteQuery query = Query();
  query.prefix_hash = 42;
  const auto before = Count(router, IndexOf(table), query, 50);
  ASSERT_EQ(before.size(), 1u);
  const std::string home = before.begin()->first;
  std::ranges::find(table.targets, base::TargetId(home), &Target::id)->state =
      TargetState::kLeaving;
  const auto after = Count(router, IndexOf(table), query, 200);
  EXPECT_FALSE(after.contains(home));
  EXPECT_EQ(after.size(), 1u) << "the prefix moves to one other target";
}

TEST(RouterTest, InstancesAgreeOnPrefixTargetUnlessItIsOverloaded) {
  TargetTable table;
  for (int i = 0; i < 10; ++i) {
    table.targets.push_back(MakeTarget("t" + std::to_string(i), "a"));
  }
  Router one({}, base::SeededRandom(1));
  Router other({}, base::SeededRandom(2));
  std::set<std::string> homes;
  for (std::uint64_t prefix = 1; prefix <= 40; ++prefix) {
    RouteQuery query = Query();
    query.prefix_hash = prefix * 0x9e3779b97f4a7c15u;
    const auto first = Count(one, IndexOf(table), query, 5);
    ASSERT_EQ(first.size(), 1u);
    ASSERT_EQ(Count(other, IndexOf(table), query, 5), first);
    homes.insert(first.begin()->first);
  }
  EXPECT_GE(homes.size(), 8u) << "prefixes are spread over the targets";

  RouteQuery query = Query();
  query.prefix_hash = 77;
  query.cost.prefill = base::Tokens(500);  // a cache hit saves 0.8 * 0.5 s
  const std::string home = Count(one, IndexOf(table), query, 1).begin()->first;
  auto& target =
      *std::ranges::find(table.targets, base::TargetId(home), &Target::id);
  Report(target, 0.45, kNow);  // affinity_slack 0.1 s + saving 0.4 s
  EXPECT_EQ(Count(one, IndexOf(table), query, 20)[home], 20);
  Report(target, 0.60, kNow);
  EXPECT_EQ(Count(one, IndexOf(table), query, 20)[home], 0);
}

TEST(RouterTest, UsesOtherZonesOnlyWhenLocalZoneIsOverloadedOrDown) {
  TargetTable table;
  for (const char* zone : {"a", "b"}) {
    for (int i = 0; i < 3; ++i) {
      table.targets.push_back(MakeTarget(zone + std::to_string(i), zone));
    }
  }
  Router router({}, base::SeededRandom(1));
  const auto in_zone = [&](char zone) {
    int n = 0;
    for (const auto& [id, count] :
         Count(router, IndexOf(table), Query(), 200)) {
      n += id.front() == zone ? count : 0;
    }
    return n;
  };
  EXPECT_EQ(in_zone('a'), 200);
  for (int i = 0; i < 3; ++i) {
    Report(table.targets[static_cast<std::size_t>(i)], 0.4, kNow);
  }
  EXPECT_EQ(in_zone('a'), 200)
      << "a wait below max_local_wait stays in the zone";
  for (int i = 0; i < 3; ++i) {
    Report(table.targets[static_cast<std::size_t>(i)], 3, kNow);
  }
  EXPECT_EQ(in_zone('b'), 200);
  for (int i = 0; i < 3; ++i) {
    Report(table.targets[static_cast<std::size_t>(i)], 0, kNow);
    table.targets[static_cast<std::size_t>(i)].state = TargetState::kDraining;
  }
  EXPECT_EQ(in_zone('b'), 200);
}

TEST(RouterTest, SplitsPrefillAndDecodeOnlyWhenFaster) {
  TargetTable table;
  table.targets = {MakeTarget("p", "a", EngineRole::kPrefill),
                   MakeTarget("d", "a", EngineRole::kDecode),
                   MakeTarget("m", "a", EngineRole::kMixed)};
  Router router({}, base::SeededRandom(1));
  RouteError error{};
  const TargetIndex idle = IndexOf(table);
  const auto alone = router.Pick(idle, Query(), &error);
  ASSERT_TRUE(alone);
  EXPECT_EQ(alone->target->id.str(), "m");
  EXPECT_EQ(alone->decode, nullptr);

  Report(table.targets[2], 2, kNow);
  const TargetIndex busy = IndexOf(table);
  const auto split = router.Pick(busy, Query(), &error);
  ASSERT_TRUE(split);
  EXPECT_EQ(split->target->id.str(), "p");
  ASSERT_NE(split->decode, nullptr);
  EXPECT_EQ(split->decode->id.str(), "d");

  RouterOptions whole;
  whole.any_role_fallback = false;
  Router strict(whole, base::SeededRandom(1));
  table.targets.resize(1);
  const TargetIndex half = IndexOf(table);
  EXPECT_FALSE(strict.Pick(half, Query(), &error));
  EXPECT_EQ(error, RouteError::kRolesIncomplete);
  const auto fallback = router.Pick(half, Query(), &error);
  ASSERT_TRUE(fallback);
  EXPECT_EQ(fallback->reason, RouteReason::kRoleFallback);
}

TEST(RouterTest, AddsSendsUntilAReportIncludesThem) {
  TargetTable table;
  table.targets = {MakeTarget("t", "a")};
  RouterOptions options;
  options.decay_reports = false;
  Router router(options, base::SeededRandom(1));
  const auto estimate = [&](base::Time now) {
    const TargetIndex index = IndexOf(table);
    const TargetPool& pool =
        index.Find(base::ServiceName("llm"), base::ModelName("m"), {})
            ->Pool(EngineRole::kMixed);
    return router.EstimateSeconds(pool, pool.members.front(), now);
  };
  Report(table.targets[0], 1, kNow - std::chrono::seconds(2));
  EXPECT_DOUBLE_EQ(estimate(kNow), 1);
  {
    const InFlight sent(table.targets[0], {base::Tokens(500), base::Tokens(50)},
                        kNow);
    EXPECT_DOUBLE_EQ(estimate(kNow), 2);
    // A report made after the send includes it.
    Report(table.targets[0], 2, kNow + std::chrono::seconds(1));
    EXPECT_DOUBLE_EQ(estimate(kNow + std::chrono::seconds(1)), 2);
    // The report is older than the send history: all in-flight work counts.
    Report(table.targets[0], 0, kNow - std::chrono::minutes(5));
    EXPECT_DOUBLE_EQ(estimate(kNow), 1);
  }
  EXPECT_DOUBLE_EQ(estimate(kNow), 0) << "ended attempts do not count";
}

TEST(RouterTest, DoesNotHerdOnReportsTwoSecondsLate) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    FleetModelOptions options;
    options.seed = seed;
    const auto run = [&options](RoutePolicy policy) {
      options.router.policy = policy;
      return RunFleetModel(options);
    };
    const auto adaptive = run(RoutePolicy::kDefault);
    const auto least_reported = run(RoutePolicy::kLeastReported);
    const auto random = run(RoutePolicy::kRandom);
    const auto round_robin = run(RoutePolicy::kRoundRobin);
    EXPECT_EQ(adaptive.unrouted, 0u);
    EXPECT_LT(adaptive.max_backlog, least_reported.max_backlog / 4);
    EXPECT_LT(adaptive.max_backlog, random.max_backlog);
    EXPECT_LT(adaptive.p95_first_token, random.p95_first_token / 1.5);
    EXPECT_LT(adaptive.p95_first_token, round_robin.p95_first_token);
    // Both corrections of the reports contribute.
    options.router = {};
    options.router.decay_reports = false;
    EXPECT_LT(adaptive.p95_first_token, RunFleetModel(options).p95_first_token);
    options.router = {};
    options.router.add_unreported_sends = false;
    EXPECT_LT(adaptive.p95_first_token, RunFleetModel(options).p95_first_token);
  }
}

TEST(RouterTest, SurvivesZoneLossAndGainsFromAffinity) {
  FleetModelOptions options;
  options.prefixes = 300;
  options.utilization = 0.6;
  options.zone_lost_at = std::chrono::seconds(120);
  const auto adaptive = RunFleetModel(options);
  EXPECT_EQ(adaptive.unrouted, 0u);
  options.router.policy = RoutePolicy::kNoAffinity;
  const auto without = RunFleetModel(options);
  EXPECT_GT(adaptive.cache_hits, 1.5 * without.cache_hits);
  EXPECT_LT(adaptive.p95_first_token, without.p95_first_token);
}

TEST(RouterTest, PicksFromManyThreads) {
  TargetTable table;
  for (int i = 0; i < 20; ++i) {
    table.targets.push_back(MakeTarget("t" + std::to_string(i), "a"));
  }
  const TargetIndex index = IndexOf(table);
  Router router({}, base::SystemRandom());
  std::vector<std::jthread> threads;
  for (std::uint64_t n = 0; n < 4; ++n) {
    threads.emplace_back([&router, &index, n] {
      for (std::uint64_t i = 0; i < 2000; ++i) {
        RouteQuery query = Query();
        query.prefix_hash = 1 + (i * 7 + n) % 50;
        RouteError error{};
        const auto choice = router.Pick(index, query, &error);
        const InFlight sent(*choice->target, query.cost, kNow);
      }
    });
  }
  threads.clear();
  for (const Target& it : table.targets) {
    EXPECT_EQ(it.local_load->running, 0);
    EXPECT_EQ(it.local_load->prefill_tokens, 0);
  }
}

}  // namespace
}  // namespace lynxglade::request
