#include "process/duties/duty_holder.h"

#include <memory>
#include <string>

#include <gtest/gtest.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "process/store/fake_store_port.h"

namespace lynxglade::process::duties {
namespace {

using std::chrono::milliseconds;
namespace asio = connection::event::asio;

constexpr char kKey[] = "lynxglade/orders/holder";

// One instance with its lease and authority. A test passes it the contents of
// the store explicitly, so that it can do so late.
struct Contender {
  Contender(asio::io_context& loop,
            store::FakeStorePort& store,
            const std::string& name,
            const base::Clock& clock)
      : presence(loop, store, {.instance = base::InstanceId(name)}, clock),
        authority(loop,
                  store,
                  presence,
                  {.max_acquire_delay = base::Duration(0)},
                  clock,
                  base::SeededRandom(std::hash<std::string>()(name))) {}

  peers::InstancePresence presence;
  DutyHolder authority;
};

class DutyHolderTest : public testing::Test {
 protected:
  DutyHolderTest()
      : store_(loop_),
        one_(loop_, store_, "one", clock_),
        two_(loop_, store_, "two", clock_) {
    for (Contender* it : {&one_, &two_}) {
      asio::co_spawn(loop_, it->presence.Run(), asio::detached);
      store::RunUntil(loop_, [it] { return it->presence.lease().has_value(); });
    }
    PassListing(one_);
    PassListing(two_);
  }

  void PassListing(Contender& contender) {
    std::vector<store::StoreItem> items;
    for (const auto& [key, item] : store_.items()) {
      items.push_back(item);
    }
    contender.authority.OnList(items);
  }

  void TryAcquire(Contender& contender) {
    bool done = false;
    asio::co_spawn(loop_, contender.authority.TryAcquire(),
                   [&done](std::exception_ptr) { done = true; });
    store::RunUntil(loop_, [&done] { return done; });
  }

  std::optional<base::FencingToken> ConfirmHeld(Contender& contender) {
    bool done = false;
    std::optional<base::FencingToken> token;
    asio::co_spawn(
        loop_, contender.authority.ConfirmHeld(&until_),
        [&](std::exception_ptr, const std::optional<base::FencingToken>& it) {
          token = it;
          done = true;
        });
    store::RunUntil(loop_, [&done] { return done; });
    return token;
  }

  // `contender` acquires the key and its takeover delay passes.
  void Acquire(Contender& contender) {
    TryAcquire(contender);
    PassListing(contender);
    now_ += milliseconds(4500);
  }

  base::Time now_ = base::Time() + std::chrono::hours(1);
  const base::Clock clock_ = [this] { return now_; };
  asio::io_context loop_;
  store::FakeStorePort store_;
  Contender one_;
  Contender two_;
  base::Time until_{};
};

TEST_F(DutyHolderTest, HolderGetsTokenAfterTakeoverDelay) {
  TryAcquire(one_);
  PassListing(one_);
  EXPECT_FALSE(one_.authority.HeldToken());
  now_ += milliseconds(4499);
  EXPECT_FALSE(one_.authority.HeldToken());
  now_ += milliseconds(1);
  ASSERT_TRUE(one_.authority.HeldToken());
  EXPECT_EQ(ConfirmHeld(one_)->value(),
            store_.items().at(kKey).revision.value());
  EXPECT_EQ(until_, now_ + milliseconds(300));
}

TEST_F(DutyHolderTest, OnlyOneOfTwoAcquiresTheKey) {
  TryAcquire(one_);
  TryAcquire(two_);
  PassListing(one_);
  PassListing(two_);
  now_ += milliseconds(4500);
  EXPECT_TRUE(one_.authority.HeldToken());
  EXPECT_FALSE(two_.authority.HeldToken());
}

TEST_F(DutyHolderTest, AcquisitionWithLostResponseIsFoundInListing) {
  store_.LoseNextResponse();
  Acquire(one_);
  EXPECT_TRUE(ConfirmHeld(one_));
}

// The store may delete an instance's key without notice: the last observed
// state still shows it as holder, while reading the key back does not.
TEST_F(DutyHolderTest, KeyDeletedUnnoticedIsNotConfirmed) {
  Acquire(one_);
  store_.Remove(kKey);
  EXPECT_TRUE(one_.authority.HeldToken());
  EXPECT_FALSE(ConfirmHeld(one_));
  PassListing(two_);
  Acquire(two_);
  EXPECT_FALSE(ConfirmHeld(one_));
  EXPECT_TRUE(ConfirmHeld(two_));
}

// Listings may be seconds old. One from before the acquisition neither revokes
// the authority nor restarts the takeover delay.
TEST_F(DutyHolderTest, StaleListingDoesNotRevokeAuthority) {
  Acquire(one_);
  one_.authority.OnList({});
  EXPECT_TRUE(one_.authority.HeldToken());
  EXPECT_TRUE(ConfirmHeld(one_));
}

TEST_F(DutyHolderTest, LostKeyIsAcquiredAgain) {
  Acquire(one_);
  store_.Remove(kKey);
  EXPECT_FALSE(ConfirmHeld(one_));
  EXPECT_FALSE(one_.authority.HeldToken());
  Acquire(one_);
  EXPECT_TRUE(ConfirmHeld(one_));
}

TEST_F(DutyHolderTest, UnreachableStoreConfirmsNothing) {
  Acquire(one_);
  store_.Fail(store::StoreFault::kTimeout);
  EXPECT_FALSE(ConfirmHeld(one_));
}

// A process restarted under the same instance name has another holder id.
TEST_F(DutyHolderTest, RestartedInstanceIsNotTheHolder) {
  Acquire(one_);
  Contender again(loop_, store_, "one", clock_);
  store_.Write(kKey, "one/ffff");
  PassListing(again);
  now_ += milliseconds(4500);
  EXPECT_FALSE(again.authority.HeldToken());
}

TEST_F(DutyHolderTest, LaterHolderGetsHigherToken) {
  Acquire(one_);
  const auto first = ConfirmHeld(one_);
  ASSERT_TRUE(first);
  // The end of the lease that the key is bound to.
  store_.Remove(kKey);
  PassListing(two_);
  Acquire(two_);
  const auto second = ConfirmHeld(two_);
  ASSERT_TRUE(second);
  EXPECT_GT(*second, *first);
}

}  // namespace
}  // namespace lynxglade::process::duties
