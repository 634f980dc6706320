#include "process/role_planning.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace lynxglade::process {
namespace {

using request::EngineRole;
using request::Target;
using request::TargetState;
using std::chrono::seconds;

const base::ServiceName kService("llm");
constexpr int kEnginesPerZone = 6;
constexpr base::Duration kChangeTime = seconds(8);

// Two zones, each with its own planning, over one fleet that applies the roles
// from the instances marked as holder.
class TwoZones {
 public:
  TwoZones() {
    version::Configuration configuration;
    version::ServiceSpec spec;
    spec.name = kService;
    spec.planner_enabled = true;
    spec.role_change_price = 0;
    configuration.services[kService] = spec;
    configuration_ =
        std::make_shared<const version::Configuration>(configuration);
    for (const char* zone : {"a", "b"}) {
      for (int i = 0; i < kEnginesPerZone; ++i) {
        Target target;
        target.id = base::TargetId(zone + std::to_string(i));
        target.service = kService;
        target.zone = base::ZoneId(zone);
        target.role = i < 4 ? EngineRole::kPrefill : EngineRole::kDecode;
        target.load.prefill_tokens_per_s = 3000;
        target.load.decode_tokens_per_s = 1500;
        targets_.push_back(std::move(target));
      }
      planning_[zone] = Make(zone);
    }
  }

  // One second in which each instance is offered half of the tokens.
  void Second(double prefill, double decode) {
    now_ += seconds(1);
    wall_ms_ += 1000;
    offered_.prefill += base::Tokens(std::llround(prefill / 2));
    offered_.decode += base::Tokens(std::llround(decode / 2));
    offered_.worth += base::Worth(5);
    for (const auto& [zone, planning] : planning_) {
      planning->Tick();
      if (is_holder[zone]) {
        ApplyRoles(zone, planning->RequestedRoles());
      }
    }
    EndChanges();
    const auto out =
        std::ranges::count(targets_, TargetState::kChanging, &Target::state);
    most_out = std::max(most_out, static_cast<int>(out));
  }

  int Changed(const std::string& zone) const { return changed_.at(zone); }

  std::map<std::string, bool> is_holder = {{"a", true}, {"b", true}};
  int most_out = 0;

  RolePlanning& planning(const std::string& zone) {
    return *planning_.at(zone);
  }

 private:
  std::unique_ptr<RolePlanning> Make(const std::string& zone) {
    RolePlanningOptions options;
    options.zone = base::ZoneId(zone);
    RolePlanningHooks hooks;
    hooks.clock = [this] { return now_; };
    hooks.wall_millis = [this] { return wall_ms_; };
    hooks.offered = [this] {
      return std::map<base::ServiceName, OfferedTotals>{{kService, offered_}};
    };
    hooks.entry_instances = [] { return std::size_t{2}; };
    hooks.targets = [this] { return targets_; };
    hooks.configuration = [this] { return configuration_; };
    return std::make_unique<RolePlanning>(options, hooks);
  }

  void ApplyRoles(const std::string& zone,
                  const std::map<base::TargetId, EngineRole>& requested_roles) {
    for (Target& it : targets_) {
      const auto requested = requested_roles.find(it.id);
      if (requested == requested_roles.end()) {
        continue;
      }
      // The holder of a zone sends orders only to engines of its zone.
      EXPECT_EQ(it.zone.str(), zone);
      if (it.state == TargetState::kServing && it.role != requested->second) {
        it.state = TargetState::kChanging;
        changing_[it.id] = {requested->second, now_ + kChangeTime};
        ++changed_[zone];
      }
    }
  }

  void EndChanges() {
    for (Target& it : targets_) {
      const auto change = changing_.find(it.id);
      if (change != changing_.end() && now_ >= change->second.second) {
        it.role = change->second.first;
        it.state = TargetState::kServing;
        changing_.erase(change);
      }
    }
  }

  base::Time now_{};
  std::int64_t wall_ms_ = 1'000'000;
  OfferedTotals offered_;
  std::shared_ptr<const version::Configuration> configuration_;
  std::vector<Target> targets_;
  std::map<base::TargetId, std::pair<EngineRole, base::Time>> changing_;
  std::map<std::string, std::unique_ptr<RolePlanning>> planning_;
  std::map<std::string, int> changed_ = {{"a", 0}, {"b", 0}};
};

// A mix that needs far more decode than the initial split provides.
constexpr double kPrefill = 5000;
constexpr double kDecode = 13000;

TEST(RolePlanningTest, ZonesTakeTurnsAndChangeOneEngineAtATime) {
  TwoZones zones;
  for (int i = 0; i < 300; ++i) {
    zones.Second(kPrefill, kDecode);
  }
  EXPECT_GE(zones.Changed("a"), 1);
  EXPECT_GE(zones.Changed("b"), 1);
  EXPECT_EQ(zones.most_out, 1);
}

TEST(RolePlanningTest, OnlyTheHolderRequestsRoles) {
  TwoZones zones;
  zones.is_holder["b"] = false;
  for (int i = 0; i < 200; ++i) {
    zones.Second(kPrefill, kDecode);
  }
  EXPECT_GE(zones.Changed("a"), 1);
  EXPECT_EQ(zones.Changed("b"), 0);
  // Requested roles must not be left over from before its first call.
  EXPECT_TRUE(zones.planning("b").RequestedRoles().empty());
  const std::string status = zones.planning("b").StatusJson();
  EXPECT_NE(status.find("\"prefill_tokens_per_s\":5"), std::string::npos)
      << status;
}

TEST(RolePlanningTest, RequestsNoChangeWhenTheSplitFits) {
  TwoZones zones;
  for (int i = 0; i < 300; ++i) {
    zones.Second(18000, 4500);
  }
  EXPECT_EQ(zones.Changed("a") + zones.Changed("b"), 0);
}

}  // namespace
}  // namespace lynxglade::process
