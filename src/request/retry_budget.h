// Whether, and how much later, an attempt may be followed by another.
//
// Retries and hedges are paid from token buckets of the process, the contract
// and the target that is tried next. Each first attempt puts `ratio` tokens
// in; a small trickle lets a quiet contract retry at night. When everything
// fails, attempts stay under (1 + ratio) times the requests plus the buckets'
// initial content.
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

// Why there is no further attempt; each has a counter
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
  // Tokens that a first attempt puts into each bucket.
  double ratio = 0.15;
  // Content of a new bucket, and the most it holds.
  double initial = 3;
  double capacity = 20;
  // The process bucket holds this many times as much.
  double process_factor = 4;
  double refill_per_s = 0.1;
  // A hedge leaves this many tokens for retries.
  double hedge_reserve = 2;
  // Contracts and targets remembered each; the longest idle goes first.
  std::size_t max_keys = 16384;
};

// Thread-safe; a short lock a call.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options = {});
  RetryBudget(const RetryBudget&) = delete;
  RetryBudget& operator=(const RetryBudget&) = delete;

  // Call once a request, at its first attempt.
  void OnFirstAttempt(const base::ContractId& contract,
                      const base::TargetId& target,
                      base::Time now);

  // Pays for one more attempt at `target`. False: `*denial` says which bucket
  // is empty, and nothing was taken.
  bool TryTake(ExtraAttempt kind,
               const base::ContractId& contract,
               const base::TargetId& target,
               base::Time now,
               RetryDenial* denial);

 private:
  struct Bucket {
    double tokens = 0;
    base::Time filled{};
  };

  Bucket& TouchProcess(base::Time now);
  void Fill(Bucket& bucket, double capacity, base::Time now) const noexcept;
  template <typename Map>
  Bucket& Touch(Map& buckets,
                const typename Map::key_type& key,
                base::Time now) const;

  const RetryBudgetOptions options_;
  std::mutex mutex_;
  std::optional<Bucket> process_;
  std::unordered_map<base::ContractId, Bucket> contracts_;
  std::unordered_map<base::TargetId, Bucket> targets_;
};

struct RetryPolicyOptions {
  // All attempts of a request, the first and hedges included.
  int max_attempts = 4;
  base::Duration base_backoff = std::chrono::milliseconds(20);
  base::Duration max_backoff = std::chrono::seconds(2);
  // Time that must be left after the wait for another attempt to make sense.
  base::Duration min_remaining = std::chrono::milliseconds(50);
};

// When the next attempt starts. Thread-safe if `random` is.
class RetryPolicy {
 public:
  RetryPolicy(RetryPolicyOptions options, base::RandomSource random);

  // The wait before the attempt after `attempts_made` (1 or more) attempts:
  // exponential, fully jittered, bounded. nullopt: `*denial` is
  // kAttemptsUsed or kDeadlineTooNear.
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
