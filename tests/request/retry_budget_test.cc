#include "request/retry_budget.h"

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "request/attempt.h"

#include "request/outlier_ejector.h"

namespace lynxglade::request {
namespace {

constexpr base::Time kNow = base::Time() + std::chrono::hours(1);

// Every attempt fails; each request is retried until the policy or the budget
// denies it.
RC_GTEST_PROP(RetryBudgetTest,
              RetryStormStaysBelowOnePointTwoAttemptsPerRequest,
              ()) {
  const auto contracts = *rc::gen::inRange<std::uint64_t>(1, 20);
  const auto targets = *rc::gen::inRange<std::uint64_t>(1, 20);
  const auto gap = std::chrono::milliseconds(*rc::gen::inRange(1, 50));
  const base::RandomSource random =
      base::SeededRandom(*rc::gen::arbitrary<unsigned>());
  RetryBudget budget;
  const RetryPolicy policy({}, random);
  const auto any = [&random](const char* kind, std::uint64_t n) {
    return kind + std::to_string(base::UniformBelow(random, n));
  };
  constexpr int kRequests = 400;
  int attempts = 0;
  base::Time now = kNow;
  for (int i = 0; i < kRequests; ++i) {
    now += gap;
    const base::ContractId contract(any("c", contracts));
    budget.OnFirstAttempt(contract, base::TargetId(any("t", targets)), now);
    RetryDenial denial{};
    for (int made = 1;; ++made) {
      ++attempts;
      const auto delay =
          policy.NextDelay(made, now, now + std::chrono::seconds(60), &denial);
      const auto kind = base::UniformBelow(random, 4) == 0
                            ? ExtraAttempt::kHedge
                            : ExtraAttempt::kRetry;
      if (!delay ||
          !budget.TryTake(kind, contract, base::TargetId(any("t", targets)),
                          now, &denial)) {
        break;
      }
    }
  }
  RC_ASSERT(attempts < 1.2 * kRequests);
  RC_ASSERT(attempts > kRequests);
}

TEST(RetryBudgetTest, ReportsEmptyBucketAndReservesTokensForRetries) {
  RetryBudgetOptions options;
  options.initial = 2;
  RetryBudget budget(options);
  const base::ContractId a("a");
  const base::ContractId b("b");
  const base::TargetId t("t");
  RetryDenial denial{};
  EXPECT_FALSE(budget.TryTake(ExtraAttempt::kHedge, a, t, kNow, &denial));
  EXPECT_EQ(denial, RetryDenial::kContractBudget);
  EXPECT_TRUE(budget.TryTake(ExtraAttempt::kRetry, a, t, kNow, &denial));
  EXPECT_TRUE(budget.TryTake(ExtraAttempt::kRetry, a, t, kNow, &denial));
  EXPECT_FALSE(budget.TryTake(ExtraAttempt::kRetry, a, t, kNow, &denial));
  EXPECT_EQ(denial, RetryDenial::kContractBudget);
  EXPECT_FALSE(budget.TryTake(ExtraAttempt::kRetry, b, t, kNow, &denial));
  EXPECT_EQ(denial, RetryDenial::kTargetBudget);
  // A long idle time refills up to the initial tokens only.
  const base::Time later = kNow + std::chrono::hours(8);
  for (int i = 0; i < 2; ++i) {
    EXPECT_TRUE(budget.TryTake(ExtraAttempt::kRetry, a, t, later, &denial));
  }
  EXPECT_FALSE(budget.TryTake(ExtraAttempt::kRetry, a, t, later, &denial));
}

RC_GTEST_PROP(RetryPolicyTest,
              DelaysAreBoundedAndEndBeforeTheDeadline,
              (unsigned seed)) {
  const RetryPolicyOptions options;
  const RetryPolicy policy(options, base::SeededRandom(seed));
  const auto left = std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
  const int made = *rc::gen::inRange(1, 6);
  RetryDenial denial{};
  const auto delay = policy.NextDelay(made, kNow, kNow + left, &denial);
  if (delay) {
    RC_ASSERT(made < options.max_attempts);
    RC_ASSERT(*delay <=
              std::min<base::Duration>(options.base_backoff * (1 << (made - 1)),
                                       options.max_backoff));
    RC_ASSERT(*delay + options.min_remaining <= left);
  } else if (made >= options.max_attempts) {
    RC_ASSERT(denial == RetryDenial::kAttemptsUsed);
  } else {
    RC_ASSERT(denial == RetryDenial::kDeadlineTooNear);
  }
}

TargetTable RandomTable(std::size_t n) {
  TargetTable table;
  for (std::size_t i = 0; i < n; ++i) {
    Target it;
    it.id = base::TargetId("t" + std::to_string(i));
    it.service = base::ServiceName(*rc::gen::element<std::string>("x", "y"));
    it.model = base::ModelName(*rc::gen::element<std::string>("m", "n"));
    table.targets.push_back(std::move(it));
  }
  return table;
}

// Number of serving, not ejected targets of the service and model of `like`.
std::size_t InService(const TargetTable& table,
                      const Target& like,
                      base::Time now) {
  return static_cast<std::size_t>(
      std::ranges::count_if(table.targets, [&](const Target& it) {
        return it.service == like.service && it.model == like.model &&
               it.state == TargetState::kServing &&
               !OutlierEjector::IsEjected(it, now);
      }));
}

RC_GTEST_PROP(OutlierEjectorTest,
              NeverEmptiesAServiceNorExceedsItsFraction,
              ()) {
  TargetTable table = RandomTable(*rc::gen::inRange<std::size_t>(1, 12));
  OutlierEjectorOptions options;
  OutlierEjector ejector(options);
  base::Time now = kNow;
  const int steps = *rc::gen::inRange(1, 120);
  for (int step = 0; step < steps; ++step) {
    now += std::chrono::milliseconds(*rc::gen::inRange(0, 4000));
    Target& target =
        table.targets[*rc::gen::inRange<std::size_t>(0, table.targets.size())];
    if (*rc::gen::inRange(0, 8) == 0) {
      // The target leaves or returns, and the ejector gets the new table.
      target.state = target.state == TargetState::kServing
                         ? TargetState::kLeaving
                         : TargetState::kServing;
      ejector.Reconcile(table, now);
    }
    const int failures = *rc::gen::inRange(0, 7);
    for (int i = 0; i < failures; ++i) {
      EjectDenial denial{};
      ejector.OnFailure(table, target, now, &denial);
    }
    for (const Target& it : table.targets) {
      if (it.state != TargetState::kServing) {
        continue;
      }
      RC_ASSERT(InService(table, it, now) >= 1u);
      std::size_t serving = 0;
      std::size_t out = 0;
      for (const Target& other : table.targets) {
        if (other.service == it.service &&
            other.state == TargetState::kServing) {
          ++serving;
          out += OutlierEjector::IsEjected(other, now) ? 1 : 0;
        }
      }
      const auto most = std::max<std::size_t>(
          1, static_cast<std::size_t>(options.max_fraction *
                                      static_cast<double>(serving)));
      RC_ASSERT(out <= most);
    }
  }
}

TEST(OutlierEjectorTest, EjectionTimeGrowsAndIsBounded) {
  TargetTable table;
  for (int i = 0; i < 4; ++i) {
    Target it;
    it.id = base::TargetId("t" + std::to_string(i));
    it.service = base::ServiceName("x");
    table.targets.push_back(std::move(it));
  }
  OutlierEjectorOptions options;
  options.base_ejection = std::chrono::seconds(10);
  options.max_ejection = std::chrono::seconds(35);
  OutlierEjector ejector(options);
  const Target& bad = table.targets[0];
  base::Time now = kNow;
  const auto fail_until_ejected = [&] {
    EjectDenial denial{};
    for (int i = 0; i < options.consecutive_failures - 1; ++i) {
      EXPECT_FALSE(ejector.OnFailure(table, bad, now, &denial));
      EXPECT_EQ(denial, EjectDenial::kNotFailingEnough);
    }
    const auto ejection = ejector.OnFailure(table, bad, now, &denial);
    EXPECT_TRUE(ejection);
    return ejection ? ejection->length : base::Duration::zero();
  };
  for (const int seconds : {10, 20, 35, 35}) {
    EXPECT_EQ(fail_until_ejected(), std::chrono::seconds(seconds));
    EXPECT_TRUE(OutlierEjector::IsEjected(bad, now));
    EjectDenial denial{};
    ejector.OnFailure(table, bad, now, &denial);
    EXPECT_EQ(denial, EjectDenial::kAlreadyEjected);
    now += std::chrono::seconds(seconds);
    EXPECT_FALSE(OutlierEjector::IsEjected(bad, now));
    now += options.window;
    ejector.OnSuccess(bad, now);
  }
  // A failure rate of one half ejects without consecutive failures.
  const Target& flaky = table.targets[1];
  std::optional<Ejection> ejection;
  for (int i = 0; i < options.min_requests && !ejection; ++i) {
    EjectDenial denial{};
    ejector.OnSuccess(flaky, now);
    ejection = ejector.OnFailure(table, flaky, now, &denial);
  }
  EXPECT_TRUE(ejection);
}

// Attempts that sent nothing must not use up the retry budget, which is small
// right after a start.
TEST(RetryBudgetTest, NothingWasSentIdentifiesAttemptsThatDidNotLeave) {
  AttemptReport report;
  report.end = AttemptEnd::kConnectFailed;
  EXPECT_TRUE(NothingWasSent(report));
  report.end = AttemptEnd::kRefused;
  report.refusal = TargetRefusal::kHeldBack;
  EXPECT_TRUE(NothingWasSent(report));
  report.refusal = TargetRefusal::kOverloaded;
  EXPECT_FALSE(NothingWasSent(report));
  report.refusal = TargetRefusal::kNone;
  for (AttemptEnd end : {AttemptEnd::kSendFailed, AttemptEnd::kReset,
                         AttemptEnd::kTruncated, AttemptEnd::kTimeout}) {
    report.end = end;
    EXPECT_FALSE(NothingWasSent(report));
  }
}

}  // namespace
}  // namespace lynxglade::request
