#include "base/metrics.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <mutex>
#include <sstream>
#include <utility>
#include <vector>

// extended_p_square_quantile.hpp of Boost 1.74 needs <sstream> before it.
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace lynxglade::base {

namespace {

namespace acc = boost::accumulators;

using QuantileSet =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count,
                                    acc::tag::sum,
                                    acc::tag::extended_p_square_quantile>>;

// The estimator interpolates between markers, so they extend beyond the
// exported quantiles.
constexpr std::array<double, 6> kMarkers = {0.25, 0.5, 0.75, 0.95, 0.99, 0.999};
constexpr std::array<double, 3> kExportedQuantiles = {0.5, 0.95, 0.99};
// The estimate is poor for few samples, so quantiles of up to this many are
// computed exactly.
constexpr std::size_t kMaxExactSamples = 64;

using SeriesKey = std::pair<std::string, Labels>;

std::vector<prometheus::ClientMetric::Label> ToLabels(const Labels& labels) {
  std::vector<prometheus::ClientMetric::Label> out;
  for (const auto& [name, value] : labels) {
    out.push_back({name, value});
  }
  return out;
}

// Appends a metric to the last family, or to a new one if the last has another
// name. Keys must be passed in order.
prometheus::ClientMetric& AppendMetric(
    std::vector<prometheus::MetricFamily>& families,
    const SeriesKey& key,
    prometheus::MetricType type) {
  if (families.empty() || families.back().name != key.first) {
    prometheus::MetricFamily family;
    family.name = key.first;
    family.type = type;
    families.push_back(std::move(family));
  }
  prometheus::ClientMetric metric;
  metric.label = ToLabels(key.second);
  families.back().metric.push_back(std::move(metric));
  return families.back().metric.back();
}

}  // namespace

struct LatencyQuantiles::Details {
  // Nearest-rank quantile of `first`; valid while it holds all samples.
  double ExactQuantile(double quantile) const {
    std::vector<double> sorted = first;
    std::ranges::sort(sorted);
    const auto rank = static_cast<std::size_t>(
        std::ceil(quantile * static_cast<double>(sorted.size())));
    return sorted[std::max<std::size_t>(rank, 1) - 1];
  }

  mutable std::mutex mutex;
  std::vector<double> first;
  QuantileSet set{acc::tag::extended_p_square::probabilities = kMarkers};
};

LatencyQuantiles::LatencyQuantiles() : details_(std::make_unique<Details>()) {}
LatencyQuantiles::~LatencyQuantiles() = default;

void LatencyQuantiles::Record(Duration sample) {
  const double seconds = std::chrono::duration<double>(sample).count();
  std::lock_guard lock(details_->mutex);
  details_->set(seconds);
  if (details_->first.size() < kMaxExactSamples) {
    details_->first.push_back(seconds);
  }
}

double LatencyQuantiles::Seconds(double quantile) const {
  std::lock_guard lock(details_->mutex);
  if (acc::count(details_->set) == 0) {
    return 0;
  }
  if (acc::count(details_->set) <= kMaxExactSamples) {
    return details_->ExactQuantile(quantile);
  }
  return acc::quantile(details_->set, acc::quantile_probability = quantile);
}

std::uint64_t LatencyQuantiles::count() const {
  std::lock_guard lock(details_->mutex);
  return acc::count(details_->set);
}

double LatencyQuantiles::SumSeconds() const {
  std::lock_guard lock(details_->mutex);
  return acc::sum(details_->set);
}

struct Metrics::Details {
  mutable std::mutex mutex;
  std::map<SeriesKey, std::unique_ptr<Counter>> counters;
  std::map<SeriesKey, std::unique_ptr<LatencyQuantiles>> latencies;
  std::map<SeriesKey, std::function<double()>> gauges;
};

Metrics::Metrics() : details_(std::make_unique<Details>()) {}
Metrics::~Metrics() = default;

Counter& Metrics::GetCounter(const std::string& name, const Labels& labels) {
  std::lock_guard lock(details_->mutex);
  auto& slot = details_->counters[{name, labels}];
  if (!slot) {
    slot = std::make_unique<Counter>();
  }
  return *slot;
}

LatencyQuantiles& Metrics::GetLatency(const std::string& name,
                                      const Labels& labels) {
  std::lock_guard lock(details_->mutex);
  auto& slot = details_->latencies[{name, labels}];
  if (!slot) {
    slot = std::make_unique<LatencyQuantiles>();
  }
  return *slot;
}

void Metrics::AddGauge(const std::string& name,
                       const Labels& labels,
                       std::function<double()> read) {
  std::lock_guard lock(details_->mutex);
  details_->gauges[{name, labels}] = std::move(read);
}

std::string Metrics::Render() const {
  std::vector<prometheus::MetricFamily> families;
  std::lock_guard lock(details_->mutex);
  for (const auto& [key, counter] : details_->counters) {
    AppendMetric(families, key, prometheus::MetricType::Counter).counter.value =
        static_cast<double>(counter->Get());
  }
  for (const auto& [key, read] : details_->gauges) {
    AppendMetric(families, key, prometheus::MetricType::Gauge).gauge.value =
        read();
  }
  for (const auto& [key, latency] : details_->latencies) {
    auto& summary =
        AppendMetric(families, key, prometheus::MetricType::Summary).summary;
    summary.sample_count = latency->count();
    summary.sample_sum = latency->SumSeconds();
    for (double q : kExportedQuantiles) {
      summary.quantile.push_back({q, latency->Seconds(q)});
    }
  }
  return prometheus::TextSerializer().Serialize(families);
}

std::uint64_t Metrics::CounterValue(const std::string& name,
                                    const Labels& labels) const {
  std::lock_guard lock(details_->mutex);
  const auto it = details_->counters.find({name, labels});
  return it == details_->counters.end() ? 0 : it->second->Get();
}

}  // namespace lynxglade::base
