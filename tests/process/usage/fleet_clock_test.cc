#include "process/usage/fleet_clock.h"

#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::process::usage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kEpochMs = 1'700'000'000'000;

// A clock of one instance, `error_ms` off the true time.
struct FakeClock {
  base::Time boot = base::Time() + std::chrono::hours(1);
  std::int64_t error_ms = 0;

  std::int64_t TrueMs() const {
    return kEpochMs + base::ToMillis(boot.time_since_epoch());
  }
  std::int64_t WallMs() const { return TrueMs() + error_ms; }
};

FleetClock Make(FakeClock& fake) {
  return FleetClock([&fake] { return fake.boot; },
                    [&fake] { return WallMillis(fake.WallMs()); });
}

base::InstanceId Peer(int i) {
  return base::InstanceId("i" + std::to_string(i));
}

TEST(FleetClock, AloneItIsTheOwnClock) {
  FakeClock fake{.error_ms = 30};
  const FleetClock clock = Make(fake);
  EXPECT_EQ(clock.Now().value(), fake.WallMs());
  EXPECT_EQ(clock.DirectClocks(), 1);
}

// The boot clock carries the time on across a jump of the time of day.
TEST(FleetClock, AJumpOfTheOwnClockIsNotFollowed) {
  FakeClock fake;
  const FleetClock clock = Make(fake);
  fake.boot += seconds(5);
  fake.error_ms = -2'400;
  EXPECT_EQ(clock.Now().value(), fake.TrueMs());
  EXPECT_EQ(clock.OwnNow().value(), fake.TrueMs());
  // A gradual correction is.
  fake.error_ms = 60;
  EXPECT_EQ(clock.Now().value(), fake.WallMs());
}

// A process that starts while its clock is wrong learns so from the others.
TEST(FleetClock, AWrongClockAtTheStartIsCorrectedByOneEstimate) {
  FakeClock fake{.error_ms = 2'400};
  FleetClock clock = Make(fake);
  clock.AddEstimate(Peer(1), WallMillis(fake.TrueMs()), 40);
  EXPECT_EQ(clock.Now().value(), fake.TrueMs());
  // It is not passed on as if this instance had samples of 40 clocks.
  EXPECT_EQ(clock.DirectClocks(), 1);
}

TEST(FleetClock, OldSamplesAreIgnored) {
  FakeClock fake;
  FleetClock clock = Make(fake);
  for (int i = 0; i < 5; ++i) {
    clock.AddClock(Peer(i), WallMillis(fake.TrueMs() + 3'000));
  }
  EXPECT_EQ(clock.Now().value(), fake.TrueMs() + 3'000);
  fake.boot += seconds(21);
  EXPECT_EQ(clock.Now().value(), fake.TrueMs());
}

// A datagram that waited makes its sender's clock look slow.
TEST(FleetClock, TheLeastDelayedSampleOfASenderCounts) {
  FakeClock fake;
  FleetClock clock = Make(fake);
  for (int i = 0; i < 3; ++i) {
    clock.AddClock(Peer(i), WallMillis(fake.TrueMs()));
    fake.boot += milliseconds(300);
    clock.AddClock(Peer(i), WallMillis(fake.TrueMs() - 150));
  }
  EXPECT_EQ(clock.Now().value(), fake.TrueMs());
}

// A third of the clocks jump by 2.4 s either way, or are off from the start;
// the others are within 20 ms. Datagrams take up to 30 ms.
RC_GTEST_PROP(FleetClock, IsRightWhileAThirdOfTheClocksIsWrong, ()) {
  const int instances = *rc::gen::inRange(4, 80);
  const bool own_wrong = *rc::gen::arbitrary<bool>();
  FakeClock fake;
  fake.error_ms = own_wrong && *rc::gen::arbitrary<bool>() ? 2'400 : 0;
  FleetClock clock = Make(fake);
  if (own_wrong) {
    fake.error_ms = -2'400;
  }
  std::vector<std::int64_t> errors;
  int wrong = own_wrong ? 1 : 0;
  for (int i = 0; i < instances; ++i) {
    const bool may_be_wrong = 3 * (wrong + 1) <= instances + 1;
    const bool is_wrong = may_be_wrong && *rc::gen::arbitrary<bool>();
    wrong += is_wrong ? 1 : 0;
    errors.push_back(is_wrong ? *rc::gen::element(-2'400, 2'400)
                              : *rc::gen::inRange(-20, 21));
  }
  for (int round = 0; round < 3; ++round) {
    for (int i = 0; i < instances; ++i) {
      const int delay = *rc::gen::inRange(0, 31);
      clock.AddClock(Peer(i), WallMillis(fake.TrueMs() - delay + errors[i]));
    }
    fake.boot += milliseconds(300);
    RC_ASSERT(std::abs(clock.Now().value() - fake.TrueMs()) <= 60);
    RC_ASSERT(std::abs(clock.DirectNow().value() - fake.TrueMs()) <= 60);
  }
}

}  // namespace
}  // namespace lynxglade::process::usage
