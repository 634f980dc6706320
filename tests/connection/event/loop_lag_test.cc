#include "connection/event/loop_lag.h"

#include <gtest/gtest.h>

namespace lynxglade::connection::event {
namespace {

using std::chrono::milliseconds;

// A process that pauses now and then keeps up; one whose handlers wait all the
// while does not.
TEST(LoopLag, StandingLagIsTheLeastOfTheLastMeasurements) {
  asio::io_context loop;
  LoopLag lag(loop, base::BootClock::now);
  EXPECT_EQ(lag.standing(), milliseconds(0));
  for (const int ms : {0, 500, 0, 500}) {
    lag.Record(milliseconds(ms));
  }
  EXPECT_EQ(lag.last(), milliseconds(500));
  EXPECT_EQ(lag.standing(), milliseconds(0));
  for (const int ms : {200, 300, 150, 400}) {
    lag.Record(milliseconds(ms));
  }
  EXPECT_EQ(lag.standing(), milliseconds(150));
  lag.Record(milliseconds(1));
  EXPECT_EQ(lag.standing(), milliseconds(1));
}

}  // namespace
}  // namespace lynxglade::connection::event
