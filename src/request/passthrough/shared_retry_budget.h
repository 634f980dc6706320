// This instance's share of the retry budget common to all instances, and the
// loans of parts of such shares between instances.
//
// The platform counts, over all instances, the arrivals at a service's targets
// beyond the first of each request, and bounds them in a sliding window to
// `ratio` times the service's requests plus an allowance. An instance may spend
// what its own requests earn plus an equal part of the allowance. Where there
// are many instances that part is small while load differs, so instances lend
// each other what they do not need.
//
// An instance that starts again does not know what its earlier lifetime spent
// and lent. Until no window can contain any of that, it uses a part of its
// share that the earlier lifetime left: a large one if that is known to have
// spent little, and a small one, of an allowance that accrues over a window, if
// it may have spent much or had just started itself. To spend much, an instance
// needs a mark in the store that its next lifetime finds
// (process/peers/spending_mark). The sum over all lifetimes thus keeps to the
// budget, however often and whichever instances start again.
//
// A loan is deducted from the lender from when it is granted until no window
// can contain an arrival that it paid for. Shares together thus never exceed
// the budget, even if loans are lost or late; a loan that does not arrive is
// not spent. A repeated loan message must not reach Borrow() twice.
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
  // The platform's bound for all instances together.
  double ratio = 0.2;
  double allowance = 50;
  base::Duration window = std::chrono::seconds(10);
  // Fraction of its share that an instance uses at most: without a mark in the
  // store, and with one.
  double max_fraction = 0.4;
  double max_marked_fraction = 0.75;
  // The same after its start, for as long as a window can contain an arrival
  // that its earlier lifetime paid for: if that had no mark, and otherwise. The
  // fractions of successive lifetimes add up to less than 1; the rest is a
  // margin for instances whose windows or instance counts differ.
  double max_start_fraction = 0.3;
  double max_restart_fraction = 0.2;
  // Part of these that retries and loans may use where prompts are prefilled
  // separately. The rest is kept for first prefills, which rarely count against
  // the budget, and without which long prompts are rejected.
  double max_retry_part = 0.7;
  // A loan may be spent until this long after it was requested. A longer time
  // covers more prefills of a prompt, but the loan is deducted from the lender
  // for this time plus `window`.
  base::Duration loan_ttl = std::chrono::seconds(5);
  // Smallest loan; an instance that asks for less gets this much.
  double min_loan = 0.1;
};

// Arrivals reserved until it is known whether they count as extra arrivals.
struct ReservedArrivals {
  // From the instance's own share, and from loans.
  double own = 0;
  double borrowed = 0;
  // When the first of these loans expires.
  base::Time borrowed_until{};
  base::Time reserved_at{};
};

// How much of a share is used, in arrivals.
struct RetryBudgetUse {
  // What this instance may use of the budget now; all of the rest counts
  // against it, but for loans of others.
  double share = 0;
  // In the last window, and lent to others in the time for which that counts.
  double spent = 0;
  double lent = 0;
  double reserved = 0;
  // Loans of others that are not spent.
  double borrowed = 0;
};

// What arrivals are for.
enum class ArrivalPurpose {
  // A request is sent again. Counts if it reaches a target.
  kRetry,
  // The first prefill of a prompt. Counts only if it is rejected or not
  // answered.
  kFirstPrefill,
};

// Not thread-safe: used on the event loop only.
class SharedRetryBudget {
 public:
  // `missing`: arrivals that were short for a reservation.
  using OnShortfall =
      std::function<void(const base::ServiceName& service, double missing)>;

  // `on_shortfall` may be empty; it is called for every failed reservation.
  // Loans are not requested earlier: they would expire unspent but stay
  // deducted from their lenders for much longer.
  // `started_at`: when this instance started; the default is long ago.
  explicit SharedRetryBudget(SharedRetryBudgetOptions options,
                             OnShortfall on_shortfall = {},
                             base::Time started_at = {});
  SharedRetryBudget(const SharedRetryBudget&) = delete;
  SharedRetryBudget& operator=(const SharedRetryBudget&) = delete;

  // Whether the share is still reduced after the start.
  bool IsStarting(base::Time now) const noexcept;
  // How long that is.
  base::Duration StartPhase() const noexcept {
    return options_.window + options_.loan_ttl;
  }
  // The earlier lifetime of this instance had no mark when this one started.
  void ConfirmStart() noexcept { start_confirmed_ = true; }
  // Whether this instance has a mark in the store.
  void SetMarked(bool marked) noexcept { marked_ = marked; }
  // Whether a window may contain more than an instance without a mark may use.
  bool NeedsMark(int instances, base::Time now);

  // Counts a request for the service received from a caller.
  void OnRequest(const base::ServiceName& service, base::Time now);
  // Reserves `arrivals`; nothing if own share and loans do not cover them. Each
  // reservation must be either released or charged. `instances`, here and
  // below: those that may be up, including this one.
  std::optional<ReservedArrivals> TryReserve(const base::ServiceName& service,
                                             int arrivals,
                                             ArrivalPurpose use,
                                             int instances,
                                             base::Time now);
  // Returns a reservation whose arrivals do not count.
  void Release(const base::ServiceName& service,
               const ReservedArrivals& reserved,
               base::Time now);
  // Spends a reservation; its arrivals count from when they were reserved.
  void Charge(const base::ServiceName& service,
              const ReservedArrivals& reserved);
  // Counts an arrival whose reservation was already released.
  void ChargeLate(const base::ServiceName& service, base::Time now);

  // Grants up to `wanted` arrivals, at least `min_loan`, to another instance
  // and returns how many; 0 if less is left. Nothing is kept back, as this
  // instance can borrow itself. After a start it lends nothing: a
  // loan counts for longer than it can be spent, and if all start at once,
  // loans to each other would use up what all have.
  double Lend(const base::ServiceName& service,
              double wanted,
              int instances,
              base::Time now);
  // For logs and metrics. Without `service`: of all services
  // together.
  RetryBudgetUse Use(const base::ServiceName& service,
                     int instances,
                     base::Time now);
  RetryBudgetUse Use(int instances, base::Time now);

  // Adds a loan from another instance that was requested at `requested_at`.
  void Borrow(const base::ServiceName& service,
              double arrivals,
              base::Time requested_at);

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
    // Charged to the own share.
    SlidingWindowSum spent;
    SlidingWindowSum lent;
    // Reserved of the own share, and the number of open reservations.
    double reserved = 0;
    int reservations = 0;
    // Whether prompts are prefilled separately.
    std::optional<base::Time> prefilled_at;
    // Unspent loans, ordered by expiry.
    std::vector<Loan> loans;
  };

  Account& Find(const base::ServiceName& service);
  RetryBudgetUse UseOf(Account& account, int instances, base::Time now) const;
  // What the instance may use of the budget, before any part is kept back.
  double Share(Account& account, int instances, base::Time now) const;
  // What remains of the fraction `fraction` of the own share; negative if more
  // was spent before, or the share has shrunk.
  double OwnRemaining(Account& account,
                      double fraction,
                      int instances,
                      base::Time now) const;
  static double Borrowed(Account& account, base::Time now);
  double Limit(base::Time now) const noexcept;
  double FractionFor(const Account& account,
                     ArrivalPurpose use,
                     base::Time now) const noexcept;
  static void SpendLoans(Account& account, double arrivals);
  static void AddLoan(Account& account, const Loan& loan);
  static void DropReservation(Account& account,
                              const ReservedArrivals& reserved);
  const SharedRetryBudgetOptions options_;
  const OnShortfall on_shortfall_;
  const base::Time started_at_;
  bool start_confirmed_ = false;
  bool marked_ = false;
  base::Time high_use_at_{};
  std::map<base::ServiceName, Account> accounts_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_SHARED_RETRY_BUDGET_H_
