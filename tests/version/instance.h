// Test instances that share one fake key-value service.
#ifndef LYNXGLADE_TESTS_VERSION_INSTANCE_H_
#define LYNXGLADE_TESTS_VERSION_INSTANCE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "fakes/fake_kv.h"
#include "version/config_watcher.h"
#include "version/plan_service.h"

namespace lynxglade::version {

inline const Caller kFleetCaller{base::OperatorId("ana"),
                                 OperatorRole::kFleet,
                                 {}};

// One instance with its own client, store and tracker.
struct Instance {
  Instance(fakes::FakeKv& kv, std::uint64_t seed, StoreLimits limits)
      : inner(fakes::MakeInProcessTransport(kv)),
        client(
            [this](const connection::KvCall& call, connection::KvError* error) {
              if (before_call) {
                before_call();
              }
              return inner(call, error);
            },
            std::chrono::seconds(1)),
        store(client, base::SeededRandom(seed), limits),
        plans(client, store, tracker, PlanHooks()) {}

  static PlanServiceHooks PlanHooks() {
    PlanServiceHooks hooks;
    hooks.fleet = [] { return FleetFacts{}; };
    hooks.wall_millis = [] { return std::int64_t{7}; };
    return hooks;
  }

  bool Refresh() {
    StoreError ec = StoreError::kNone;
    return RefreshConfig(store, &tracker, &ec);
  }

  // Runs before each call to the service; simulates concurrent activity.
  std::function<void()> before_call;
  base::Metrics metrics;
  connection::KvTransport inner;
  connection::KeyValue client;
  ConfigStore store;
  ConfigTracker tracker{{[] { return base::Time{}; }, {}, {}, {}}, metrics};
  PlanService plans;
};

// Small limits, so that a test's history is compacted and expires repeatedly.
inline constexpr StoreLimits kSmall{4, 12, 1000, 400, 2};

struct Instances {
  Instances() : kv([] { return base::Time{}; }) {
    for (std::uint64_t i = 0; i < 3; ++i) {
      instances.push_back(std::make_unique<Instance>(kv, i + 1, kSmall));
    }
  }
  Instance& at(std::size_t n) { return *instances[n]; }

  // Creates and confirms a plan on one instance; returns the new revision.
  base::Revision Put(std::size_t n, const std::string& request) {
    PlanFault fault;
    CodecFault violation;
    const auto parsed = ParseChangeRequest(request, &violation);
    EXPECT_TRUE(parsed) << violation.where << violation.message;
    const auto plan = at(n).plans.Create(*parsed, kFleetCaller, &fault);
    EXPECT_TRUE(plan) << fault.message;
    const auto result = at(n).plans.Confirm(plan->id, kFleetCaller);
    EXPECT_EQ(result.outcome, ConfirmOutcome::kInForce) << result.message;
    return result.revision;
  }

  fakes::FakeKv kv;
  std::vector<std::unique_ptr<Instance>> instances;
};

inline std::string Basics() {
  return R"({"changes":[
    {"upsert_service":{"name":"llm","engines":true}},
    {"upsert_contract":{"id":"archive","intents":[
      {"service":"llm","model":"m1","share":0.5}]}},
    {"upsert_contract":{"id":"parish"}}]})";
}

inline std::string ShareOf(const std::string& contract, double share) {
  const nlohmann::json intent = {{"contract", contract},
                                 {"service", "llm"},
                                 {"model", "m1"},
                                 {"share", share}};
  return nlohmann::json{{"changes", {{{"upsert_intent", intent}}}}}.dump();
}

}  // namespace lynxglade::version

#endif  // LYNXGLADE_TESTS_VERSION_INSTANCE_H_
