#include "process/usage/report_decision.h"

#include <gtest/gtest.h>

namespace lynxglade::process::usage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kDue = seconds(10);
constexpr ReportTiming kTiming{};

ReportDecision Decide(base::Duration since_end, double missing) {
  return DecideReport(since_end, kDue, missing, kTiming);
}

TEST(ReportDecision, WaitsForCountsOnTheirWay) {
  EXPECT_EQ(Decide(-seconds(2), 0), ReportDecision::kWait);
  EXPECT_EQ(Decide(milliseconds(1'400), 0), ReportDecision::kWait);
  EXPECT_EQ(Decide(milliseconds(1'500), 0), ReportDecision::kReport);
}

// An instance that is isolated for some seconds still delivers its counts.
TEST(ReportDecision, WaitsForMissingInstancesAsLongAsThereIsTime) {
  EXPECT_EQ(Decide(seconds(3), 0.005), ReportDecision::kReport);
  EXPECT_EQ(Decide(milliseconds(6'900), 0.03), ReportDecision::kWait);
  EXPECT_EQ(Decide(seconds(7), 0.03), ReportDecision::kReport);
  EXPECT_EQ(Decide(seconds(7), 0.3), ReportDecision::kWait);
  EXPECT_EQ(Decide(milliseconds(9'300), 0.3), ReportDecision::kReport);
}

TEST(ReportDecision, AWindowThatIsOverdueIsMissed) {
  EXPECT_EQ(Decide(seconds(10), 0), ReportDecision::kMissed);
  EXPECT_EQ(Decide(milliseconds(9'999), 0), ReportDecision::kReport);
}

}  // namespace
}  // namespace lynxglade::process::usage
