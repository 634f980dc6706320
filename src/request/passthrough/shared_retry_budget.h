// An instance's share of the retries that the whole fleet of instances may
// make, and what instances lend each other of their shares.
//
// The platform counts, over all instances, the arrivals at a service's targets
// beyond the first of each request, in a sliding window: `ratio` times the
// requests for the service plus an allowance. An instance may spend what its
// own requests earn, plus its part of the allowance. With 295 instances that
// part is two arrivals, and some instances are sent several times the requests
// of others; so what one does not need it lends to one that does.
//
// A loan is the lender's from the moment it gives it until no window can
// contain an arrival that it paid for. So the shares are never exceeded
// together, whatever is lost, late or repeated between instances: a loan that
// does not arrive is spent by nobody.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_SHARED_RETRY_BUDGET_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_SHARED_RETRY_BUDGET_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "request/passthrough/sliding_window_sum.h"

namespace lynxglade::request::passthrough {

struct SharedRetryBudgetOptions {
  // Of the fleet, as the platform states it.
  double ratio = 0.2;
  double allowance = 50;
  base::Duration window = std::chrono::seconds(10);
  // The part of both that is spent, so that instances whose windows or counts
  // disagree do not exceed the fleet's bound together.
  double max_fraction = 0.95;
  // Of which retries and loans may take this part of both. The rest is left for
  // first readings, which mostly cost nothing, and without which long prompts
  // are refused.
  double max_retry_fraction = 0.8;
  // A loan is spent within so long of being asked for, or not at all. Longer
  // lasts for more reads of a prompt; shorter is given back sooner, as a loan
  // binds its lender for this and a window.
  base::Duration loan_ttl = std::chrono::seconds(5);
  // Smaller loans are not worth a message: who misses less is lent this.
  double min_loan = 0.1;
};

// Arrivals that are set aside until it is known whether they are beyond the
// first of their request.
struct ReservedArrivals {
  // Of the instance's own share, and of loans.
  double own = 0;
  double borrowed = 0;
  // When the first of these loans ends.
  base::Time borrowed_until{};
  base::Time reserved_at{};
};

// What arrivals are for.
enum class ArrivalPurpose {
  // A request is sent again; these count if they reach a target.
  kRetry,
  // The first reading of a prompt, which counts only if it is rejected.
  kFirstPrefill,
};

// Not thread-safe: lives on the event loop.
class SharedRetryBudget {
 public:
  // `missing` arrivals more would have paid for something.
  using OnShortfall =
      std::function<void(const base::ServiceName& service, double missing)>;

  // `on_short` may be empty; it is called whenever something could not be paid
  // for. Loans that are asked for before they are needed end unspent, while
  // they bind their lenders for three times as long: where each instance asked
  // as soon as it had little, the fleet's allowance was gone in four seconds.
  explicit SharedRetryBudget(SharedRetryBudgetOptions options,
                             OnShortfall on_short = {});
  SharedRetryBudget(const SharedRetryBudget&) = delete;
  SharedRetryBudget& operator=(const SharedRetryBudget&) = delete;

  // A request for the service was taken from a caller.
  void OnRequest(const base::ServiceName& service, base::Time now);
  // Sets so many arrivals aside; nothing if the share and what was borrowed do
  // not cover them. What is held is either released or charged. `instances`,
  // here and below: those that may be up, this one included.
  std::optional<ReservedArrivals> TryReserve(const base::ServiceName& service,
                                             int arrivals,
                                             ArrivalPurpose use,
                                             int instances,
                                             base::Time now);
  // They do not count.
  void Release(const base::ServiceName& service,
               const ReservedArrivals& held,
               base::Time now);
  // They count, from when they were held.
  void Charge(const base::ServiceName& service, const ReservedArrivals& held);
  // An arrival that counts although it was not held any more.
  void ChargeLate(const base::ServiceName& service, base::Time now);

  // Arrivals lent to another instance that misses `wanted`; 0 if this one has
  // none left. It keeps nothing back: it can borrow itself when it has to, and
  // what 295 instances keep for themselves is missing where it is needed.
  double Lend(const base::ServiceName& service,
              double wanted,
              int instances,
              base::Time now);
  // Another instance lent so much, in answer to a question of that time.
  void Borrow(const base::ServiceName& service,
              double arrivals,
              base::Time asked_at);

 private:
  struct Loan {
    base::Time until{};
    double arrivals = 0;
  };
  struct Account {
    explicit Account(const SharedRetryBudgetOptions& options)
        : requests(options.window),
          spent(options.window),
          lent(options.window + options.loan_ttl) {}

    SlidingWindowSum requests;
    // Paid from the own share.
    SlidingWindowSum spent;
    SlidingWindowSum lent;
    // Of the own share; and arrivals held in all.
    double held = 0;
    int reservations = 0;
    // Left of what was borrowed, those that end first in front.
    std::vector<Loan> loans;
  };

  Account& Find(const base::ServiceName& service);
  // Left of the own share if so much of it may be spent; below 0 if less was
  // left of it before, or the share has shrunk.
  double OwnRemaining(Account& account,
                      double part,
                      int instances,
                      base::Time now) const;
  static double Borrowed(Account& account, base::Time now);
  double FractionFor(ArrivalPurpose use) const noexcept;
  static void SpendLoans(Account& account, double arrivals);
  static void AddLoan(Account& account, const Loan& loan);
  static void DropReservation(Account& account, const ReservedArrivals& held);
  const SharedRetryBudgetOptions options_;
  const OnShortfall on_short_;
  std::map<base::ServiceName, Account> accounts_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_SHARED_RETRY_BUDGET_H_
