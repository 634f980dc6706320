#include "request/passthrough/retry_allowance.h"

#include <deque>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::request::passthrough {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::Time kNow = base::Time() + std::chrono::hours(1);
const base::ServiceName kService("llm");

TEST(RetryAllowance, AQuietInstanceMaySpendItsPartOfTheAllowance) {
  RetryAllowance allowance({.ratio = 0.2, .allowance = 50, .safety = 1});
  int taken = 0;
  while (allowance.TryTake(kService, 1, 5, kNow)) {
    ++taken;
  }
  EXPECT_EQ(taken, 10);
  EXPECT_TRUE(allowance.TryTake(kService, 1, 5, kNow + seconds(11)));
}

TEST(RetryAllowance, ServicesDoNotShare) {
  RetryAllowance allowance({.ratio = 0, .allowance = 1, .safety = 1});
  EXPECT_TRUE(allowance.TryTake(kService, 1, 1, kNow));
  EXPECT_FALSE(allowance.TryTake(kService, 1, 1, kNow));
  EXPECT_TRUE(allowance.TryTake(base::ServiceName("portal"), 1, 1, kNow));
}

TEST(RetryAllowance, WhatCannotBePaidWholeTakesNothing) {
  RetryAllowance allowance({.ratio = 0, .allowance = 1, .safety = 1});
  EXPECT_FALSE(allowance.TryTake(kService, 2, 1, kNow));
  EXPECT_TRUE(allowance.TryTake(kService, 1, 1, kNow));
}

TEST(RetryAllowance, UnforeseenArrivalsCountAgainstTheShare) {
  RetryAllowance allowance({.ratio = 0, .allowance = 2, .safety = 1});
  allowance.Charge(kService, kNow);
  allowance.Charge(kService, kNow);
  EXPECT_FALSE(allowance.TryTake(kService, 1, 1, kNow));
}

// In no window do instances together exceed the fleet's bound, whatever the
// order of requests and retries.
RC_GTEST_PROP(RetryAllowance, TheFleetKeepsToItsBoundInEveryWindow, ()) {
  constexpr double kRatio = 0.2;
  constexpr double kAllowance = 20;
  const int instances = *rc::gen::inRange(1, 6);
  std::vector<std::unique_ptr<RetryAllowance>> fleet;
  for (int i = 0; i < instances; ++i) {
    fleet.push_back(std::make_unique<RetryAllowance>(
        RetryAllowanceOptions{.ratio = kRatio, .allowance = kAllowance}));
  }
  std::deque<base::Time> requests;
  std::deque<base::Time> extra;
  base::Time now = kNow;
  const int steps = *rc::gen::inRange(1, 400);
  for (int step = 0; step < steps; ++step) {
    now += milliseconds(*rc::gen::inRange(0, 200));
    const int at = *rc::gen::inRange(0, instances);
    if (*rc::gen::arbitrary<bool>()) {
      fleet[at]->OnRequest(kService, now);
      requests.push_back(now);
    } else if (fleet[at]->TryTake(kService, 1, instances, now)) {
      extra.push_back(now);
    }
    for (auto* times : {&requests, &extra}) {
      while (!times->empty() && times->front() < now - seconds(10)) {
        times->pop_front();
      }
    }
    RC_ASSERT(static_cast<double>(extra.size()) <=
              kRatio * static_cast<double>(requests.size()) + kAllowance);
  }
}

}  // namespace
}  // namespace lynxglade::request::passthrough
