// Fetches weights from the weight store during a model change.
#ifndef LYNXGLADE_FAKES_DETAILS_WEIGHT_FETCHER_H_
#define LYNXGLADE_FAKES_DETAILS_WEIGHT_FETCHER_H_

#include <optional>
#include <string>

#include "base/time.h"
#include "fakes/engine_core.h"

namespace lynxglade::fakes {

// Used by one thread. Asks again after the store's Retry-After; until the
// weights are there, the engine's change does not end.
class WeightFetcher {
 public:
  WeightFetcher(std::string url, base::Clock clock, EngineCore& core);

  // Fetches what a change under way needs; blocks for at most a second.
  void Advance();

 private:
  // The wait that the store asks for; nothing when the weights came.
  std::optional<base::Duration> Fetch(const EngineSetup& setup) const;

  std::string url_;
  base::Clock clock_;
  EngineCore& core_;
  base::Time next_try_{};
  // What was fetched last.
  std::string have_;
};

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_DETAILS_WEIGHT_FETCHER_H_
