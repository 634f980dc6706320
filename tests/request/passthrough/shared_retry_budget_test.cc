#include "request/passthrough/shared_retry_budget.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/random.h"

namespace lynxglade::request::passthrough {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::Time kNow = base::Time() + std::chrono::hours(1);
const base::ServiceName kService("llm");

std::optional<ReservedArrivals> HoldReading(SharedRetryBudget& allowance,
                                            int instances,
                                            base::Time now) {
  return allowance.TryReserve(kService, 1, ArrivalPurpose::kFirstPrefill,
                              instances, now);
}

// Retries that reach their targets.
bool Take(SharedRetryBudget& allowance,
          int arrivals,
          int instances,
          base::Time now,
          const base::ServiceName& service = kService) {
  const auto held = allowance.TryReserve(
      service, arrivals, ArrivalPurpose::kRetry, instances, now);
  if (held) {
    allowance.Charge(service, *held);
  }
  return held.has_value();
}

// Whether one arrival more could be set aside, by the only instance.
bool CanHold(SharedRetryBudget& allowance, base::Time now) {
  const auto held = HoldReading(allowance, 1, now);
  if (held) {
    allowance.Release(kService, *held, now);
  }
  return held.has_value();
}

TEST(SharedRetryBudget, AQuietInstanceMaySpendItsPartOfTheAllowance) {
  SharedRetryBudget allowance({.ratio = 0.2,
                               .allowance = 50,
                               .max_fraction = 1,
                               .max_retry_fraction = 1});
  int taken = 0;
  while (Take(allowance, 1, 5, kNow)) {
    ++taken;
  }
  EXPECT_EQ(taken, 10);
  EXPECT_TRUE(Take(allowance, 1, 5, kNow + seconds(11)));
}

TEST(SharedRetryBudget, ServicesDoNotShare) {
  SharedRetryBudget allowance(
      {.ratio = 0, .allowance = 1, .max_fraction = 1, .max_retry_fraction = 1});
  EXPECT_TRUE(Take(allowance, 1, 1, kNow));
  EXPECT_FALSE(Take(allowance, 1, 1, kNow));
  EXPECT_TRUE(Take(allowance, 1, 1, kNow, base::ServiceName("portal")));
}

TEST(SharedRetryBudget, WhatCannotBePaidWholeTakesNothing) {
  SharedRetryBudget allowance(
      {.ratio = 0, .allowance = 1, .max_fraction = 1, .max_retry_fraction = 1});
  EXPECT_FALSE(Take(allowance, 2, 1, kNow));
  EXPECT_TRUE(Take(allowance, 1, 1, kNow));
}

TEST(SharedRetryBudget, HeldArrivalsCountUntilTheyAreReleased) {
  SharedRetryBudget allowance(
      {.ratio = 0, .allowance = 2, .max_fraction = 1, .max_retry_fraction = 1});
  const auto first = HoldReading(allowance, 1, kNow);
  const auto second = HoldReading(allowance, 1, kNow);
  ASSERT_TRUE(first && second);
  EXPECT_FALSE(HoldReading(allowance, 1, kNow));
  EXPECT_FALSE(Take(allowance, 1, 1, kNow));
  allowance.Release(kService, *first, kNow);
  EXPECT_TRUE(Take(allowance, 1, 1, kNow));
}

TEST(SharedRetryBudget, HeldArrivalsThatAreChargedCountForAWindow) {
  SharedRetryBudget allowance(
      {.ratio = 0, .allowance = 1, .max_fraction = 1, .max_retry_fraction = 1});
  const auto held = HoldReading(allowance, 1, kNow);
  ASSERT_TRUE(held);
  allowance.Charge(kService, *held);
  EXPECT_FALSE(CanHold(allowance, kNow + seconds(10)));
  EXPECT_TRUE(CanHold(allowance, kNow + milliseconds(10'001)));
}

TEST(SharedRetryBudget, ALoanIsSpentInTimeOrNotAtAll) {
  SharedRetryBudget allowance(
      {.ratio = 0, .allowance = 0, .max_fraction = 1, .max_retry_fraction = 1});
  allowance.Borrow(kService, 1.5, kNow);
  EXPECT_TRUE(Take(allowance, 1, 1, kNow + seconds(4)));
  allowance.Borrow(kService, 0.5, kNow + seconds(1));
  EXPECT_FALSE(Take(allowance, 1, 1, kNow + seconds(5)));
}

TEST(SharedRetryBudget, AHeldLoanThatIsReleasedEndsWhenItWouldHave) {
  SharedRetryBudget allowance(
      {.ratio = 0, .allowance = 0, .max_fraction = 1, .max_retry_fraction = 1});
  allowance.Borrow(kService, 1, kNow);
  const auto held = HoldReading(allowance, 1, kNow);
  ASSERT_TRUE(held);
  EXPECT_FALSE(CanHold(allowance, kNow));
  allowance.Release(kService, *held, kNow + seconds(1));
  EXPECT_TRUE(CanHold(allowance, kNow + seconds(4)));
  EXPECT_FALSE(CanHold(allowance, kNow + seconds(5)));
}

// It is bound until no window can contain what the loan paid for.
TEST(SharedRetryBudget, ALenderGetsItBackAfterTheLoansLifeAndAWindow) {
  SharedRetryBudget allowance(
      {.ratio = 0, .allowance = 4, .max_fraction = 1, .max_retry_fraction = 1});
  EXPECT_EQ(allowance.Lend(kService, 3, 1, kNow), 3);
  EXPECT_EQ(allowance.Lend(kService, 3, 1, kNow + seconds(15)), 1);
  EXPECT_EQ(allowance.Lend(kService, 3, 1, kNow + milliseconds(15'001)), 3);
}

TEST(SharedRetryBudget, OneWithoutAnyToSpareLendsNone) {
  SharedRetryBudget allowance(
      {.ratio = 0, .allowance = 2, .max_fraction = 1, .max_retry_fraction = 1});
  EXPECT_TRUE(Take(allowance, 2, 1, kNow));
  EXPECT_EQ(allowance.Lend(kService, 1, 1, kNow), 0);
  // What was borrowed is not lent on.
  allowance.Borrow(kService, 5, kNow);
  EXPECT_EQ(allowance.Lend(kService, 1, 1, kNow), 0);
}

// The load this answers: engines that crash in series, before which retries
// took all, and prompts could not be read apart any more.
TEST(SharedRetryBudget, RetriesLeaveAPartToFirstReadings) {
  SharedRetryBudget allowance({.ratio = 0,
                               .allowance = 10,
                               .max_fraction = 1,
                               .max_retry_fraction = 0.8});
  int taken = 0;
  while (Take(allowance, 1, 1, kNow)) {
    ++taken;
  }
  EXPECT_EQ(taken, 8);
  EXPECT_EQ(allowance.Lend(kService, 1, 1, kNow), 0);
  EXPECT_TRUE(HoldReading(allowance, 1, kNow));
  EXPECT_TRUE(HoldReading(allowance, 1, kNow));
  EXPECT_FALSE(HoldReading(allowance, 1, kNow));
}

TEST(SharedRetryBudget, SaysWhatIsMissing) {
  double missing = 0;
  SharedRetryBudget allowance(
      {.ratio = 0,
       .allowance = 1.5,
       .max_fraction = 1,
       .max_retry_fraction = 1},
      [&missing](const base::ServiceName&, double n) { missing = n; });
  ASSERT_TRUE(HoldReading(allowance, 1, kNow));
  EXPECT_EQ(missing, 0);
  EXPECT_FALSE(HoldReading(allowance, 1, kNow));
  EXPECT_EQ(missing, 0.5);
  EXPECT_FALSE(Take(allowance, 2, 1, kNow));
  EXPECT_EQ(missing, 1.5);
}

// What the platform allows: in a window, a part of the requests in it, in the
// one before it, or half way between, whichever has most.
class Bound {
 public:
  explicit Bound(const SharedRetryBudgetOptions& options) : options_(options) {}

  void OnRequest(base::Time now) { requests_.push_back(now); }
  void OnExtra(base::Time now) { extra_.push_back(now); }
  bool Holds(base::Time now) const {
    std::size_t most = 0;
    for (const base::Duration back :
         {base::Duration(0), options_.window / 2, options_.window}) {
      most = std::max(most, Count(requests_, now - back));
    }
    return static_cast<double>(Count(extra_, now)) <=
           options_.ratio * static_cast<double>(most) + options_.allowance;
  }

 private:
  std::size_t Count(const std::vector<base::Time>& times,
                    base::Time end) const {
    const auto first = std::ranges::lower_bound(times, end - options_.window);
    const auto last = std::ranges::upper_bound(times, end);
    return static_cast<std::size_t>(std::max<std::ptrdiff_t>(last - first, 0));
  }

  const SharedRetryBudgetOptions options_;
  std::vector<base::Time> requests_;
  std::vector<base::Time> extra_;
};

// Instances that take, hold and lend in any order; questions and loans between
// them come late, twice or not at all.
class LendingFleet {
 public:
  LendingFleet(int instances,
               const SharedRetryBudgetOptions& options,
               base::RandomSource random)
      : options_(options), random_(std::move(random)), bound_(options) {
    for (int i = 0; i < instances; ++i) {
      fleet_.push_back(std::make_unique<SharedRetryBudget>(options));
    }
  }

  void Step() {
    now_ += milliseconds(base::UniformBelow(random_, 60));
    const int at = Any(static_cast<int>(fleet_.size()));
    const auto act = base::UniformBelow(random_, 7);
    if (act == 0) {
      fleet_[at]->OnRequest(kService, now_);
      bound_.OnRequest(now_);
    } else if (act == 1) {
      Retry(at);
    } else if (act == 2) {
      Hold(at);
    } else if (act == 3) {
      Settle();
    } else {
      Lend(at);
    }
    Deliver();
  }
  // All that is held counts: each of its targets may reject it.
  bool KeepsToItsBound() const { return bound_.Holds(now_); }
  std::size_t extra() const { return extra_; }

 private:
  struct Held {
    int instance = 0;
    ReservedArrivals arrival;
  };
  struct OnItsWay {
    base::Time arrives{};
    base::Time asked_at{};
    int to = 0;
    double arrivals = 0;
  };

  int Size() const { return static_cast<int>(fleet_.size()); }
  int Any(int n) const {
    return static_cast<int>(
        base::UniformBelow(random_, static_cast<std::uint64_t>(n)));
  }
  void CountExtra() {
    ++extra_;
    bound_.OnExtra(now_);
  }
  void Retry(int at) {
    if (Take(*fleet_[at], 1, Size(), now_)) {
      CountExtra();
    }
  }
  void Hold(int at) {
    if (const auto held = HoldReading(*fleet_[at], Size(), now_)) {
      CountExtra();
      held_.push_back({at, *held});
    }
  }
  // One that was held is rejected, at any time after it was sent.
  void Settle() {
    if (held_.empty()) {
      return;
    }
    const int i = Any(static_cast<int>(held_.size()));
    fleet_[held_[i].instance]->Charge(kService, held_[i].arrival);
    held_.erase(held_.begin() + i);
  }
  // A question of up to three seconds ago reaches a lender now.
  void Lend(int to) {
    const int from = Any(Size());
    if (from == to) {
      return;
    }
    const base::Time asked_at = now_ - milliseconds(Any(3000));
    const double lent = fleet_[from]->Lend(kService, 3, Size(), now_);
    const int copies_lost = Any(3);
    if (lent > 0 && copies_lost > 0) {
      loans_.push_back({now_ + milliseconds(Any(8000)), asked_at, to, lent});
    }
  }
  void Deliver() {
    const auto due = std::ranges::partition(
        loans_, [this](const OnItsWay& it) { return it.arrives > now_; });
    for (const OnItsWay& it : due) {
      fleet_[it.to]->Borrow(kService, it.arrivals, it.asked_at);
    }
    loans_.erase(due.begin(), due.end());
  }

  const SharedRetryBudgetOptions options_;
  const base::RandomSource random_;
  base::Time now_ = kNow;
  Bound bound_;
  std::vector<std::unique_ptr<SharedRetryBudget>> fleet_;
  std::vector<Held> held_;
  std::vector<OnItsWay> loans_;
  std::size_t extra_ = 0;
};

// The load this answers: engines that restart in series and reject what they
// are to read, at all instances at once. In no window do the instances together
// exceed the fleet's bound, whatever the order of requests, retries, readings
// and loans, and if every reading under way is rejected.
RC_GTEST_PROP(SharedRetryBudget, TheFleetKeepsToItsBoundInEveryWindow, ()) {
  const int instances = *rc::gen::element(1, 2, 7, 40, 300);
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  LendingFleet fleet(instances, {.ratio = 0.2, .allowance = 20},
                     base::SeededRandom(seed));
  for (int step = 0; step < 2000; ++step) {
    fleet.Step();
    RC_ASSERT(fleet.KeepsToItsBound());
  }
}

// Without what requests earn no margin is needed: the shares add up to the
// allowance, lent or not.
RC_GTEST_PROP(SharedRetryBudget, LoansNeverAddToTheAllowance, ()) {
  const int instances = *rc::gen::element(2, 7, 40, 300);
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  LendingFleet fleet(instances,
                     {.ratio = 0,
                      .allowance = 2.0 * instances,
                      .max_fraction = 1,
                      .max_retry_fraction = 1},
                     base::SeededRandom(seed));
  for (int step = 0; step < 2000; ++step) {
    fleet.Step();
    RC_ASSERT(fleet.KeepsToItsBound());
  }
}

// The load this answers: the platform's balancer sends some instances several
// times the requests of others, and before caches are warm each has to read
// apart at once. Of 295 instances and 630 retries, one with its equal share
// could read two prompts at a time (0.95 x 630 / 295 = 2.0); 20 is what it has
// under way at ten requests a second and two seconds a reading.
TEST(SharedRetryBudget, APressedInstanceReadsWithWhatItsZoneCanSpare) {
  constexpr int kInstances = 295;
  constexpr int kZone = 59;
  constexpr int kReadings = 20;
  const SharedRetryBudgetOptions options{.ratio = 0.2, .allowance = 630};
  std::vector<std::unique_ptr<SharedRetryBudget>> others;
  for (int i = 0; i < kZone - 1; ++i) {
    others.push_back(std::make_unique<SharedRetryBudget>(options));
  }
  std::size_t next = 0;
  SharedRetryBudget* self = nullptr;
  SharedRetryBudget pressed(
      options, [&](const base::ServiceName& service, double missing) {
        SharedRetryBudget& lender = *others[next++ % others.size()];
        self->Borrow(service, lender.Lend(service, missing, kInstances, kNow),
                     kNow);
      });
  self = &pressed;
  int held = 0;
  for (int i = 0; i < 3 * kReadings && held < kReadings; ++i) {
    held += HoldReading(pressed, kInstances, kNow) ? 1 : 0;
  }
  EXPECT_EQ(held, kReadings);
}

}  // namespace
}  // namespace lynxglade::request::passthrough
