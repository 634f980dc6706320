#include "request/passthrough/run_times.h"

#include <gtest/gtest.h>

namespace lynxglade::request::passthrough {
namespace {

using std::chrono::milliseconds;

const base::ServiceName kService("portal");
const base::Time kSent = base::Time() + std::chrono::hours(1);

TEST(RunTimes, WhileNothingIsKnownARunBeginsWhenItIsSent) {
  const RunTimes times;
  EXPECT_EQ(times.Began(kService, kSent, kSent + milliseconds(500)), kSent);
}

// The load pattern: a burst queues at a plain target for longer than a request
// takes.
TEST(RunTimes, AQueuedRunBeginsItsAverageTimeBeforeItsAnswer) {
  RunTimes times;
  for (int i = 0; i < 200; ++i) {
    times.Record(kService, milliseconds(i % 2 == 0 ? 40 : 80));
  }
  const base::Time answered = kSent + milliseconds(900);
  const base::Duration took = answered - times.Began(kService, kSent, answered);
  EXPECT_NEAR(base::ToFineMillis(took), 60, 3);
  // It does not begin before it is sent.
  EXPECT_EQ(times.Began(kService, kSent, kSent + milliseconds(20)), kSent);
  EXPECT_EQ(times.Began(base::ServiceName("other"), kSent, answered), kSent);
}

}  // namespace
}  // namespace lynxglade::request::passthrough
