// The cost of a request in tokens and in time.
//
// Prompt tokens to process (prefill) and output tokens to generate (decode) are
// counted separately because they load an engine differently. The output length
// is unknown before the run and is estimated per contract and model from
// earlier requests.
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

// Throughput of one target or a set of targets; 0 if unknown.
struct Rates {
  double prefill_tokens_per_s = 0;
  double decode_tokens_per_s = 0;
};

// Time for `cost` at `rates`. A part whose rate is unknown counts as 0.
double WorkSeconds(const Cost& cost, const Rates& rates) noexcept;

struct CostEstimatorOptions {
  // Weight of a new observation in the moving averages.
  double smoothing = 0.1;
  // Output estimate for a contract and model without observations, unless the
  // caller's max_output_tokens is smaller.
  base::Tokens initial_output{256};
  // Limit on pairs of contract and model that are tracked. Further pairs are
  // estimated as if never observed.
  std::size_t max_keys = 16384;
};

// Thread-safe.
class CostEstimator {
 public:
  explicit CostEstimator(CostEstimatorOptions options = {});
  CostEstimator(const CostEstimator&) = delete;
  CostEstimator& operator=(const CostEstimator&) = delete;

  // Returns the request's prompt estimate, corrected by the mean error of the
  // contract and model, and their mean output, at most the caller's
  // max_output_tokens.
  Cost Estimate(const Request& request) const;

  // Updates the averages with the token counts that the target reported.
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
  struct Averages {
    double output = 0;
    // Prompt tokens that the target counted over those estimated.
    double prompt_ratio = 1;
  };

  const CostEstimatorOptions options_;
  mutable std::mutex mutex_;
  std::unordered_map<Key, Averages, KeyHash> averages_;
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_COST_H_
