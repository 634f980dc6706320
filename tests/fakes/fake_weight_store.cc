#include "fakes/fake_weight_store.h"

#include <utility>

namespace lynxglade::fakes {

namespace {

constexpr double kSecondsPerMinute = 60;

}  // namespace

FakeWeightStore::FakeWeightStore(base::Clock clock,
                                 int loads_per_minute,
                                 int burst)
    : clock_(std::move(clock)),
      burst_(burst),
      loads_per_minute_(loads_per_minute),
      bucket_(loads_per_minute / kSecondsPerMinute, burst) {}

base::Duration FakeWeightStore::Load(const std::string& model,
                                     const std::string& version) {
  const std::lock_guard lock(mutex_);
  const base::Time now = clock_();
  const bool given = bucket_.Take(now);
  journal_.push_back({{"model", model},
                      {"version", version},
                      {"time_ms", base::WallMillis()},
                      {"given", given}});
  return given ? base::Duration{} : bucket_.TimeToNext(now);
}

void FakeWeightStore::set_loads_per_minute(int n) {
  const std::lock_guard lock(mutex_);
  loads_per_minute_ = n;
  bucket_.set_rate(n / kSecondsPerMinute, burst_);
}

int FakeWeightStore::loads_per_minute() const {
  const std::lock_guard lock(mutex_);
  return loads_per_minute_;
}

nlohmann::json FakeWeightStore::JournalJson() const {
  const std::lock_guard lock(mutex_);
  return journal_;
}

}  // namespace lynxglade::fakes
