// What a request costs its targets, in tokens and in time.
//
// Work is counted in prompt tokens to process (prefill) and output tokens to
// generate (decode), because the two load an engine differently. The output
// length is unknown before the run; it is estimated per contract and model
// from what came before.
#ifndef LYNXGLADE_REQUEST_COST_H_
#define LYNXGLADE_REQUEST_COST_H_

#include <cstddef>
#include <mutex>
#include <unordered_map>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "request/request.h"

namespace lynxglade::request {

struct Cost {
  base::Tokens prefill{0};
  base::Tokens decode{0};
  auto operator<=>(const Cost&) const = default;
};

// Tokens a second, of one target or of a fleet; 0 when not known.
struct Rates {
  double prefill_tokens_per_s = 0;
  double decode_tokens_per_s = 0;
};

// Seconds of work at those rates. A part whose rate is not known counts 0.
double WorkSeconds(const Cost& cost, const Rates& rates) noexcept;

struct CostEstimatorOptions {
  // Weight of the newest observation.
  double smoothing = 0.1;
  // Output guessed for a contract and model never seen, unless the caller's
  // max_output_tokens is smaller.
  base::Tokens initial_output{256};
  // Pairs of contract and model remembered; beyond it new pairs are estimated
  // by the initial guess.
  std::size_t max_keys = 16384;
};

// Estimates and learns. Thread-safe; a short lock a call.
class CostEstimator {
 public:
  explicit CostEstimator(CostEstimatorOptions options = {});
  CostEstimator(const CostEstimator&) = delete;
  CostEstimator& operator=(const CostEstimator&) = delete;

  // The request's prompt count corrected by the contract's usual error, and
  // its usual output, at most the caller's max_output_tokens.
  Cost Estimate(const Request& request) const;

  // Learns from a delivered answer: what the target counted.
  void Observe(const Request& request, const Cost& actual);

 private:
  struct Key {
    base::ContractId contract;
    base::ModelName model;
    bool operator==(const Key&) const = default;
  };
  struct KeyHash {
    std::size_t operator()(const Key& key) const noexcept;
  };
  struct Usual {
    double output = 0;
    // Counted prompt tokens over guessed ones.
    double prompt_ratio = 1;
  };

  const CostEstimatorOptions options_;
  mutable std::mutex mutex_;
  std::unordered_map<Key, Usual, KeyHash> usual_;
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_COST_H_
