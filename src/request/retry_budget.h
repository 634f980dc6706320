// Limits retries and hedges, and chooses the backoff before them.
//
// A further attempt takes a token from each of three buckets: those of the
// process, the contract and a target. Each first attempt adds `ratio`
// tokens to them, and a slow refill lets contracts with little traffic retry.
// Even if every attempt fails, the number of attempts is bounded by (1 + ratio)
// times the number of requests, plus the initial tokens and the refill.
#ifndef LYNXGLADE_REQUEST_RETRY_BUDGET_H_
#define LYNXGLADE_REQUEST_RETRY_BUDGET_H_

#include <cstddef>
#include <mutex>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"

namespace lynxglade::request {

enum class ExtraAttempt { kRetry, kHedge };

// Why no further attempt is made. Counted by
// lynxglade_retry_denials_total{reason=...}.
enum class RetryDenial {
  kAttemptsUsed,
  kDeadlineTooNear,
  kProcessBudget,
  kContractBudget,
  kTargetBudget,
};
std::string_view ToString(RetryDenial denial) noexcept;

struct RetryBudgetOptions {
  // Tokens that a first attempt adds to each bucket.
  double ratio = 0.15;
  // Tokens of a new bucket, and the maximum.
  double initial = 3;
  double capacity = 20;
  // Factor on `initial` and `capacity` for the process bucket.
  double process_factor = 4;
  double refill_per_s = 0.1;
  // Tokens that a hedge must leave in each bucket for retries.
  double hedge_reserve = 2;
  // Maximum number of contract buckets, and of target buckets. The least
  // recently used one is evicted.
  std::size_t max_keys = 16384;
};

// Thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options = {});
  RetryBudget(const RetryBudget&) = delete;
  RetryBudget& operator=(const RetryBudget&) = delete;

  // Call once per request, at its first attempt.
  void OnFirstAttempt(const base::ContractId& contract,
                      const base::TargetId& target,
                      base::Time now);

  // Takes the tokens for one more attempt, charged to `target`. If it returns
  // false, nothing was taken and `*denial` says which bucket lacks tokens.
  bool TryTake(ExtraAttempt kind,
               const base::ContractId& contract,
               const base::TargetId& target,
               base::Time now,
               RetryDenial* denial);

 private:
  struct Bucket {
    double tokens = 0;
    base::Time refilled_at{};
  };

  Bucket& ProcessBucket(base::Time now);
  void Refill(Bucket& bucket, double capacity, base::Time now) const noexcept;
  template <typename Map>
  Bucket& FindOrCreateBucket(Map& buckets,
                             const typename Map::key_type& key,
                             base::Time now) const;

  const RetryBudgetOptions options_;
  std::mutex mutex_;
  std::optional<Bucket> process_;
  std::unordered_map<base::ContractId, Bucket> contracts_;
  std::unordered_map<base::TargetId, Bucket> targets_;
};

struct RetryPolicyOptions {
  // Maximum number of attempts per request, including the first and hedges.
  int max_attempts = 4;
  base::Duration base_backoff = std::chrono::milliseconds(20);
  base::Duration max_backoff = std::chrono::seconds(2);
  // Minimum time left to the deadline after the backoff.
  base::Duration min_remaining = std::chrono::milliseconds(50);
};

// Decides when the next attempt starts. Thread-safe if `random` is.
class RetryPolicy {
 public:
  RetryPolicy(RetryPolicyOptions options, base::RandomSource random);

  // Returns the backoff after `attempts_made` (at least 1) attempts: bounded
  // exponential with full jitter. On nullopt `*denial` is kAttemptsUsed or
  // kDeadlineTooNear.
  std::optional<base::Duration> NextDelay(int attempts_made,
                                          base::Time now,
                                          base::Time deadline,
                                          RetryDenial* denial) const;

 private:
  const RetryPolicyOptions options_;
  const base::RandomSource random_;
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_RETRY_BUDGET_H_
