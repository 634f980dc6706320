#include "request/passthrough/shared_retry_budget.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace lynxglade::request::passthrough {

SharedRetryBudget::SharedRetryBudget(SharedRetryBudgetOptions options,
                                     OnShortfall on_shortfall,
                                     base::Time started_at)
    : options_(options),
      on_shortfall_(std::move(on_shortfall)),
      started_at_(started_at) {}

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
  if (use == ArrivalPurpose::kFirstPrefill) {
    account.prefilled_at = now;
  }
  const double borrowed = Borrowed(account, now);
  const double own = std::max(
      OwnRemaining(account, FractionFor(account, use, now), instances, now),
      0.0);
  if (borrowed + own < arrivals) {
    if (on_shortfall_) {
      on_shortfall_(service, arrivals - borrowed - own);
    }
    return std::nullopt;
  }
  ReservedArrivals reserved;
  reserved.reserved_at = now;
  if (!account.loans.empty()) {
    reserved.borrowed_until = account.loans.front().until;
  }
  reserved.borrowed = std::min<double>(borrowed, arrivals);
  reserved.own = arrivals - reserved.borrowed;
  SpendLoans(account, reserved.borrowed);
  account.reserved += reserved.own;
  ++account.reservations;
  return reserved;
}

void SharedRetryBudget::SpendLoans(Account& account, double arrivals) {
  for (Loan& loan : account.loans) {
    const double used = std::min(loan.arrivals, arrivals);
    loan.arrivals -= used;
    arrivals -= used;
  }
  std::erase_if(account.loans, [](const Loan& it) { return it.arrivals <= 0; });
}

void SharedRetryBudget::Release(const base::ServiceName& service,
                                const ReservedArrivals& reserved,
                                base::Time now) {
  Account& account = Find(service);
  DropReservation(account, reserved);
  if (reserved.borrowed > 0 && reserved.borrowed_until > now) {
    AddLoan(account, {reserved.borrowed_until, reserved.borrowed});
  }
}

void SharedRetryBudget::Charge(const base::ServiceName& service,
                               const ReservedArrivals& reserved) {
  Account& account = Find(service);
  DropReservation(account, reserved);
  if (reserved.own > 0) {
    account.spent.Add(reserved.own, reserved.reserved_at);
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
  if (IsStarting(now)) {
    return 0;
  }
  Account& account = Find(service);
  const double lent = std::min(
      std::max(wanted, options_.min_loan),
      OwnRemaining(account, FractionFor(account, ArrivalPurpose::kRetry, now),
                   instances, now));
  if (lent < options_.min_loan) {
    return 0;
  }
  account.lent.Add(lent, now);
  return lent;
}

void SharedRetryBudget::Borrow(const base::ServiceName& service,
                               double arrivals,
                               base::Time requested_at) {
  AddLoan(Find(service), {requested_at + options_.loan_ttl, arrivals});
}

void SharedRetryBudget::DropReservation(Account& account,
                                        const ReservedArrivals& reserved) {
  account.reserved -= reserved.own;
  --account.reservations;
  if (account.reservations == 0) {
    // Clears rounding errors.
    account.reserved = 0;
  }
}

SharedRetryBudget::Account& SharedRetryBudget::Find(
    const base::ServiceName& service) {
  return accounts_.try_emplace(service, options_).first->second;
}

bool SharedRetryBudget::IsStarting(base::Time now) const noexcept {
  return now - started_at_ <= StartPhase();
}

double SharedRetryBudget::Limit(base::Time now) const noexcept {
  if (IsStarting(now)) {
    return start_confirmed_ ? options_.max_start_fraction
                            : options_.max_restart_fraction;
  }
  return marked_ ? options_.max_marked_fraction : options_.max_fraction;
}

double SharedRetryBudget::FractionFor(const Account& account,
                                      ArrivalPurpose use,
                                      base::Time now) const noexcept {
  const bool prefills =
      account.prefilled_at && now - *account.prefilled_at <= options_.window;
  return use == ArrivalPurpose::kRetry && prefills
             ? options_.max_retry_part * Limit(now)
             : Limit(now);
}

bool SharedRetryBudget::NeedsMark(int instances, base::Time now) {
  for (auto& [service, account] : accounts_) {
    if (OwnRemaining(account, options_.max_fraction, instances, now) < 0) {
      high_use_at_ = now;
    }
  }
  return now - high_use_at_ <= StartPhase();
}

double SharedRetryBudget::Share(Account& account,
                                int instances,
                                base::Time now) const {
  const double earned = options_.ratio * account.requests.Total(now);
  const double granted = options_.allowance / std::max(instances, 1);
  // An unconfirmed start may be one of a series of short lifetimes.
  const bool accrues = IsStarting(now) && !start_confirmed_;
  const double accrued = accrues
                             ? std::min(base::ToFineMillis(now - started_at_) /
                                            base::ToFineMillis(options_.window),
                                        1.0)
                             : 1;
  return earned + accrued * granted;
}

double SharedRetryBudget::OwnRemaining(Account& account,
                                       double fraction,
                                       int instances,
                                       base::Time now) const {
  return fraction * Share(account, instances, now) - account.spent.Total(now) -
         account.lent.Total(now) - account.reserved;
}

RetryBudgetUse SharedRetryBudget::Use(const base::ServiceName& service,
                                      int instances,
                                      base::Time now) {
  return UseOf(Find(service), instances, now);
}

RetryBudgetUse SharedRetryBudget::Use(int instances, base::Time now) {
  RetryBudgetUse sum;
  for (auto& [service, account] : accounts_) {
    const RetryBudgetUse use = UseOf(account, instances, now);
    sum.share += use.share;
    sum.spent += use.spent;
    sum.lent += use.lent;
    sum.reserved += use.reserved;
    sum.borrowed += use.borrowed;
  }
  return sum;
}

RetryBudgetUse SharedRetryBudget::UseOf(Account& account,
                                        int instances,
                                        base::Time now) const {
  return {.share = Share(account, instances, now),
          .spent = account.spent.Total(now),
          .lent = account.lent.Total(now),
          .reserved = account.reserved,
          .borrowed = Borrowed(account, now)};
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
