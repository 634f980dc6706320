// A fake weight store that rate-limits loads and records them.
#ifndef LYNXGLADE_FAKES_FAKE_WEIGHT_STORE_H_
#define LYNXGLADE_FAKES_FAKE_WEIGHT_STORE_H_

#include <cstdint>
#include <mutex>
#include <string>

#include <nlohmann/json.hpp>

#include "base/time.h"
#include "fakes/token_bucket.h"

namespace lynxglade::fakes {

// Thread-safe.
class FakeWeightStore {
 public:
  // `burst`: number of loads that may start at once.
  FakeWeightStore(base::Clock clock, int loads_per_minute, int burst);

  // Returns zero when the load is admitted, otherwise the time to wait.
  base::Duration Load(const std::string& model, const std::string& version);
  void set_loads_per_minute(int n);

  int loads_per_minute() const;
  // All requested loads, with their times and whether they were admitted.
  nlohmann::json JournalJson() const;

 private:
  const base::Clock clock_;
  const int burst_;
  mutable std::mutex mutex_;
  int loads_per_minute_;
  TokenBucket bucket_;
  nlohmann::json journal_ = nlohmann::json::array();
};

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_FAKE_WEIGHT_STORE_H_
