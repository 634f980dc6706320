#include "request/passthrough/shared_retry_budget.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "request/passthrough/budget_calls.h"

namespace lynxglade::request::passthrough {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Whether one more arrival could be reserved, with a single instance.
bool CanReserve(SharedRetryBudget& budget, base::Time now) {
  const auto reserved = ReservePrefill(budget, 1, now);
  if (reserved) {
    budget.Release(kService, *reserved, now);
  }
  return reserved.has_value();
}

TEST(SharedRetryBudget, IdleInstanceMaySpendItsPartOfTheAllowance) {
  SharedRetryBudget budget(
      {.ratio = 0.2, .allowance = 50, .max_fraction = 1, .max_retry_part = 1});
  int taken = 0;
  while (Take(budget, 1, 5, kNow)) {
    ++taken;
  }
  EXPECT_EQ(taken, 10);
  EXPECT_TRUE(Take(budget, 1, 5, kNow + seconds(11)));
}

TEST(SharedRetryBudget, ServicesHaveSeparateBudgets) {
  SharedRetryBudget budget(
      {.ratio = 0, .allowance = 1, .max_fraction = 1, .max_retry_part = 1});
  EXPECT_TRUE(Take(budget, 1, 1, kNow));
  EXPECT_FALSE(Take(budget, 1, 1, kNow));
  EXPECT_TRUE(Take(budget, 1, 1, kNow, base::ServiceName("portal")));
}

TEST(SharedRetryBudget, FailedReservationTakesNothing) {
  SharedRetryBudget budget(
      {.ratio = 0, .allowance = 1, .max_fraction = 1, .max_retry_part = 1});
  EXPECT_FALSE(Take(budget, 2, 1, kNow));
  EXPECT_TRUE(Take(budget, 1, 1, kNow));
}

TEST(SharedRetryBudget, ReservationsCountUntilReleased) {
  SharedRetryBudget budget(
      {.ratio = 0, .allowance = 2, .max_fraction = 1, .max_retry_part = 1});
  const auto first = ReservePrefill(budget, 1, kNow);
  const auto second = ReservePrefill(budget, 1, kNow);
  ASSERT_TRUE(first && second);
  EXPECT_FALSE(ReservePrefill(budget, 1, kNow));
  EXPECT_FALSE(Take(budget, 1, 1, kNow));
  budget.Release(kService, *first, kNow);
  EXPECT_TRUE(Take(budget, 1, 1, kNow));
}

TEST(SharedRetryBudget, ChargedReservationsCountForAWindow) {
  SharedRetryBudget budget(
      {.ratio = 0, .allowance = 1, .max_fraction = 1, .max_retry_part = 1});
  const auto reserved = ReservePrefill(budget, 1, kNow);
  ASSERT_TRUE(reserved);
  budget.Charge(kService, *reserved);
  EXPECT_FALSE(CanReserve(budget, kNow + seconds(10)));
  EXPECT_TRUE(CanReserve(budget, kNow + milliseconds(10'001)));
}

TEST(SharedRetryBudget, LoansExpire) {
  SharedRetryBudget budget(
      {.ratio = 0, .allowance = 0, .max_fraction = 1, .max_retry_part = 1});
  budget.Borrow(kService, 1.5, kNow);
  EXPECT_TRUE(Take(budget, 1, 1, kNow + seconds(4)));
  budget.Borrow(kService, 0.5, kNow + seconds(1));
  EXPECT_FALSE(Take(budget, 1, 1, kNow + seconds(5)));
}

TEST(SharedRetryBudget, ReleasedLoanKeepsItsExpiry) {
  SharedRetryBudget budget(
      {.ratio = 0, .allowance = 0, .max_fraction = 1, .max_retry_part = 1});
  budget.Borrow(kService, 1, kNow);
  const auto reserved = ReservePrefill(budget, 1, kNow);
  ASSERT_TRUE(reserved);
  EXPECT_FALSE(CanReserve(budget, kNow));
  budget.Release(kService, *reserved, kNow + seconds(1));
  EXPECT_TRUE(CanReserve(budget, kNow + seconds(4)));
  EXPECT_FALSE(CanReserve(budget, kNow + seconds(5)));
}

// Until then a window can contain an arrival that the loan paid for.
TEST(SharedRetryBudget, LoanBindsItsLenderForItsTtlAndAWindow) {
  SharedRetryBudget budget(
      {.ratio = 0, .allowance = 4, .max_fraction = 1, .max_retry_part = 1});
  EXPECT_EQ(budget.Lend(kService, 3, 1, kNow), 3);
  EXPECT_EQ(budget.Lend(kService, 3, 1, kNow + seconds(15)), 1);
  EXPECT_EQ(budget.Lend(kService, 3, 1, kNow + milliseconds(15'001)), 3);
}

TEST(SharedRetryBudget, LendsNothingWithoutOwnBudgetLeft) {
  SharedRetryBudget budget(
      {.ratio = 0, .allowance = 2, .max_fraction = 1, .max_retry_part = 1});
  EXPECT_TRUE(Take(budget, 2, 1, kNow));
  EXPECT_EQ(budget.Lend(kService, 1, 1, kNow), 0);
  // Loans are not passed on.
  budget.Borrow(kService, 5, kNow);
  EXPECT_EQ(budget.Lend(kService, 1, 1, kNow), 0);
}

// Guards against retries using the whole budget, so that prompts cannot be
// prefilled separately any more.
TEST(SharedRetryBudget, RetriesLeaveAPartForFirstPrefills) {
  SharedRetryBudget budget(
      {.ratio = 0, .allowance = 10, .max_fraction = 1, .max_retry_part = 0.8});
  ASSERT_TRUE(CanReserve(budget, kNow));
  int taken = 0;
  while (Take(budget, 1, 1, kNow)) {
    ++taken;
  }
  EXPECT_EQ(taken, 8);
  EXPECT_EQ(budget.Lend(kService, 1, 1, kNow), 0);
  EXPECT_TRUE(ReservePrefill(budget, 1, kNow));
  EXPECT_TRUE(ReservePrefill(budget, 1, kNow));
  EXPECT_FALSE(ReservePrefill(budget, 1, kNow));
}

TEST(SharedRetryBudget, RetriesUseAllWhereNothingIsPrefilledSeparately) {
  SharedRetryBudget budget({.ratio = 0,
                            .allowance = 10,
                            .max_fraction = 0.9,
                            .max_retry_part = 0.5});
  int taken = 0;
  while (Take(budget, 1, 1, kNow)) {
    ++taken;
  }
  EXPECT_EQ(taken, 9);
}

// Guards against BUDGET: a restarted instance has its whole share again, though
// a window may hold what its earlier lifetime spent, or a loan that it granted.
TEST(SharedRetryBudget, RestartedInstanceUsesLittleWhileItsPastCounts) {
  const SharedRetryBudgetOptions options{.ratio = 1,
                                         .allowance = 0,
                                         .max_fraction = 0.75,
                                         .max_start_fraction = 0.25,
                                         .max_retry_part = 1};
  SharedRetryBudget budget(options, {}, kNow);
  budget.ConfirmStart();
  const base::Time last_of_start = kNow + options.window + options.loan_ttl;
  for (int i = 0; i < 8; ++i) {
    budget.OnRequest(kService, last_of_start);
  }
  EXPECT_TRUE(budget.IsStarting(last_of_start));
  EXPECT_TRUE(Take(budget, 2, 1, last_of_start));
  EXPECT_FALSE(CanReserve(budget, last_of_start));
  const base::Time later = last_of_start + milliseconds(1);
  EXPECT_FALSE(budget.IsStarting(later));
  EXPECT_TRUE(Take(budget, 4, 1, later));
  EXPECT_FALSE(CanReserve(budget, later));
}

// Guards against instances that start together and lend each other all they
// have.
TEST(SharedRetryBudget, RestartedInstanceLendsNothing) {
  SharedRetryBudget budget({.ratio = 0, .allowance = 10}, {}, kNow);
  budget.ConfirmStart();
  EXPECT_EQ(budget.Lend(kService, 1, 1, kNow), 0);
  EXPECT_GT(budget.Lend(kService, 1, 1, kNow + seconds(16)), 0);
}

// Guards against a next lifetime that takes this one to have spent little.
TEST(SharedRetryBudget, MarkIsNeededForAHighUseAndWhileItCounts) {
  SharedRetryBudget budget({.ratio = 0,
                            .allowance = 10,
                            .max_fraction = 0.4,
                            .max_marked_fraction = 0.8,
                            .max_retry_part = 1});
  EXPECT_TRUE(Take(budget, 4, 1, kNow));
  EXPECT_FALSE(Take(budget, 1, 1, kNow));
  EXPECT_FALSE(budget.NeedsMark(1, kNow));
  budget.SetMarked(true);
  EXPECT_TRUE(Take(budget, 4, 1, kNow));
  EXPECT_FALSE(CanReserve(budget, kNow));
  EXPECT_TRUE(budget.NeedsMark(1, kNow));
  EXPECT_TRUE(budget.NeedsMark(1, kNow + seconds(15)));
  EXPECT_FALSE(budget.NeedsMark(1, kNow + seconds(31)));
}

TEST(SharedRetryBudget, RestartWithoutAMarkHasItsPartAtOnce) {
  SharedRetryBudget budget({.ratio = 0,
                            .allowance = 10,
                            .max_start_fraction = 0.4,
                            .max_restart_fraction = 0,
                            .max_retry_part = 1},
                           {}, kNow);
  EXPECT_FALSE(CanReserve(budget, kNow));
  budget.ConfirmStart();
  EXPECT_TRUE(Take(budget, 4, 1, kNow));
  EXPECT_FALSE(CanReserve(budget, kNow));
}

// A series of short lifetimes has the allowance once.
TEST(SharedRetryBudget, AllowanceAccruesAfterARestartWithAMark) {
  SharedRetryBudget budget({.ratio = 0,
                            .allowance = 10,
                            .max_restart_fraction = 0.4,
                            .max_retry_part = 1},
                           {}, kNow);
  EXPECT_FALSE(CanReserve(budget, kNow));
  EXPECT_FALSE(CanReserve(budget, kNow + milliseconds(2400)));
  EXPECT_TRUE(Take(budget, 1, 1, kNow + milliseconds(2600)));
  EXPECT_FALSE(CanReserve(budget, kNow + milliseconds(4900)));
  EXPECT_TRUE(Take(budget, 3, 1, kNow + seconds(10)));
  EXPECT_FALSE(CanReserve(budget, kNow + seconds(10)));
}

TEST(SharedRetryBudget, ReportsTheShortfall) {
  double missing = 0;
  SharedRetryBudget budget(
      {.ratio = 0, .allowance = 1.5, .max_fraction = 1, .max_retry_part = 1},
      [&missing](const base::ServiceName&, double n) { missing = n; });
  ASSERT_TRUE(ReservePrefill(budget, 1, kNow));
  EXPECT_EQ(missing, 0);
  EXPECT_FALSE(ReservePrefill(budget, 1, kNow));
  EXPECT_EQ(missing, 0.5);
  EXPECT_FALSE(Take(budget, 2, 1, kNow));
  EXPECT_EQ(missing, 1.5);
}

// Guards against a loaded instance that is limited to its equal share (0.95 x
// 630 / 295 = 2 prefills at a time) while others have budget left.
TEST(SharedRetryBudget, LoadedInstanceBorrowsFromItsZone) {
  constexpr int kInstances = 295;
  constexpr int kZone = 59;
  constexpr int kPrefills = 20;
  const SharedRetryBudgetOptions options{.ratio = 0.2, .allowance = 630};
  std::vector<std::unique_ptr<SharedRetryBudget>> others;
  for (int i = 0; i < kZone - 1; ++i) {
    others.push_back(std::make_unique<SharedRetryBudget>(options));
  }
  std::size_t next = 0;
  SharedRetryBudget* self = nullptr;
  SharedRetryBudget loaded(
      options, [&](const base::ServiceName& service, double missing) {
        SharedRetryBudget& lender = *others[next++ % others.size()];
        self->Borrow(service, lender.Lend(service, missing, kInstances, kNow),
                     kNow);
      });
  self = &loaded;
  int reserved = 0;
  for (int i = 0; i < 3 * kPrefills && reserved < kPrefills; ++i) {
    reserved += ReservePrefill(loaded, kInstances, kNow) ? 1 : 0;
  }
  EXPECT_EQ(reserved, kPrefills);
}

}  // namespace
}  // namespace lynxglade::request::passthrough
