#include "process/target_registry.h"

#include <string>

#include <gtest/gtest.h>

namespace lynxglade::process {
namespace {

using request::TargetState;

connection::InstanceTable OneEngine(bool leaving) {
  connection::InstanceTable list;
  connection::TargetRow row;
  row.id = base::TargetId("e1");
  row.service = base::ServiceName("llm");
  row.zone = base::ZoneId("z1");
  row.leaving = leaving;
  list.engines = {row};
  return list;
}

connection::LoadReport Report(const std::string& incarnation,
                              std::uint64_t sequence) {
  connection::LoadReport report;
  report.target = base::TargetId("e1");
  report.incarnation = incarnation;
  report.sequence = sequence;
  report.model = base::ModelName("m1");
  return report;
}

ViewItem View(std::uint64_t sequence, const std::string& state) {
  ViewItem item;
  item.kind = ViewKind::kTarget;
  item.key = "e1";
  item.version = {1, sequence};
  item.body = "{\"state\":\"" + state + "\"}";
  return item;
}

class TargetRegistryTest : public ::testing::Test {
 protected:
  TargetRegistryTest() {
    registry_.SetRows(OneEngine(false));
    registry_.OnLoad(Report("a", 1));
  }

  TargetState State() const {
    return registry_.Index()->table().targets.at(0).state;
  }

  TargetRegistry registry_;
};

TEST_F(TargetRegistryTest, EngineIsRoutedOnceItsModelIsKnown) {
  TargetRegistry fresh;
  fresh.SetRows(OneEngine(false));
  EXPECT_TRUE(fresh.Index()->table().targets.empty());
  fresh.OnLoad(Report("a", 1));
  EXPECT_EQ(fresh.Index()->table().targets.size(), 1u);
}

TEST_F(TargetRegistryTest, LeavingInTheListTakesEffectAtOnce) {
  registry_.SetRows(OneEngine(true));
  EXPECT_EQ(State(), TargetState::kLeaving);
  registry_.OnLoad(Report("a", 2));
  EXPECT_EQ(State(), TargetState::kLeaving);
}

TEST_F(TargetRegistryTest, IgnoresOlderAndMalformedViews) {
  registry_.OnTargetView(View(5, "draining"));
  EXPECT_EQ(State(), TargetState::kDraining);
  registry_.OnTargetView(View(4, "serving"));
  EXPECT_EQ(State(), TargetState::kDraining);
  registry_.OnTargetView(View(6, "nonsense"));
  EXPECT_EQ(State(), TargetState::kDraining);
  registry_.OnTargetView(View(6, "serving"));
  EXPECT_EQ(State(), TargetState::kServing);
}

TEST_F(TargetRegistryTest, RefusalAsDrainingHoldsUntilANewerReport) {
  registry_.OnTargetRefusal(base::TargetId("e1"), TargetState::kDraining);
  EXPECT_EQ(State(), TargetState::kDraining);
  registry_.OnLoad(Report("a", 1));
  EXPECT_EQ(State(), TargetState::kDraining);
  registry_.OnLoad(Report("a", 2));
  EXPECT_EQ(State(), TargetState::kServing);
}

TEST_F(TargetRegistryTest, IgnoresOlderReportsAndDetectsRestart) {
  EXPECT_FALSE(registry_.OnLoad(Report("a", 1)));
  EXPECT_FALSE(registry_.OnLoad(Report("a", 2)));
  EXPECT_TRUE(registry_.OnLoad(Report("b", 1)));
  EXPECT_FALSE(registry_.OnLoad(Report("b", 2)));
}

TEST_F(TargetRegistryTest, RemovesTargetThatIsNoLongerListed) {
  registry_.SetRows({});
  EXPECT_TRUE(registry_.Index()->table().targets.empty());
  EXPECT_FALSE(registry_.OnLoad(Report("a", 3)));
}

}  // namespace
}  // namespace lynxglade::process
