// What an instance believes of configuration and targets, while the store
// fails, forgets its history and cuts watches.
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

#include "process/fake_store_port.h"
#include "process/prefix_follower.h"

namespace lynxglade {
namespace {

using process::FakeStorePort;
using process::PrefixFollower;
using process::RunUntil;
using process::StoreFault;
using std::chrono::microseconds;
using std::chrono::milliseconds;
namespace asio = connection::event::asio;

// Entries that are missing after an outage are kept so long.
constexpr base::Duration kGrace = milliseconds(2000);

std::string Entry(bool draining, int life = 0) {
  return std::string(
             R"({"backend":"s","address":"10.0.0.1:80","zone":"a",)"
             R"("version":"v1","slots":6,"coldRemainingMs":0,"sequence":1,)"
             R"("phase":")") +
         (draining ? "draining" : "ready") + R"(","born":)" +
         std::to_string(life) + "}";
}

std::string Configuration(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[],"services":[]})";
}

// One run: an instance's views, a store, and a clock that moves by steps.
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
        // An older one, and one that cannot be read, never come into force.
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
        // From another writer: it names no target, whatever was there.
        store_.Write("servers/" + id, Draw(2) == 0 ? "{" : "{\"slots\":1}");
        targets_.erase(id);
        break;
      case 11:
        // The target crashed and starts again, at a time that may be earlier.
        lives_[id] = Draw(100);
        Put(id, false);
        break;
      default:
        now_ += milliseconds(Draw(3000));
        views_.engines().Expire(now_);
    }
    // Mostly the instance keeps up; at times several things happen at once.
    if (Draw(3) != 0) {
      Work();
    }
    const int in_force = static_cast<int>(views_.routes()->version());
    went_back_ = went_back_ || in_force < newest_seen_;
    newest_seen_ = std::max(newest_seen_, in_force);
  }

  // The store works, and what may be late has come.
  void Settle() {
    store_.Fail(std::nullopt);
    now_ += milliseconds(1);
    // Something to hear, whatever the follower is waiting for.
    store_.Write("lynxglade/other", "");
    RunUntil(loop_, [&] { return follower_.Age() < milliseconds(1); });
    now_ += kGrace;
    views_.engines().Expire(now_);
    RunUntil(loop_, [this] { return Agrees(); });
  }

  bool went_back() const noexcept { return went_back_; }

 private:
  void Put(const std::string& id, bool draining) {
    store_.Write("servers/" + id, Entry(draining, lives_[id]));
    targets_[id] = draining;
  }

  bool Agrees() {
    if (views_.engines().size() != targets_.size() ||
        views_.routes()->version() != version_) {
      return false;
    }
    return std::ranges::all_of(targets_, [this](const auto& row) {
      const auto engine = views_.engines().Find(base::TargetId(row.first));
      return engine && engine->entry.draining == row.second &&
             engine->entry.start_time ==
                 base::StartMillis(lives_.at(row.first));
    });
  }

  // What is due, or becomes due within a pause between tries.
  void Work() {
    loop_.restart();
    loop_.run_one_for(microseconds(60));
    process::RunReady(loop_);
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
      process::DispatchByPrefix({{"op/config", views_.ConfigurationHooks()},
                                 {"servers/", views_.TargetHooks()}}),
      clock_,
      base::SeededRandom(1),
      metrics_};
  int version_ = 2;
  int newest_seen_ = 0;
  bool went_back_ = false;
  // When each target says that it was born.
  std::map<std::string, int> lives_;
  // Draining or not, by id, as the store has it.
  std::map<std::string, bool> targets_;
};

// 50 schedules a case, 10,000 in all: a configuration in force is never
// followed by an older one, and once the store works the views are what it
// holds.
RC_GTEST_PROP(EntryViews, AgreeWithTheStoreInTheEnd, ()) {
  constexpr int kSchedules = 50;
  constexpr int kSteps = 30;
  const auto seed =
      *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>());
  for (int i = 0; i < kSchedules; ++i) {
    Schedule schedule(seed + static_cast<std::uint64_t>(i) * 7919);
    for (int k = 0; k < kSteps; ++k) {
      schedule.Step();
    }
    schedule.Settle();
    RC_ASSERT(!schedule.went_back());
  }
}

}  // namespace
}  // namespace lynxglade
