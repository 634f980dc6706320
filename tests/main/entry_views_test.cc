// An instance's view of configuration and targets while the store fails,
// compacts its history and ends watches early.
#include "main/entry_views.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "process/store/fake_store_port.h"
#include "process/store/prefix_follower.h"

namespace lynxglade {
namespace {

using process::store::FakeStorePort;
using process::store::PrefixFollower;
using process::store::RunUntil;
using process::store::StoreFault;
using std::chrono::microseconds;
using std::chrono::milliseconds;
namespace asio = connection::event::asio;

// Entries missing after an outage are kept for this long.
constexpr base::Duration kEntryGrace = milliseconds(2000);

std::string Entry(bool draining, int start_time = 0) {
  return std::string(
             R"({"backend":"s","address":"10.0.0.1:80","zone":"a",)"
             R"("version":"v1","slots":6,"coldRemainingMs":0,"sequence":1,)"
             R"("phase":")") +
         (draining ? "draining" : "ready") + R"(","born":)" +
         std::to_string(start_time) + "}";
}

std::string Configuration(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[],"services":[]})";
}

// An instance's views, a store, and a clock advanced by the test.
class Schedule {
 public:
  explicit Schedule(std::uint64_t seed) : random_(base::SeededRandom(seed)) {
    store_.Write("op/config", Configuration(version_));
    asio::co_spawn(loop_, follower_.Run(), asio::detached);
    RunUntil(loop_, [this] { return views_.complete(); });
  }

  void Step() {
    const int target = Draw(6);
    const std::string id = "t" + std::to_string(target);
    switch (Draw(13)) {
      case 0:
      case 1:
        Put(id, false);
        break;
      case 2:
        Put(id, true);
        break;
      case 3:
        store_.Remove("servers/" + id);
        targets_.erase(id);
        break;
      case 4:
        store_.Write("op/config", Configuration(++version_));
        break;
      case 5:
        // An older or malformed configuration must not come into force.
        store_.Write("op/config",
                     Draw(2) == 0 ? Configuration(version_ - 1) : "{");
        store_.Write("op/config", Configuration(version_));
        break;
      case 6:
        store_.Compact();
        break;
      case 7:
        store_.CloseWatches();
        break;
      case 8:
        store_.Fail(Draw(2) == 0 ? StoreFault::kTimeout : StoreFault::kBusy);
        break;
      case 9:
        store_.Fail(std::nullopt);
        break;
      case 10:
        // An invalid entry by another writer replaces a target's entry.
        store_.Write("servers/" + id, Draw(2) == 0 ? "{" : "{\"slots\":1}");
        targets_.erase(id);
        break;
      case 11:
        // The target restarts; its clock may have been set back.
        start_times_[id] = Draw(100);
        Put(id, false);
        break;
      default:
        now_ += milliseconds(Draw(3000));
        views_.engines().Expire(now_);
    }
    // Sometimes several changes happen before the instance handles them.
    if (Draw(3) != 0) {
      RunPending();
    }
    const int in_force = static_cast<int>(views_.routes()->version());
    version_decreased_ = version_decreased_ || in_force < max_version_seen_;
    max_version_seen_ = std::max(max_version_seen_, in_force);
  }

  // Ends the fault, waits out the grace period, and runs until the views match
  // the store.
  void Converge() {
    store_.Fail(std::nullopt);
    now_ += milliseconds(1);
    // Ends a pending watch.
    store_.Write("lynxglade/other", "");
    RunUntil(loop_, [&] { return follower_.Age() < milliseconds(1); });
    now_ += kEntryGrace;
    views_.engines().Expire(now_);
    RunUntil(loop_, [this] { return MatchesStore(); });
  }

  bool version_decreased() const noexcept { return version_decreased_; }

 private:
  void Put(const std::string& id, bool draining) {
    store_.Write("servers/" + id, Entry(draining, start_times_[id]));
    targets_[id] = draining;
  }

  bool MatchesStore() {
    if (views_.engines().size() != targets_.size() ||
        views_.routes()->version() != version_) {
      return false;
    }
    return std::ranges::all_of(targets_, [this](const auto& row) {
      const auto engine = views_.engines().Find(base::TargetId(row.first));
      return engine && engine->entry.draining == row.second &&
             engine->entry.start_time ==
                 base::StartMillis(start_times_.at(row.first));
    });
  }

  // Runs what is due now or becomes due within one retry delay.
  void RunPending() {
    loop_.restart();
    loop_.run_one_for(microseconds(60));
    process::store::RunReady(loop_);
  }

  int Draw(int n) { return static_cast<int>(base::UniformReal(random_) * n); }

  const base::RandomSource random_;
  base::Time now_ = base::Time() + std::chrono::hours(1);
  const base::Clock clock_ = [this] { return now_; };
  asio::io_context loop_;
  base::Metrics metrics_;
  FakeStorePort store_{loop_};
  EntryViews views_{clock_, metrics_};
  PrefixFollower follower_{
      loop_,
      store_,
      {.batch_delay = [] { return base::Duration(microseconds(50)); },
       .min_retry_delay = microseconds(50),
       .max_retry_delay = microseconds(50)},
      process::store::DispatchByPrefix(
          {{"op/config", views_.ConfigurationHooks()},
           {"servers/", views_.TargetHooks()}}),
      clock_,
      base::SeededRandom(1),
      metrics_};
  int version_ = 2;
  int max_version_seen_ = 0;
  bool version_decreased_ = false;
  // Start time that each target reports, by id.
  std::map<std::string, int> start_times_;
  // Whether each target in the store is draining, by id.
  std::map<std::string, bool> targets_;
};

// Guards against DRAIN: a target that left beside a short outage of the store
// got requests for two seconds more, as if its entry had expired in it.
TEST(EntryViews, AShortOutageExpiresNoEntry) {
  base::Time now = base::Time() + std::chrono::hours(1);
  base::Metrics metrics;
  EntryViews views([&now] { return now; }, metrics);
  const auto hooks = views.TargetHooks();
  const auto entry = [](const std::string& id) {
    process::store::StoreItem item;
    item.key = "servers/" + id;
    item.value = Entry(false);
    return item;
  };
  const auto list_after = [&](base::Duration silence) {
    hooks.on_list({entry("a"), entry("b")});
    hooks.on_recovered(silence);
    hooks.on_list({entry("a")});
    return views.engines().size();
  };
  // Three heartbeats of 1.2 s, less one that may have passed and some delay.
  EXPECT_EQ(list_after(milliseconds(2099)), 1U);
  EXPECT_EQ(list_after(milliseconds(2100)), 2U);
  now += kEntryGrace;
  views.engines().Expire(now);
  EXPECT_EQ(views.engines().size(), 1U);
}

// A configuration in force is never replaced by an older one, and the views
// match the store once it works again.
RC_GTEST_PROP(EntryViews, ConvergeToTheStore, ()) {
  constexpr int kSchedules = 50;
  constexpr int kSteps = 30;
  const auto seed =
      *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>());
  for (int i = 0; i < kSchedules; ++i) {
    Schedule schedule(seed + static_cast<std::uint64_t>(i) * 7919);
    for (int k = 0; k < kSteps; ++k) {
      schedule.Step();
    }
    schedule.Converge();
    RC_ASSERT(!schedule.version_decreased());
  }
}

}  // namespace
}  // namespace lynxglade
