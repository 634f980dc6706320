#include "process/stages/stage_orders.h"

#include <map>
#include <string>

#include <gtest/gtest.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "process/store/fake_store_port.h"

namespace lynxglade::process::stages {
namespace {

using connection::event::Awaitable;
using request::passthrough::EngineEntry;
using request::passthrough::EngineHandle;
using request::passthrough::EngineStage;
using request::passthrough::EngineTable;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace asio = connection::event::asio;

const base::ServiceName kService("llm");

// Six decode engines and one instance that can hold the authority.
class StageOrdersTest : public testing::Test {
 protected:
  StageOrdersTest()
      : store_(loop_),
        presence_(loop_, store_, {.instance = base::InstanceId("me")}, clock_),
        authority_(loop_,
                   store_,
                   presence_,
                   {.takeover_delay = base::Duration(0),
                    .max_acquire_delay = base::Duration(0)},
                   clock_,
                   base::SeededRandom(1)),
        orders_(
            loop_,
            table_,
            authority_,
            {.report = [this](EngineHandle it)
                 -> Awaitable<std::optional<EngineReport>> {
               co_return reports_[it->entry.id.str()];
             },
             .order = [this](EngineHandle it,
                             StageOrder order) -> Awaitable<OrderResult> {
               sent_.push_back({it->entry.id.str(), order});
               before_result_(it);
               if (result_ == OrderResult::kAccepted) {
                 EngineReport& report = reports_[it->entry.id.str()];
                 report.stage = order.stage;
                 ++report.accepted_orders;
                 EngineEntry entry = it->entry;
                 entry.stage = order.stage;
                 table_.Put(entry, now_);
               }
               co_return result_;
             },
             .cut_off = [this](const base::ServiceName&) { return cut_off_; }},
            {.instance = base::InstanceId("me"), .period = milliseconds(1)},
            [] { return std::vector<base::ServiceName>{kService}; },
            [this] { return idle_; },
            [this](const base::ServiceName&) { return backlog_; },
            [](const base::ServiceName&) { return 1.0; },
            /*capacity=*/{},
            clock_,
            metrics_) {
    asio::co_spawn(loop_, presence_.Run(), asio::detached);
    store::RunUntil(loop_, [this] { return presence_.lease().has_value(); });
    authority_.OnList({});
    for (int i = 0; i < 6; ++i) {
      EngineEntry entry;
      entry.id = base::TargetId("e" + std::to_string(i));
      entry.service = kService;
      entry.zone = base::ZoneId("a");
      table_.Put(entry, now_);
      reports_[entry.id.str()] = EngineReport{};
    }
  }

  void Start() {
    asio::co_spawn(loop_, authority_.Run(), asio::detached);
    asio::co_spawn(loop_, orders_.Run(), asio::detached);
    store::RunUntil(loop_, [this] { return !store_.items().empty(); });
    PassHolder();
  }
  void PassHolder() {
    store::RunUntil(loop_, [this] {
      return store_.items().contains("lynxglade/orders/holder");
    });
    authority_.OnList({store_.items().at("lynxglade/orders/holder")});
  }
  void RunPeriods(int n) {
    for (int i = 0; i < n; ++i) {
      asio::steady_timer timer(loop_, milliseconds(2));
      bool fired = false;
      timer.async_wait([&fired](const auto&) { fired = true; });
      store::RunUntil(loop_, [&fired] { return fired; });
    }
  }

  base::Time now_ = base::Time() + std::chrono::hours(1);
  bool cut_off_ = false;
  const base::Clock clock_ = [this] { return now_; };
  asio::io_context loop_;
  base::Metrics metrics_;
  store::FakeStorePort store_;
  EngineTable table_{base::Duration(0)};
  peers::InstancePresence presence_;
  duties::DutyHolder authority_;
  std::map<std::string, EngineReport> reports_;
  std::vector<std::pair<std::string, StageOrder>> sent_;
  OrderResult result_ = OrderResult::kAccepted;
  // Runs while an order is in flight.
  std::function<void(const EngineHandle&)> before_result_ =
      [](const EngineHandle&) {};
  bool idle_ = true;
  // All engines start in decode, so prompts are backlogged.
  base::Duration backlog_ = seconds(1);
  StageOrders orders_;
};

TEST_F(StageOrdersTest, BringsAnIdleServiceToItsSplit) {
  Start();
  store::RunUntil(loop_, [this] { return sent_.size() == 4; });
  RunPeriods(5);
  EXPECT_EQ(sent_.size(), 4U);
  EXPECT_EQ(sent_[0].second.holder, "me");
  EXPECT_GT(sent_[0].second.token.value(), 0);
}

TEST_F(StageOrdersTest, UnderLoadTheNextOrderWaitsForTheSettleTime) {
  idle_ = false;
  Start();
  RunPeriods(2);
  // The demand estimate needs its averaging time.
  now_ += seconds(2);
  store::RunUntil(loop_, [this] { return sent_.size() == 1; });
  RunPeriods(5);
  EXPECT_EQ(sent_.size(), 1U);
  now_ += seconds(6);
  store::RunUntil(loop_, [this] { return sent_.size() == 2; });
}

// An engine may carry out an order twelve seconds late, after newer ones: the
// order carries the count of accepted orders, and its repeat is delayed.
TEST_F(StageOrdersTest, OrderWithoutResponseIsRepeatedOnlyAfterSettleTime) {
  result_ = OrderResult::kUnknown;
  Start();
  store::RunUntil(loop_, [this] { return sent_.size() == 4; });
  now_ += seconds(14);
  RunPeriods(5);
  EXPECT_EQ(sent_.size(), 4U);
  now_ += seconds(1);
  store::RunUntil(loop_, [this] { return sent_.size() == 8; });
  EXPECT_EQ(sent_.back().second.expected_orders, 0);
}

// Another instance has taken the key, and this one has not observed it yet.
TEST_F(StageOrdersTest, SendsNoOrderAfterLosingTheKey) {
  Start();
  store::RunUntil(loop_, [this] { return sent_.size() == 4; });
  store_.Write("lynxglade/orders/holder", "other/1");
  EngineEntry fresh = table_.Find(base::TargetId("e0"))->entry;
  fresh.stage = EngineStage::kPrefill;
  table_.Put(fresh, now_);
  EngineEntry other = table_.Find(base::TargetId("e5"))->entry;
  other.stage = EngineStage::kPrefill;
  table_.Put(other, now_);
  now_ += seconds(60);
  RunPeriods(5);
  EXPECT_EQ(sent_.size(), 4U);
}

// The plan was made from the table entry of the previous process. A restarted
// engine counts orders from zero, so it could accept an order twice.
TEST_F(StageOrdersTest, RestartedEngineGetsNoOrderPlannedBeforeTheRestart) {
  for (auto& [id, report] : reports_) {
    report.start_time = base::StartMillis(5);
  }
  Start();
  RunPeriods(5);
  EXPECT_TRUE(sent_.empty());
}

// The engine's table entry is rewritten for an unknown service while an order
// to it is in flight.
TEST_F(StageOrdersTest, SurvivesAServiceChangeDuringAnOrder) {
  result_ = OrderResult::kConflict;
  before_result_ = [this](const EngineHandle& it) {
    EngineEntry entry = it->entry;
    entry.service = base::ServiceName("unheard-of");
    table_.Put(entry, now_);
  };
  Start();
  store::RunUntil(loop_, [this] { return sent_.size() == 4; });
  RunPeriods(5);
  EXPECT_LE(table_.OfService(kService).size(), 2U);
}

TEST_F(StageOrdersTest, EngineThatIsChangingGetsNoOrder) {
  for (auto& [id, report] : reports_) {
    report.changing = true;
  }
  Start();
  RunPeriods(5);
  EXPECT_TRUE(sent_.empty());
}

// Guards against orders that nobody gives: the holder of the authority is cut
// off from the engines, but not from the store.
TEST_F(StageOrdersTest, InstanceThatIsCutOffHandsTheAuthorityOn) {
  Start();
  EXPECT_TRUE(authority_.HeldToken());
  cut_off_ = true;
  RunPeriods(5);
  EXPECT_TRUE(authority_.HeldToken());
  now_ += seconds(1);
  store::RunUntil(loop_, [this] {
    return !store_.items().contains("lynxglade/orders/holder");
  });
  EXPECT_FALSE(authority_.HeldToken());
  // It does not acquire it again at once.
  RunPeriods(20);
  EXPECT_FALSE(store_.items().contains("lynxglade/orders/holder"));
}

}  // namespace
}  // namespace lynxglade::process::stages
