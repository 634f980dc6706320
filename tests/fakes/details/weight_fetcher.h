// Fetches weights from the weight store during a model change.
#ifndef LYNXGLADE_FAKES_DETAILS_WEIGHT_FETCHER_H_
#define LYNXGLADE_FAKES_DETAILS_WEIGHT_FETCHER_H_

#include <optional>
#include <string>

#include "base/time.h"
#include "fakes/engine_core.h"

namespace lynxglade::fakes {

// Used by one thread. Retries after the Retry-After time of the store; the
// change of the engine does not end before the weights are fetched.
class WeightFetcher {
 public:
  WeightFetcher(std::string url, base::Clock clock, EngineCore& core);

  // Fetches the weights for a change in progress. Blocks for up to the
  // connection and read timeouts.
  void Advance();

 private:
  // Returns the time until the next attempt, or nullopt on success.
  std::optional<base::Duration> Fetch(const EngineSetup& setup) const;

  std::string url_;
  base::Clock clock_;
  EngineCore& core_;
  base::Time next_try_{};
  // The weights that were fetched last, as "model/version".
  std::string fetched_;
};

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_DETAILS_WEIGHT_FETCHER_H_
