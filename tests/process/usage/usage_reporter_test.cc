#include "process/usage/usage_reporter.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "process/store/fake_store_port.h"

namespace lynxglade::process::usage {
namespace {

using duties::CallResult;
using duties::Credentials;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace asio = connection::event::asio;

constexpr char kHolderKey[] = "lynxglade/orders/holder";
constexpr std::int64_t kWindowMs = 5'000;
// A multiple of the length of a window.
constexpr std::int64_t kEpochMs = 1'700'000'000'000;

// Instances, a store and a platform on one loop, with a clock that a test
// advances.
class Fleet {
 public:
  struct Instance {
    Instance(Fleet& fleet, const std::string& name)
        : presence(fleet.loop_,
                   fleet.store_,
                   {.instance = base::InstanceId(name),
                    .renew_interval = milliseconds(1),
                    .retry_interval = milliseconds(1)},
                   fleet.clock_),
          holder(fleet.loop_,
                 fleet.store_,
                 presence,
                 {.max_acquire_delay = base::Duration(0)},
                 fleet.clock_,
                 base::SeededRandom(std::hash<std::string>()(name))),
          fleet_clock(fleet.clock_, [&fleet] { return fleet.Wall(); }),
          reporter(
              fleet.loop_,
              holder,
              fleet.store_,
              table,
              fleet_clock,
              [&fleet](base::Time) { return fleet.missing_part_; },
              [&fleet](const UsageReport& report, const Credentials& by) {
                return fleet.Receive(report, by);
              },
              {.instance = base::InstanceId(name)},
              fleet.clock_,
              fleet.metrics_) {}

    void Count(WindowId window, int n = 1) {
      for (int i = 0; i < n; ++i) {
        table.Count(OriginId(presence.instance().str()), window,
                    base::OrganisationId("a"));
      }
    }

    peers::InstancePresence presence;
    duties::DutyHolder holder;
    UsageTable table;
    FleetClock fleet_clock;
    UsageReporter reporter;
  };

  explicit Fleet(int instances) {
    for (int i = 0; i < instances; ++i) {
      instances_.push_back(
          std::make_unique<Instance>(*this, "i" + std::to_string(i)));
      asio::co_spawn(loop_, at(i).presence.Run(), asio::detached);
      store::RunUntil(loop_,
                      [this, i] { return at(i).presence.lease().has_value(); });
      PassListing(at(i));
    }
  }

  Instance& at(std::size_t i) { return *instances_[i]; }
  std::size_t size() const { return instances_.size(); }

  WallMillis Wall() const {
    return WallMillis(kEpochMs + base::ToMillis(now_ - start_));
  }
  WindowId Window() const { return WindowId(Wall().value() / kWindowMs); }

  void PassListing(Instance& instance) {
    std::vector<store::StoreItem> items;
    for (const auto& [key, item] : store_.items()) {
      items.push_back(item);
    }
    instance.holder.OnList(items);
  }
  void Acquire(Instance& instance) {
    RunTask(instance.holder.TryAcquire());
    PassListing(instance);
  }
  void Step(Instance& instance) { RunTask(instance.reporter.Step()); }
  // Steps until nothing changes any more.
  void Settle(Instance& instance) {
    for (int i = 0; i < 6; ++i) {
      Step(instance);
    }
  }

  base::Time start_ = base::Time() + std::chrono::hours(1);
  base::Time now_ = start_;
  store::FakeStorePort& store() { return store_; }
  std::uint64_t LateRequests() {
    return metrics_.GetCounter("lynxglade_usage_late_requests_total").Get();
  }

  // What the platform received, by window.
  std::map<WindowId, std::vector<UsageReport>> received_;
  CallResult result_ = CallResult::kAccepted;
  // A call without an answer may have been received or not.
  bool receives_ = true;
  double missing_part_ = 0;

 private:
  connection::event::Awaitable<CallResult> Receive(const UsageReport& report,
                                                   const Credentials&) {
    if (receives_) {
      received_[report.window].push_back(report);
    }
    co_return result_;
  }

  void RunTask(connection::event::Awaitable<void> task) {
    bool done = false;
    asio::co_spawn(loop_, std::move(task),
                   [&done](std::exception_ptr) { done = true; });
    store::RunUntil(loop_, [&done] { return done; });
  }

  asio::io_context loop_;
  base::Metrics metrics_;
  store::FakeStorePort store_{loop_};
  const base::Clock clock_ = [this] { return now_; };
  std::vector<std::unique_ptr<Instance>> instances_;
};

TEST(UsageReporter, ReportsAWindowOnceAfterItHasEnded) {
  Fleet fleet(1);
  auto& one = fleet.at(0);
  fleet.Acquire(one);
  const WindowId window = fleet.Window();
  one.Count(window, 3);
  fleet.now_ += milliseconds(6'400);
  fleet.Settle(one);
  EXPECT_TRUE(fleet.received_.empty());
  fleet.now_ += milliseconds(100);
  fleet.Settle(one);
  const UsageReport expected{window, {{base::OrganisationId("a"), 3}}};
  EXPECT_EQ(fleet.received_[window], std::vector{expected});
}

TEST(UsageReporter, WithoutTheDutyNothingIsReported) {
  Fleet fleet(2);
  fleet.Acquire(fleet.at(0));
  fleet.at(1).Count(fleet.Window());
  fleet.now_ += seconds(7);
  fleet.Settle(fleet.at(1));
  EXPECT_TRUE(fleet.received_.empty());
}

TEST(UsageReporter, ACallWithoutAnAnswerIsRepeatedAsItWas) {
  Fleet fleet(1);
  auto& one = fleet.at(0);
  fleet.Acquire(one);
  const WindowId window = fleet.Window();
  one.Count(window);
  fleet.now_ += seconds(7);
  fleet.result_ = CallResult::kUnknown;
  fleet.Settle(one);
  // Counts that arrive late are not added to what was sent.
  one.Count(window, 5);
  fleet.result_ = CallResult::kAccepted;
  fleet.now_ += milliseconds(500);
  fleet.Settle(one);
  ASSERT_EQ(fleet.received_[window].size(), 2U);
  EXPECT_EQ(fleet.received_[window][0], fleet.received_[window][1]);
}

TEST(UsageReporter, CountsThatComeTooLateAreCountedAndNotReported) {
  Fleet fleet(1);
  auto& one = fleet.at(0);
  fleet.Acquire(one);
  const WindowId window = fleet.Window();
  one.Count(window, 2);
  one.Count(WindowId(window.value() + 1));
  fleet.now_ += seconds(7);
  fleet.Settle(one);
  one.Count(window, 3);
  fleet.now_ += seconds(5);
  fleet.Settle(one);
  EXPECT_EQ(fleet.received_[window].size(), 1U);
  EXPECT_EQ(fleet.LateRequests(), 3U);
}

TEST(UsageReporter, ANewHolderRepeatsTheRecordedReport) {
  Fleet fleet(2);
  fleet.Acquire(fleet.at(0));
  const WindowId window = fleet.Window();
  fleet.at(0).Count(window, 2);
  fleet.at(1).Count(window, 9);
  fleet.now_ += seconds(7);
  fleet.receives_ = false;
  fleet.result_ = CallResult::kUnknown;
  fleet.Settle(fleet.at(0));
  EXPECT_TRUE(fleet.received_.empty());
  fleet.receives_ = true;
  fleet.result_ = CallResult::kAccepted;
  fleet.store().Remove(kHolderKey);
  fleet.PassListing(fleet.at(1));
  fleet.Acquire(fleet.at(1));
  fleet.now_ += milliseconds(4'500);
  fleet.Settle(fleet.at(1));
  const UsageReport expected{window, {{base::OrganisationId("a"), 2}}};
  EXPECT_EQ(fleet.received_[window], std::vector{expected});
}

// The instance may be the only one that cannot reach the platform.
TEST(UsageReporter, GivesTheDutyUpAfterCallsHaveFailedForLong) {
  Fleet fleet(1);
  auto& one = fleet.at(0);
  fleet.Acquire(one);
  one.Count(fleet.Window());
  one.Count(WindowId(fleet.Window().value() + 1));
  fleet.result_ = CallResult::kUnknown;
  fleet.now_ += seconds(7);
  for (int i = 0; i < 16; ++i) {
    fleet.Step(one);
    EXPECT_TRUE(fleet.store().items().contains(kHolderKey) || i > 10) << i;
    fleet.now_ += milliseconds(500);
  }
  EXPECT_FALSE(fleet.store().items().contains(kHolderKey));
}

TEST(UsageReporter, RejectsTextThatIsNoReport) {
  EXPECT_FALSE(DecodeReport(""));
  EXPECT_FALSE(DecodeReport(R"({"window":1})"));
  EXPECT_FALSE(DecodeReport(R"({"window":1,"counts":{"a":-1}})"));
  const UsageReport report{WindowId(7), {{base::OrganisationId("a"), 3}}};
  EXPECT_EQ(DecodeReport(EncodeReport(report)), report);
}

// Holders change at any moment, answers of the store and of the platform are
// lost, and every instance has counted something else: whatever the platform
// receives of one window is the same report.
RC_GTEST_PROP(UsageReporter, AWindowIsNeverReportedWithTwoCounts, ()) {
  // Not drawn by the property itself, whose numbers grow with the test case.
  const base::RandomSource random = base::SeededRandom(
      *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()));
  const auto draw = [&random](std::size_t n) {
    return static_cast<std::size_t>(base::UniformReal(random) *
                                    static_cast<double>(n));
  };
  Fleet fleet(3);
  for (int i = 0; i < 200; ++i) {
    auto& instance = fleet.at(draw(fleet.size()));
    switch (draw(9)) {
      case 0:
        fleet.now_ += milliseconds(draw(2'000));
        break;
      case 1:
        fleet.now_ += milliseconds(draw(300));
        break;
      case 2:
        fleet.PassListing(instance);
        fleet.Acquire(instance);
        break;
      case 3:
        // Another instance takes over, as soon as it may.
        fleet.store().Remove(kHolderKey);
        fleet.PassListing(instance);
        fleet.Acquire(instance);
        fleet.now_ += milliseconds(4'500);
        break;
      case 4:
        fleet.store().LoseNextResponse();
        break;
      case 5: {
        constexpr std::array kResults{
            CallResult::kAccepted, CallResult::kAccepted, CallResult::kUnknown,
            CallResult::kThrottled};
        fleet.result_ = kResults[draw(kResults.size())];
        fleet.receives_ =
            fleet.result_ == CallResult::kAccepted ||
            (fleet.result_ == CallResult::kUnknown && draw(2) == 0);
        break;
      }
      case 6:
        // Everybody knows something else of the window.
        for (std::size_t other = 0; other < fleet.size(); ++other) {
          fleet.at(other).Count(fleet.Window(), static_cast<int>(draw(4)));
        }
        break;
      default:
        fleet.Settle(instance);
    }
  }
  for (const auto& [window, reports] : fleet.received_) {
    RC_ASSERT(std::ranges::all_of(
        reports, [&](const UsageReport& it) { return it == reports[0]; }));
  }
}

}  // namespace
}  // namespace lynxglade::process::usage
