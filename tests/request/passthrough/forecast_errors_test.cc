#include "request/passthrough/forecast_errors.h"

#include <chrono>

#include <gtest/gtest.h>

namespace lynxglade::request::passthrough {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::ServiceName kService("llm");
constexpr int kPriority = 2;
constexpr base::Duration kLimit = seconds(2);

class ForecastErrorsTest : public testing::Test {
 protected:
  void Record(int n,
              milliseconds foreseen,
              milliseconds took,
              bool given_up = false) {
    for (int i = 0; i < n; ++i) {
      errors_.Record(kService, kPriority,
                     {.foreseen = foreseen,
                      .took = took,
                      .given_up = given_up,
                      .time_limit = kLimit},
                     now_);
    }
  }
  double Factor() const { return errors_.Factor(kService, kPriority, now_); }

  base::Time now_ = base::Time() + std::chrono::hours(1);
  ForecastErrors errors_;
};

TEST_F(ForecastErrorsTest, WithoutSamplesForecastsHold) {
  EXPECT_EQ(Factor(), 1);
}

// Guards against callers that are admitted and leave: requests that came later
// and are more urgent, or engines that have become slow, are not foreseen.
TEST_F(ForecastErrorsTest, FollowsForecastsThatWereTooShort) {
  Record(100, milliseconds(1'000), milliseconds(2'000));
  EXPECT_NEAR(Factor(), 2, 0.05);
  EXPECT_EQ(errors_.Factor(kService, 0, now_), 1);
  EXPECT_EQ(errors_.Factor(base::ServiceName("other"), kPriority, now_), 1);
}

// How much longer it would have taken is not known.
TEST_F(ForecastErrorsTest, CallersThatGaveUpCountForMore) {
  Record(100, milliseconds(1'200), milliseconds(2'000), /*given_up=*/true);
  EXPECT_GT(Factor(), 3);
}

TEST_F(ForecastErrorsTest, NeverShortensForecasts) {
  Record(100, milliseconds(1'000), milliseconds(100));
  EXPECT_EQ(Factor(), 1);
}

// A tenth of the limit that took half of it.
TEST_F(ForecastErrorsTest, ShortForecastsSayNothing) {
  Record(100, milliseconds(200), milliseconds(1'000));
  EXPECT_EQ(Factor(), 1);
}

TEST_F(ForecastErrorsTest, IsBounded) {
  Record(1'000, milliseconds(500), seconds(60));
  EXPECT_NEAR(Factor(), ForecastErrorsOptions().max_factor, 0.01);
}

TEST_F(ForecastErrorsTest, FadesWithoutSamples) {
  Record(100, milliseconds(1'000), milliseconds(2'000));
  now_ += seconds(60);
  EXPECT_NEAR(Factor(), 1, 0.01);
}

}  // namespace
}  // namespace lynxglade::request::passthrough
