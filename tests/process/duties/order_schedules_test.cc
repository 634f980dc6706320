// Random schedules of instance pauses, stale listings, lost responses and
// deleted keys: orders of two holders are never closer than the gap that the
// platform requires, and tokens rise.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "process/duties/duty_holder.h"
#include "process/store/fake_store_port.h"

namespace lynxglade::process::duties {
namespace {

using std::chrono::milliseconds;
namespace asio = connection::event::asio;

// The platform's minimum gap between orders of two holders.
constexpr base::Duration kMinHolderGap = milliseconds(3000);
constexpr char kKey[] = "lynxglade/orders/holder";

struct SentOrder {
  std::string by;
  std::int64_t token = 0;
  base::Time at{};
};

// One run: three instances, one store, and a clock that advances in steps.
class Schedule {
 public:
  explicit Schedule(std::uint64_t seed) : random_(base::SeededRandom(seed)) {
    for (const char* name : {"one", "two", "three"}) {
      instances_.push_back(std::make_unique<Instance>(*this, name));
    }
    for (auto& it : instances_) {
      asio::co_spawn(loop_, it->presence.Run(), asio::detached);
      store::RunUntil(loop_, [&] { return it->presence.lease().has_value(); });
      it->authority.OnList(List());
    }
    old_list_ = List();
  }

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      Step(*instances_[Draw(instances_.size())]);
    }
  }

  const std::vector<SentOrder>& sent() const noexcept { return sent_; }

 private:
  struct Instance {
    Instance(Schedule& schedule, const std::string& name)
        : presence(schedule.loop_,
                   schedule.store_,
                   {.instance = base::InstanceId(name),
                    .renew_interval = std::chrono::microseconds(1),
                    .retry_interval = std::chrono::microseconds(1)},
                   schedule.clock_),
          authority(schedule.loop_,
                    schedule.store_,
                    presence,
                    {.max_acquire_delay = base::Duration(0)},
                    schedule.clock_,
                    base::SeededRandom(std::hash<std::string>()(name))) {}

    peers::InstancePresence presence;
    DutyHolder authority;
  };

  std::size_t Draw(std::size_t n) {
    return static_cast<std::size_t>(base::UniformReal(random_) *
                                    static_cast<double>(n));
  }

  std::vector<store::StoreItem> List() const {
    std::vector<store::StoreItem> items;
    for (const auto& [key, item] : store_.items()) {
      items.push_back(item);
    }
    return items;
  }

  void Step(Instance& instance) {
    const std::size_t draw = Draw(100);
    if (draw < 15) {
      now_ += milliseconds(Draw(300));
    } else if (draw < 35) {
      // An instance pause, or the takeover delay.
      now_ += milliseconds(Draw(6000));
    } else if (draw < 55) {
      instance.authority.OnList(List());
    } else if (draw < 60) {
      instance.authority.OnList(old_list_);
      old_list_ = List();
    } else if (draw < 75) {
      TryAcquire(instance);
    } else if (draw < 77) {
      store_.Remove(kKey);
    } else if (draw < 78) {
      store_.LoseNextResponse();
    } else if (draw < 80) {
      store_.Expire(*instance.presence.lease());
      store::RunUntil(loop_,
                      [&] { return instance.presence.lease().has_value(); });
    } else {
      Order(instance);
    }
  }

  void TryAcquire(Instance& instance) {
    bool done = false;
    asio::co_spawn(loop_, instance.authority.TryAcquire(),
                   [&done](std::exception_ptr) { done = true; });
    store::RunUntil(loop_, [&done] { return done; });
  }

  // The order is sent at a random time within the confirmation's validity.
  void Order(Instance& instance) {
    bool done = false;
    std::optional<base::FencingToken> token;
    base::Time until{};
    asio::co_spawn(
        loop_, instance.authority.ConfirmHeld(&until),
        [&](std::exception_ptr, const std::optional<base::FencingToken>& it) {
          token = it;
          done = true;
        });
    store::RunUntil(loop_, [&done] { return done; });
    if (token) {
      const auto wait = milliseconds(
          Draw(static_cast<std::size_t>(base::ToMillis(until - now_)) + 1));
      sent_.push_back(
          {instance.presence.instance().str(), token->value(), now_ + wait});
    }
  }

  const base::RandomSource random_;
  base::Time now_ = base::Time() + std::chrono::hours(1);
  const base::Clock clock_ = [this] { return now_; };
  asio::io_context loop_;
  store::FakeStorePort store_{loop_};
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<store::StoreItem> old_list_;
  std::vector<SentOrder> sent_;
};

RC_GTEST_PROP(OrderSchedules, HoldersKeepTheGapAndTokensRise, ()) {
  constexpr int kSchedules = 50;
  constexpr int kSteps = 250;
  const auto seed =
      *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>());
  for (int i = 0; i < kSchedules; ++i) {
    Schedule schedule(seed + static_cast<std::uint64_t>(i) * 7919);
    schedule.Run(kSteps);
    const auto& sent = schedule.sent();
    for (std::size_t a = 0; a < sent.size(); ++a) {
      for (std::size_t b = a + 1; b < sent.size(); ++b) {
        if (sent[a].by == sent[b].by) {
          continue;
        }
        RC_ASSERT(sent[a].token < sent[b].token);
        RC_ASSERT(sent[b].at - sent[a].at >= kMinHolderGap);
      }
    }
  }
}

// Ensures that the schedules above contain changes of the holder.
TEST(OrderSchedules, HolderChangesOccur) {
  int changes = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Schedule schedule(seed);
    schedule.Run(250);
    const auto& sent = schedule.sent();
    for (std::size_t i = 1; i < sent.size(); ++i) {
      changes += sent[i].by != sent[i - 1].by ? 1 : 0;
    }
  }
  EXPECT_GT(changes, 10);
}

}  // namespace
}  // namespace lynxglade::process::duties
