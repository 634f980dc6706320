#include "request/passthrough/shared_retry_budget.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace lynxglade::request::passthrough {

SharedRetryBudget::SharedRetryBudget(SharedRetryBudgetOptions options,
                                     OnShortfall on_short)
    : options_(options), on_short_(std::move(on_short)) {}

void SharedRetryBudget::OnRequest(const base::ServiceName& service,
                                  base::Time now) {
  Find(service).requests.Add(1, now);
}

// Spends loans first, as they expire and the own share does not.
std::optional<ReservedArrivals> SharedRetryBudget::TryReserve(
    const base::ServiceName& service,
    int arrivals,
    ArrivalPurpose use,
    int instances,
    base::Time now) {
  Account& account = Find(service);
  const double borrowed = Borrowed(account, now);
  const double own =
      std::max(OwnRemaining(account, FractionFor(use), instances, now), 0.0);
  if (borrowed + own < arrivals) {
    if (on_short_) {
      on_short_(service, arrivals - borrowed - own);
    }
    return std::nullopt;
  }
  ReservedArrivals held;
  held.reserved_at = now;
  if (!account.loans.empty()) {
    held.borrowed_until = account.loans.front().until;
  }
  held.borrowed = std::min<double>(borrowed, arrivals);
  held.own = arrivals - held.borrowed;
  SpendLoans(account, held.borrowed);
  account.held += held.own;
  ++account.reservations;
  return held;
}

void SharedRetryBudget::SpendLoans(Account& account, double arrivals) {
  for (Loan& loan : account.loans) {
    const double part = std::min(loan.arrivals, arrivals);
    loan.arrivals -= part;
    arrivals -= part;
  }
  std::erase_if(account.loans, [](const Loan& it) { return it.arrivals <= 0; });
}

void SharedRetryBudget::Release(const base::ServiceName& service,
                                const ReservedArrivals& held,
                                base::Time now) {
  Account& account = Find(service);
  DropReservation(account, held);
  if (held.borrowed > 0 && held.borrowed_until > now) {
    AddLoan(account, {held.borrowed_until, held.borrowed});
  }
}

void SharedRetryBudget::Charge(const base::ServiceName& service,
                               const ReservedArrivals& held) {
  Account& account = Find(service);
  DropReservation(account, held);
  if (held.own > 0) {
    account.spent.Add(held.own, held.reserved_at);
  }
}

void SharedRetryBudget::ChargeLate(const base::ServiceName& service,
                                   base::Time now) {
  Find(service).spent.Add(1, now);
}

double SharedRetryBudget::Lend(const base::ServiceName& service,
                               double wanted,
                               int instances,
                               base::Time now) {
  Account& account = Find(service);
  const double lent = std::min(
      std::max(wanted, options_.min_loan),
      OwnRemaining(account, options_.max_retry_fraction, instances, now));
  if (lent < options_.min_loan) {
    return 0;
  }
  account.lent.Add(lent, now);
  return lent;
}

void SharedRetryBudget::Borrow(const base::ServiceName& service,
                               double arrivals,
                               base::Time asked_at) {
  AddLoan(Find(service), {asked_at + options_.loan_ttl, arrivals});
}

void SharedRetryBudget::DropReservation(Account& account,
                                        const ReservedArrivals& held) {
  account.held -= held.own;
  --account.reservations;
  if (account.reservations == 0) {
    // Clears rounding errors.
    account.held = 0;
  }
}

SharedRetryBudget::Account& SharedRetryBudget::Find(
    const base::ServiceName& service) {
  return accounts_.try_emplace(service, options_).first->second;
}

double SharedRetryBudget::FractionFor(ArrivalPurpose use) const noexcept {
  return use == ArrivalPurpose::kFirstPrefill ? options_.max_fraction
                                              : options_.max_retry_fraction;
}

double SharedRetryBudget::OwnRemaining(Account& account,
                                       double part,
                                       int instances,
                                       base::Time now) const {
  const double earned = options_.ratio * account.requests.Total(now);
  const double granted = options_.allowance / std::max(instances, 1);
  return part * (earned + granted) - account.spent.Total(now) -
         account.lent.Total(now) - account.held;
}

double SharedRetryBudget::Borrowed(Account& account, base::Time now) {
  std::erase_if(account.loans,
                [now](const Loan& it) { return it.until <= now; });
  return std::accumulate(
      account.loans.begin(), account.loans.end(), 0.0,
      [](double sum, const Loan& it) { return sum + it.arrivals; });
}

void SharedRetryBudget::AddLoan(Account& account, const Loan& loan) {
  const auto later =
      std::ranges::upper_bound(account.loans, loan.until, {}, &Loan::until);
  account.loans.insert(later, loan);
}

}  // namespace lynxglade::request::passthrough
