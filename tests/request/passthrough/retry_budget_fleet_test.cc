// The retry budget as a sum over instances that borrow from each other and
// start again.
#include <algorithm>
#include <cstdint>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/random.h"
#include "bench/retries/retry_bound.h"
#include "request/passthrough/budget_calls.h"
#include "request/passthrough/shared_retry_budget.h"

namespace lynxglade::request::passthrough {
namespace {

using std::chrono::milliseconds;

// Instances that take, reserve and lend in random order; loan requests and
// loans may be late, or the loan lost.
class LendingFleet {
 public:
  LendingFleet(int instances,
               const SharedRetryBudgetOptions& options,
               base::RandomSource random,
               bool restarts = false)
      : options_(options),
        random_(std::move(random)),
        restarts_(restarts),
        bound_({options.ratio, options.allowance, options.window}) {
    for (int i = 0; i < instances; ++i) {
      fleet_.push_back(std::make_unique<SharedRetryBudget>(options));
    }
  }

  void Step() {
    now_ += milliseconds(base::UniformBelow(random_, 60));
    const int at = Random(static_cast<int>(fleet_.size()));
    if (restarts_ && Random(40) == 0) {
      Restart(at);
    }
    UpdateMark(at);
    const auto act = base::UniformBelow(random_, 7);
    if (act == 0) {
      fleet_[at]->OnRequest(kService, now_);
      bound_.OnRequest(now_);
    } else if (act == 1) {
      Retry(at);
    } else if (act == 2) {
      Reserve(at);
    } else if (act == 3) {
      ChargeRandom();
    } else {
      Lend(at);
    }
    Deliver();
  }
  // Reservations count as extra arrivals, as each of them may be rejected.
  double MostUsed() { return bound_.MostUsed().Fraction(); }
  std::size_t extra() const { return extra_; }

 private:
  struct Reservation {
    int instance = 0;
    ReservedArrivals arrival;
  };
  struct LoanInTransit {
    base::Time arrives{};
    base::Time requested_at{};
    int to = 0;
    double arrivals = 0;
  };

  int Size() const { return static_cast<int>(fleet_.size()); }
  int Random(int n) const {
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
  void Reserve(int at) {
    if (const auto reserved = ReservePrefill(*fleet_[at], Size(), now_)) {
      CountExtra();
      reservations_.push_back({at, *reserved});
    }
  }
  // Marks come and go at any time at which the daemon allows it.
  void UpdateMark(int at) {
    SharedRetryBudget& budget = *fleet_[at];
    if (budget.IsStarting(now_)) {
      return;
    }
    const bool marked = budget.NeedsMark(Size(), now_) || Random(3) == 0;
    budget.SetMarked(marked);
    if (marked) {
      marked_.insert(at);
    } else {
      marked_.erase(at);
    }
  }
  // The new lifetime knows nothing of reservations and loans. What is reserved
  // has been counted, and loans that others have stay good.
  void Restart(int at) {
    fleet_[at] = std::make_unique<SharedRetryBudget>(
        options_, SharedRetryBudget::OnShortfall(), now_);
    if (!marked_.contains(at)) {
      fleet_[at]->ConfirmStart();
    }
    marked_.insert(at);
    std::erase_if(reservations_,
                  [at](const Reservation& it) { return it.instance == at; });
    std::erase_if(loans_,
                  [at](const LoanInTransit& it) { return it.to == at; });
  }
  // A reserved arrival is rejected, at any time after it was sent.
  void ChargeRandom() {
    if (reservations_.empty()) {
      return;
    }
    const int i = Random(static_cast<int>(reservations_.size()));
    fleet_[reservations_[i].instance]->Charge(kService,
                                              reservations_[i].arrival);
    reservations_.erase(reservations_.begin() + i);
  }
  // A loan request sent up to three seconds ago reaches a lender.
  void Lend(int to) {
    const int from = Random(Size());
    if (from == to) {
      return;
    }
    const base::Time requested_at = now_ - milliseconds(Random(3000));
    const double lent = fleet_[from]->Lend(kService, 3, Size(), now_);
    const int copies_lost = Random(3);
    if (lent > 0 && copies_lost > 0) {
      loans_.push_back(
          {now_ + milliseconds(Random(8000)), requested_at, to, lent});
    }
  }
  void Deliver() {
    const auto due = std::ranges::partition(
        loans_, [this](const LoanInTransit& it) { return it.arrives > now_; });
    for (const LoanInTransit& it : due) {
      fleet_[it.to]->Borrow(kService, it.arrivals, it.requested_at);
    }
    loans_.erase(due.begin(), due.end());
  }

  const SharedRetryBudgetOptions options_;
  const base::RandomSource random_;
  const bool restarts_;
  base::Time now_ = kNow;
  bench::RetryBound bound_;
  std::vector<std::unique_ptr<SharedRetryBudget>> fleet_;
  // Instances with a mark.
  std::set<int> marked_;
  std::vector<Reservation> reservations_;
  std::vector<LoanInTransit> loans_;
  std::size_t extra_ = 0;
};

// Guards against engines that restart in turn and reject prefills of all
// instances at once: in no window do the instances together exceed the bound,
// for any order of events and even if every pending prefill is rejected.
RC_GTEST_PROP(SharedRetryBudget, InstancesTogetherKeepToTheBound, ()) {
  const int instances = *rc::gen::element(1, 2, 7, 40, 300);
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  LendingFleet fleet(instances, {.ratio = 0.2, .allowance = 20},
                     base::SeededRandom(seed));
  for (int step = 0; step < 2000; ++step) {
    fleet.Step();
  }
  RC_ASSERT(fleet.MostUsed() <= 1);
}

// Guards against BUDGET: the same while instances restart at random, each time
// without memory of what they spent, lent and reserved.
RC_GTEST_PROP(SharedRetryBudget, InstancesKeepToTheBoundOverRestarts, ()) {
  const int instances = *rc::gen::element(1, 2, 7, 40, 300);
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  LendingFleet fleet(instances, {.ratio = 0.2, .allowance = 20},
                     base::SeededRandom(seed), /*restarts=*/true);
  for (int step = 0; step < 2000; ++step) {
    fleet.Step();
  }
  RC_ASSERT(fleet.MostUsed() <= 1);
}

// Without requests no safety margin is needed: the shares add up to the
// budget, lent or not.
RC_GTEST_PROP(SharedRetryBudget, LoansDoNotIncreaseTheAllowance, ()) {
  const int instances = *rc::gen::element(2, 7, 40, 300);
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  LendingFleet fleet(instances,
                     {.ratio = 0,
                      .allowance = 2.0 * instances,
                      .max_fraction = 1,
                      .max_retry_part = 1},
                     base::SeededRandom(seed));
  for (int step = 0; step < 2000; ++step) {
    fleet.Step();
  }
  RC_ASSERT(fleet.MostUsed() <= 1);
}

}  // namespace
}  // namespace lynxglade::request::passthrough
