// Tests of plans, share arithmetic and operator permissions.
#include "version/plan.h"

#include <algorithm>
#include <map>
#include <memory>
#include <numeric>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <nlohmann/json.hpp>

#include "version/instance.h"
#include "version/sample.h"

namespace lynxglade::version {
namespace {

using nlohmann::json;

// Guards against wrong confirmation results and divergent histories when
// operators create and confirm plans on several instances while requests and
// responses of the key-value service are lost.
RC_GTEST_PROP(PlanServiceTest,
              ConcurrentOperatorsWithLostResponsesKeepOneHistory,
              ()) {
  Instances fixture;
  fixture.Put(0, Basics());
  std::vector<base::PlanId> plans;
  // Revision at which a plan took effect, as reported by Confirm().
  std::map<base::PlanId, base::Revision> reported;
  std::map<std::size_t, base::Revision> last;
  const StoreError none = StoreError::kNone;

  const auto clear_faults = [&] {
    fixture.kv.ApplyFaults({{"lose_answer", 0},
                            {"lose_request", 0},
                            {"unreachable", 0},
                            {"unavailable", 0}});
  };
  const auto in_force = [&](const base::PlanId& id) {
    StoreError ec = none;
    Instance observer(fixture.kv, 99, kSmall);
    const auto head = observer.store.ReadHead(&ec);
    const auto audits =
        observer.store.ReadAudits(base::Revision(0), head->head.revision, &ec);
    return std::ranges::count_if(*audits, [&](const std::string& it) {
      return json::parse(it).at("plan") == id.str();
    });
  };

  for (int step = *rc::gen::inRange(1, 40); step > 0; --step) {
    const auto n = *rc::gen::inRange<std::size_t>(0, 3);
    const int fault_kind = *rc::gen::inRange(0, 8);
    const int fault_count = *rc::gen::inRange(1, 4);
    const char* const kinds[] = {"lose_answer", "lose_request", "unreachable",
                                 "unavailable"};
    const auto inject_faults = [&] {
      if (fault_kind < 4) {
        fixture.kv.ApplyFaults({{kinds[fault_kind], fault_count}});
      }
    };
    if (plans.empty() || *rc::gen::inRange(0, 2) == 0) {
      CodecFault violation;
      const auto request = ParseChangeRequest(
          ShareOf("parish", *rc::gen::inRange(1, 500) / 1000.0), &violation);
      PlanFault fault;
      inject_faults();
      if (const auto plan =
              fixture.at(n).plans.Create(*request, kFleetCaller, &fault)) {
        plans.push_back(plan->id);
      }
      clear_faults();
    } else {
      const base::PlanId id = *rc::gen::elementOf(plans);
      const auto before = in_force(id);
      // Another operator confirms another plan between two calls of this one,
      const base::PlanId concurrent_plan = *rc::gen::elementOf(plans);
      // or the service becomes unreachable after it lost a response.
      const bool becomes_unreachable = fault_kind == 0;
      int calls = *rc::gen::inRange(0, 6);
      fixture.at(n).before_call = [&] {
        if (calls-- != 0) {
          return;
        }
        if (becomes_unreachable) {
          fixture.kv.ApplyFaults({{"unreachable", -1}});
        } else if (concurrent_plan != id) {
          fixture.at((n + 1) % 3).plans.Confirm(concurrent_plan, kFleetCaller);
        }
      };
      inject_faults();
      const ConfirmResult result =
          fixture.at(n).plans.Confirm(id, kFleetCaller);
      fixture.at(n).before_call = nullptr;
      clear_faults();
      switch (result.outcome) {
        case ConfirmOutcome::kInForce:
          RC_ASSERT(!reported.contains(id));
          [[fallthrough]];
        case ConfirmOutcome::kAlreadyInForce:
          RC_ASSERT(in_force(id) == 1);
          reported[id] = result.revision;
          break;
        case ConfirmOutcome::kConflict:
          RC_ASSERT(in_force(id) == 0);
          break;
        case ConfirmOutcome::kUnavailable:
          RC_ASSERT(in_force(id) == before);
          break;
        default:
          RC_ASSERT(result.outcome == ConfirmOutcome::kUnknown);
      }
    }
    const base::Revision held = fixture.at(n).tracker.Get()->revision;
    RC_ASSERT(held >= last[n]);
    last[n] = held;
  }

  clear_faults();
  // All instances, including a new one, converge on one configuration.
  Instance fresh(fixture.kv, 100, kSmall);
  RC_ASSERT(fresh.Refresh());
  for (auto& it : fixture.instances) {
    RC_ASSERT(it->Refresh());
    RC_ASSERT(it->tracker.GetSnapshot().digest ==
              fresh.tracker.GetSnapshot().digest);
    RC_ASSERT(*it->tracker.Get() == *fresh.tracker.Get());
    RC_ASSERT(!it->tracker.forked());
    RC_ASSERT(!it->tracker.service_is_behind());
  }
  // Each revision has one audit record, each with a different plan.
  StoreError ec = none;
  const base::Revision head = fresh.tracker.Get()->revision;
  const auto audits = fresh.store.ReadAudits(base::Revision(0), head, &ec);
  RC_ASSERT(audits.has_value());
  std::set<std::string> seen;
  std::int64_t revision = 0;
  for (const std::string& it : *audits) {
    const json audit = json::parse(it);
    RC_ASSERT(audit.at("revision") == ++revision);
    RC_ASSERT(seen.insert(audit.at("plan")).second);
  }
  RC_ASSERT(revision == head.value());
  for (const auto& [id, at] : reported) {
    RC_ASSERT(json::parse((*audits)[static_cast<std::size_t>(at.value() - 1)])
                  .at("plan") == id.str());
  }
}

TEST(PlanServiceTest, ConflictReportsChangesSinceBase) {
  Instances fixture;
  fixture.Put(0, Basics());
  CodecFault violation;
  PlanFault fault;
  const auto first = fixture.at(1).plans.Create(
      *ParseChangeRequest(ShareOf("parish", 0.1), &violation), kFleetCaller,
      &fault);
  const auto second = fixture.at(2).plans.Create(
      *ParseChangeRequest(ShareOf("parish", 0.2), &violation), kFleetCaller,
      &fault);
  ASSERT_TRUE(first && second);
  EXPECT_EQ(fixture.at(0).plans.Confirm(second->id, kFleetCaller).outcome,
            ConfirmOutcome::kInForce);
  const auto conflict = fixture.at(1).plans.Confirm(first->id, kFleetCaller);
  EXPECT_EQ(conflict.outcome, ConfirmOutcome::kConflict);
  ASSERT_EQ(conflict.since.size(), 1u);
  EXPECT_EQ(json::parse(conflict.since[0]).at("plan"), second->id.str());
  EXPECT_EQ(fixture.at(2).plans.Confirm(second->id, kFleetCaller).outcome,
            ConfirmOutcome::kAlreadyInForce);
}

TEST(PlanServiceTest, ModifiedPlanIsUnknown) {
  Instances fixture;
  fixture.Put(0, Basics());
  CodecFault violation;
  PlanFault fault;
  const auto plan = fixture.at(0).plans.Create(
      *ParseChangeRequest(ShareOf("parish", 0.1), &violation), kFleetCaller,
      &fault);
  std::string altered = plan->text;
  altered.replace(altered.find("0.1"), 3, "0.4");
  connection::KvError ec = connection::KvError::kNone;
  fixture.at(0).client.Commit(
      {}, {{"/lynxglade/plans/" + plan->id.str(), altered, {}}}, &ec);
  EXPECT_EQ(fixture.at(1).plans.Confirm(plan->id, kFleetCaller).outcome,
            ConfirmOutcome::kUnknownPlan);
}

TEST(PlanServiceTest, OverCommitmentIsRejectedAtPlanTime) {
  Instances fixture;
  fixture.Put(0, Basics());
  CodecFault violation;
  PlanFault fault;
  EXPECT_FALSE(fixture.at(0).plans.Create(
      *ParseChangeRequest(ShareOf("parish", 0.6), &violation), kFleetCaller,
      &fault));
  EXPECT_EQ(fault.error, PlanError::kOverCommitted);
}

TEST(PlanServiceTest, StoreThatLostChangesIsDetectedAndRestored) {
  Instances fixture;
  fixture.Put(0, Basics());
  fixture.kv.ApplyFaults({{"save_copy", true}});
  fixture.Put(0, ShareOf("parish", 0.1));
  fixture.Put(1, ShareOf("parish", 0.2));
  CodecFault violation;
  PlanFault fault;
  const auto plan = fixture.at(1).plans.Create(
      *ParseChangeRequest(ShareOf("parish", 0.3), &violation), kFleetCaller,
      &fault);
  ASSERT_TRUE(plan);
  fixture.kv.ApplyFaults({{"load_copy", true}});

  Instance& holder = fixture.at(1);
  const std::string digest = holder.tracker.GetSnapshot().digest;
  EXPECT_TRUE(holder.Refresh());
  EXPECT_TRUE(holder.tracker.service_is_behind());
  EXPECT_EQ(holder.tracker.GetSnapshot().digest, digest);
  EXPECT_FALSE(holder.plans.Create(
      *ParseChangeRequest(ShareOf("parish", 0.4), &violation), kFleetCaller,
      &fault));
  EXPECT_EQ(fault.error, PlanError::kNotReady);
  // An instance with an older configuration must not restore it.
  fixture.at(0).tracker.OfferHead(
      {holder.tracker.Get()->revision, digest, {}, 0, ""}, ConfigSource::kPeer);
  EXPECT_EQ(fixture.at(0).plans.Restore(kFleetCaller).outcome,
            ConfirmOutcome::kConflict);

  EXPECT_EQ(holder.plans.Restore(kFleetCaller).outcome,
            ConfirmOutcome::kInForce);
  EXPECT_FALSE(holder.tracker.service_is_behind());
  EXPECT_EQ(fixture.Put(0, ShareOf("parish", 0.25)), base::Revision(4));
  Instance fresh(fixture.kv, 100, kSmall);
  EXPECT_TRUE(fresh.Refresh());
  EXPECT_EQ(fresh.tracker.GetSnapshot().digest,
            fixture.at(0).tracker.GetSnapshot().digest);
}

TEST(PlanServiceTest, RollbackCreatesNewRevisionWithoutRevokedKeys) {
  Instances fixture;
  fixture.Put(0, Basics());
  const std::string hash = Sha256Hex("withdrawn");
  fixture.Put(0, R"({"changes":[{"upsert_contract":{"id":"parish",
      "display_name":"old","key_hashes":[")" +
                     hash + R"("]}}]})");
  fixture.Put(1, R"({"changes":[{"upsert_contract":{"id":"parish",
      "display_name":"new"}}]})");
  EXPECT_EQ(fixture.Put(2, R"({"rollback_to":2,"note":"too early"})"),
            base::Revision(4));
  const Contract& parish =
      fixture.at(2).tracker.Get()->contracts.at(base::ContractId("parish"));
  EXPECT_EQ(parish.display_name, "old");
  EXPECT_TRUE(parish.key_hashes.empty());
  PlanFault fault;
  EXPECT_FALSE(fixture.at(2).plans.ConfigurationAt(base::Revision(9), &fault));
  EXPECT_EQ(fault.error, PlanError::kNoSuchRevision);
}

RC_GTEST_PROP(ShareArithmeticTest, AllocationIsWithinOneSeatOfQuota, ()) {
  const auto parts = *rc::gen::container<std::vector<int>>(
      *rc::gen::inRange<std::size_t>(1, 20), rc::gen::inRange(0, 1000));
  const int sum = std::accumulate(parts.begin(), parts.end(), 0);
  RC_PRE(sum > 0);
  const int seats = *rc::gen::inRange(0, 500);
  std::vector<double> shares;
  for (const int it : parts) {
    shares.push_back(static_cast<double>(it) / sum);
  }
  const std::vector<int> allocated = AllocateByLargestRemainder(shares, seats);
  RC_ASSERT(std::accumulate(allocated.begin(), allocated.end(), 0) == seats);
  for (std::size_t i = 0; i < shares.size(); ++i) {
    RC_ASSERT(std::abs(allocated[i] - shares[i] * seats) < 1.0 + 1e-6);
  }
}

TEST(ShareArithmeticTest, OnlyEnginesWithAnotherModelAreReloaded) {
  Configuration configuration = SampleConfiguration();
  configuration.contracts[base::ContractId("parish")].intents = {
      SampleIntent(0.5, "m2")};
  std::vector<TargetFact> targets;
  for (int i = 0; i < 10; ++i) {
    targets.push_back(
        {base::TargetId("e" + std::to_string(i)), base::ServiceName("llm"),
         base::ModelName(i < 7 ? "m1" : "m2"), base::ModelVersion("v1")});
  }
  const ServiceShares shares =
      ComputeShares(configuration, base::ServiceName("llm"), 10);
  EXPECT_EQ(shares.free_engines, 0);
  const auto reloads = ComputeEngineReloads(shares, targets);
  ASSERT_EQ(reloads.size(), 2u);
  EXPECT_EQ(reloads[0].current.model, base::ModelName("m1"));
  EXPECT_EQ(reloads[0].model, base::ModelName("m2"));
}

TEST(OperatorAccessTest, RoleLimitsPermittedChanges) {
  Configuration configuration = SampleConfiguration();
  const base::ContractId archive("archive");
  const Caller own{base::OperatorId("o"), OperatorRole::kContract, {archive}};
  const Caller reader{base::OperatorId("r"), OperatorRole::kReadOnly, {}};
  const auto allowed = [&](const Caller& caller, auto edit) {
    Configuration next = configuration;
    edit(next);
    std::string reason;
    return MayChange(caller, MakeDelta(configuration, next), &reason);
  };
  const auto name = [&](Configuration& it) {
    it.contracts[archive].display_name = "x";
  };
  const auto lower = [&](Configuration& it) {
    it.contracts[archive].intents[0].share = 0.4;
  };
  const auto raise = [&](Configuration& it) {
    it.contracts[archive].intents[0].share = 0.6;
  };
  const auto urgent = [&](Configuration& it) {
    it.contracts[archive].intents[0].priority = 0;
  };
  const auto other = [&](Configuration& it) {
    it.contracts[base::ContractId("parish")].display_name = "x";
  };
  const auto remove = [&](Configuration& it) { it.contracts.erase(archive); };
  const auto price = [&](Configuration& it) {
    it.services.begin()->second.role_change_price = 9;
  };
  EXPECT_TRUE(allowed(own, name));
  EXPECT_TRUE(allowed(own, lower));
  EXPECT_FALSE(allowed(own, raise));
  EXPECT_FALSE(allowed(own, urgent));
  EXPECT_FALSE(allowed(own, other));
  EXPECT_FALSE(allowed(own, remove));
  EXPECT_FALSE(allowed(own, price));
  EXPECT_FALSE(allowed(reader, name));
  EXPECT_TRUE(allowed(kFleetCaller, raise));
}

TEST(OperatorAccessTest, BootstrapKeyIsRejectedOnceAFleetOperatorExists) {
  auto configuration = std::make_shared<Configuration>();
  const OperatorAccess access([&] { return configuration; }, "first");
  EXPECT_TRUE(access.Authenticate("first")->is_fleet());
  EXPECT_FALSE(access.Authenticate(""));
  EXPECT_FALSE(access.Authenticate("other"));
  const base::OperatorId ana("ana");
  configuration->operators[ana] = {
      ana, OperatorRole::kFleet, {}, {Sha256Hex("hers")}};
  EXPECT_FALSE(access.Authenticate("first"));
  EXPECT_EQ(access.Authenticate("hers")->id, ana);
}

}  // namespace
}  // namespace lynxglade::version
