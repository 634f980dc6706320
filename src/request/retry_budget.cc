#include "request/retry_budget.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace lynxglade::request {

namespace {

constexpr double kOneAttempt = 1.0;
// Doublings after which the bound of the backoff is reached anyway.
constexpr int kMaxDoublings = 20;

}  // namespace

RetryBudget::RetryBudget(RetryBudgetOptions options) : options_(options) {}

void RetryBudget::OnFirstAttempt(const base::ContractId& contract,
                                 const base::TargetId& target,
                                 base::Time now) {
  const std::scoped_lock lock(mutex_);
  const auto deposit = [this](Bucket& bucket, double capacity) {
    bucket.tokens = std::min(bucket.tokens + options_.ratio, capacity);
  };
  deposit(TouchProcess(now), options_.capacity * options_.process_factor);
  deposit(Touch(contracts_, contract, now), options_.capacity);
  deposit(Touch(targets_, target, now), options_.capacity);
}

bool RetryBudget::TryTake(ExtraAttempt kind,
                          const base::ContractId& contract,
                          const base::TargetId& target,
                          base::Time now,
                          RetryDenial* denial) {
  const std::scoped_lock lock(mutex_);
  const double need =
      kOneAttempt + (kind == ExtraAttempt::kHedge ? options_.hedge_reserve : 0);
  Bucket& process = TouchProcess(now);
  if (process.tokens < need) {
    *denial = RetryDenial::kProcessBudget;
    return false;
  }
  Bucket& of_contract = Touch(contracts_, contract, now);
  if (of_contract.tokens < need) {
    *denial = RetryDenial::kContractBudget;
    return false;
  }
  Bucket& of_target = Touch(targets_, target, now);
  if (of_target.tokens < need) {
    *denial = RetryDenial::kTargetBudget;
    return false;
  }
  process.tokens -= kOneAttempt;
  of_contract.tokens -= kOneAttempt;
  of_target.tokens -= kOneAttempt;
  return true;
}

RetryBudget::Bucket& RetryBudget::TouchProcess(base::Time now) {
  if (!process_) {
    process_ = Bucket{options_.initial * options_.process_factor, now};
  }
  Fill(*process_, options_.capacity * options_.process_factor, now);
  return *process_;
}

void RetryBudget::Fill(Bucket& bucket,
                       double capacity,
                       base::Time now) const noexcept {
  // The trickle stops at the initial content: idle time saves up no storm.
  const double seconds =
      std::max(0.0, std::chrono::duration<double>(now - bucket.filled).count());
  bucket.filled = std::max(bucket.filled, now);
  if (bucket.tokens < options_.initial) {
    bucket.tokens = std::min(bucket.tokens + seconds * options_.refill_per_s,
                             options_.initial);
  }
  bucket.tokens = std::min(bucket.tokens, capacity);
}

template <typename Map>
RetryBudget::Bucket& RetryBudget::Touch(Map& buckets,
                                        const typename Map::key_type& key,
                                        base::Time now) const {
  if (!buckets.contains(key) && buckets.size() >= options_.max_keys) {
    buckets.erase(std::ranges::min_element(
        buckets, {}, [](const auto& it) { return it.second.filled; }));
  }
  const auto [it, is_new] =
      buckets.try_emplace(key, Bucket{options_.initial, now});
  if (!is_new) {
    Fill(it->second, options_.capacity, now);
  }
  return it->second;
}

RetryPolicy::RetryPolicy(RetryPolicyOptions options, base::RandomSource random)
    : options_(options), random_(std::move(random)) {}

std::optional<base::Duration> RetryPolicy::NextDelay(
    int attempts_made,
    base::Time now,
    base::Time deadline,
    RetryDenial* denial) const {
  if (attempts_made >= options_.max_attempts) {
    *denial = RetryDenial::kAttemptsUsed;
    return std::nullopt;
  }
  const int doublings = std::clamp(attempts_made - 1, 0, kMaxDoublings);
  const base::Duration bound =
      std::min(options_.base_backoff * (std::int64_t{1} << doublings),
               options_.max_backoff);
  const auto nanos = static_cast<std::uint64_t>(bound.count());
  const base::Duration delay(
      static_cast<std::int64_t>(base::UniformBelow(random_, nanos + 1)));
  if (now + delay + options_.min_remaining > deadline) {
    *denial = RetryDenial::kDeadlineTooNear;
    return std::nullopt;
  }
  return delay;
}

std::string_view ToString(RetryDenial denial) noexcept {
  switch (denial) {
    case RetryDenial::kAttemptsUsed:
      return "attempts_used";
    case RetryDenial::kDeadlineTooNear:
      return "deadline_too_near";
    case RetryDenial::kProcessBudget:
      return "process_budget";
    case RetryDenial::kContractBudget:
      return "contract_budget";
    case RetryDenial::kTargetBudget:
      break;
  }
  return "target_budget";
}

}  // namespace lynxglade::request
