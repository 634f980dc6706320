#include "request/retry_budget.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace lynxglade::request {

namespace {

constexpr double kOneAttempt = 1.0;
// Limits the exponent, so that the shift cannot overflow.
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
  deposit(ProcessBucket(now), options_.capacity * options_.process_factor);
  deposit(FindOrCreateBucket(contracts_, contract, now), options_.capacity);
  deposit(FindOrCreateBucket(targets_, target, now), options_.capacity);
}

bool RetryBudget::TryTake(ExtraAttempt kind,
                          const base::ContractId& contract,
                          const base::TargetId& target,
                          base::Time now,
                          RetryDenial* denial) {
  const std::scoped_lock lock(mutex_);
  const double need =
      kOneAttempt + (kind == ExtraAttempt::kHedge ? options_.hedge_reserve : 0);
  Bucket& process_bucket = ProcessBucket(now);
  if (process_bucket.tokens < need) {
    *denial = RetryDenial::kProcessBudget;
    return false;
  }
  Bucket& contract_bucket = FindOrCreateBucket(contracts_, contract, now);
  if (contract_bucket.tokens < need) {
    *denial = RetryDenial::kContractBudget;
    return false;
  }
  Bucket& target_bucket = FindOrCreateBucket(targets_, target, now);
  if (target_bucket.tokens < need) {
    *denial = RetryDenial::kTargetBudget;
    return false;
  }
  process_bucket.tokens -= kOneAttempt;
  contract_bucket.tokens -= kOneAttempt;
  target_bucket.tokens -= kOneAttempt;
  return true;
}

RetryBudget::Bucket& RetryBudget::ProcessBucket(base::Time now) {
  if (!process_) {
    process_ = Bucket{options_.initial * options_.process_factor, now};
  }
  Refill(*process_, options_.capacity * options_.process_factor, now);
  return *process_;
}

void RetryBudget::Refill(Bucket& bucket,
                         double capacity,
                         base::Time now) const noexcept {
  // Refill only up to the initial tokens, so that a long idle time does not
  // allow a burst of retries.
  const double seconds = std::max(
      0.0, std::chrono::duration<double>(now - bucket.refilled_at).count());
  bucket.refilled_at = std::max(bucket.refilled_at, now);
  if (bucket.tokens < options_.initial) {
    bucket.tokens = std::min(bucket.tokens + seconds * options_.refill_per_s,
                             options_.initial);
  }
  bucket.tokens = std::min(bucket.tokens, capacity);
}

template <typename Map>
RetryBudget::Bucket& RetryBudget::FindOrCreateBucket(
    Map& buckets,
    const typename Map::key_type& key,
    base::Time now) const {
  if (!buckets.contains(key) && buckets.size() >= options_.max_keys) {
    buckets.erase(std::ranges::min_element(
        buckets, {}, [](const auto& it) { return it.second.refilled_at; }));
  }
  const auto [it, is_new] =
      buckets.try_emplace(key, Bucket{options_.initial, now});
  if (!is_new) {
    Refill(it->second, options_.capacity, now);
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
