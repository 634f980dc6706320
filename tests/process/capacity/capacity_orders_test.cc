#include "process/capacity/capacity_orders.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "process/store/fake_store_port.h"

namespace lynxglade::process::capacity {
namespace {

using connection::event::Awaitable;
using duties::CallResult;
using duties::Credentials;
using request::passthrough::EngineEntry;
using request::passthrough::EngineTable;
using request::passthrough::ScalingTerms;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace asio = connection::event::asio;

constexpr char kRecordKey[] = "lynxglade/capacity/orders";
const base::ServiceName kService("llm");
const base::ZoneId kZone("a");

// One instance that holds the duties, a zone with ten regular engines, and a
// platform that records the orders.
class CapacityOrdersTest : public testing::Test {
 protected:
  CapacityOrdersTest()
      : presence_(loop_, store_, {.instance = base::InstanceId("me")}, clock_),
        holder_(loop_,
                store_,
                presence_,
                {.max_acquire_delay = base::Duration(0)},
                clock_,
                base::SeededRandom(1)) {
    MakeOrders();
    asio::co_spawn(loop_, presence_.Run(), asio::detached);
    store::RunUntil(loop_, [this] { return presence_.lease().has_value(); });
    holder_.OnList({});
    for (int i = 0; i < 10; ++i) {
      AddEngine("r" + std::to_string(i), /*spot=*/false);
    }
  }

  void MakeOrders() {
    orders_.emplace(
        loop_, holder_, store_, table_,
        CapacityOrdersHooks{
            .services =
                [this] {
                  return std::map<base::ServiceName, ScalingTerms>{
                      {kService, terms_}};
                },
            .view_age = [this] { return view_age_; },
            .idle = [this] { return idle_; },
            .send = [this](const CapacityOrder& order,
                           const Credentials&) -> Awaitable<CallResult> {
              sent_.emplace_back(order.kind, order.count);
              co_return order.kind == EngineKind::kSpot ? spot_result_
                                                        : CallResult::kAccepted;
            }},
        CapacityOrdersOptions{
            .instance = base::InstanceId("me"),
            .plan = {.regular_share = 0.2, .spot_headroom = 1.5}},
        clock_, metrics_);
  }

  void Acquire() {
    Run(holder_.TryAcquire());
    now_ += milliseconds(4'500);
  }
  void Step() { Run(orders_->Step()); }
  void Run(Awaitable<void> task) {
    bool done = false;
    asio::co_spawn(loop_, std::move(task),
                   [&done](std::exception_ptr) { done = true; });
    store::RunUntil(loop_, [&done] { return done; });
  }
  void AddEngine(const std::string& id, bool spot) {
    EngineEntry entry;
    entry.id = base::TargetId(id);
    entry.service = kService;
    entry.zone = kZone;
    entry.is_spot = spot;
    table_.Put(entry, now_);
  }
  void AddSpotEngines(int n) {
    for (int i = 0; i < n; ++i) {
      AddEngine("s" + std::to_string(i), /*spot=*/true);
    }
  }

  using Sent = std::vector<std::pair<EngineKind, int>>;

  base::Time now_ = base::Time() + std::chrono::hours(1);
  const base::Clock clock_ = [this] { return now_; };
  asio::io_context loop_;
  base::Metrics metrics_;
  store::FakeStorePort store_{loop_};
  EngineTable table_{base::Duration(0)};
  peers::InstancePresence presence_;
  duties::DutyHolder holder_;
  ScalingTerms terms_{.min_engines = 1,
                      .max_engines = 20,
                      .boot_time = seconds(4),
                      .spot_price = 0.2,
                      .zone_prices = {}};
  base::Duration view_age_{};
  bool idle_ = true;
  CallResult spot_result_ = CallResult::kAccepted;
  Sent sent_;
  std::optional<CapacityOrders> orders_;
};

TEST_F(CapacityOrdersTest, OrdersNothingWithoutTheDuty) {
  Step();
  EXPECT_TRUE(sent_.empty());
}

TEST_F(CapacityOrdersTest, ReplacesRegularEnginesBySpotEngines) {
  Acquire();
  Step();
  Step();
  EXPECT_EQ(sent_, (Sent{{EngineKind::kSpot, 10}}));
  AddSpotEngines(10);
  Step();
  EXPECT_EQ(sent_.back(), (std::pair{EngineKind::kRegular, 2}));
}

// A fleet must not shrink because its engines cannot be seen.
TEST_F(CapacityOrdersTest, OrdersNothingWithAnOldViewOfTheEngines) {
  Acquire();
  view_age_ = seconds(6);
  Step();
  EXPECT_TRUE(sent_.empty());
}

TEST_F(CapacityOrdersTest, UnderLoadFewRegularEnginesLeaveAtATime) {
  Acquire();
  idle_ = false;
  Step();
  AddSpotEngines(10);
  Step();
  Step();
  now_ += seconds(3);
  Step();
  EXPECT_EQ(sent_, (Sent{{EngineKind::kSpot, 10},
                         {EngineKind::kRegular, 8},
                         {EngineKind::kSpot, 12},
                         {EngineKind::kRegular, 6}}));
}

// The load pattern: a fleet of thousands would otherwise see thousands of
// engines come and go within seconds.
TEST_F(CapacityOrdersTest, EnginesThatChangeAtATimeDoNotGrowWithTheFleet) {
  for (int i = 10; i < 500; ++i) {
    AddEngine("r" + std::to_string(i), /*spot=*/false);
  }
  terms_.max_engines = 1'000;
  Acquire();
  Step();
  EXPECT_EQ(sent_, (Sent{{EngineKind::kSpot, 60}}));
  AddSpotEngines(60);
  Step();
  Step();
  EXPECT_EQ(sent_, (Sent{{EngineKind::kSpot, 60},
                         {EngineKind::kSpot, 120},
                         {EngineKind::kRegular, 440}}));
}

// The platform has none at the moment.
TEST_F(CapacityOrdersTest, WaitsAfterARejectionAndTriesAgain) {
  Acquire();
  spot_result_ = CallResult::kUnavailable;
  Step();
  Step();
  EXPECT_EQ(sent_.size(), 1U);
  now_ += seconds(2);
  spot_result_ = CallResult::kAccepted;
  Step();
  EXPECT_EQ(sent_.size(), 2U);
}

TEST_F(CapacityOrdersTest, RepeatsAnOrderWhoseEnginesWereReclaimed) {
  Acquire();
  Step();
  now_ += seconds(6);
  Step();
  EXPECT_EQ(sent_.size(), 1U);
  now_ += seconds(1);
  Step();
  EXPECT_EQ(sent_, (Sent{{EngineKind::kSpot, 10}, {EngineKind::kSpot, 10}}));
}

// The next holder must not take what a reclaim has left for the operator's
// number of engines.
TEST_F(CapacityOrdersTest, ANewHolderGoesOnFromTheRecord) {
  Acquire();
  Step();
  AddSpotEngines(10);
  Step();
  ASSERT_TRUE(store_.items().contains(kRecordKey));
  sent_.clear();
  table_.Replace({}, now_);
  AddEngine("r0", /*spot=*/false);
  AddEngine("r1", /*spot=*/false);
  MakeOrders();
  Step();
  ASSERT_FALSE(sent_.empty());
  EXPECT_EQ(sent_.front(), (std::pair{EngineKind::kSpot, 13}));
}

}  // namespace
}  // namespace lynxglade::process::capacity
