// Counters, gauges and latency quantiles, exported in the Prometheus text
// format.
//
// Names start with "lynxglade_" and follow the Prometheus conventions: counters
// end in "_total", times are in seconds. A series is created on first use, and
// its handle stays valid for the lifetime of the Metrics object. Quantiles are
// estimated by Boost.Accumulators.
#ifndef LYNXGLADE_BASE_METRICS_H_
#define LYNXGLADE_BASE_METRICS_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/time.h"

namespace lynxglade::base {

using Labels = std::map<std::string, std::string>;

// Monotonically increasing. Thread-safe and lock-free.
class Counter {
 public:
  void Add(std::uint64_t n = 1) noexcept {
    value_.fetch_add(n, std::memory_order_relaxed);
  }
  std::uint64_t Get() const noexcept {
    return value_.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<std::uint64_t> value_{0};
};

// Estimates the quantiles 0.5, 0.95 and 0.99 of a stream of durations.
// Thread-safe.
class LatencyQuantiles {
 public:
  LatencyQuantiles();
  ~LatencyQuantiles();
  LatencyQuantiles(const LatencyQuantiles&) = delete;
  LatencyQuantiles& operator=(const LatencyQuantiles&) = delete;

  void Record(Duration sample);

  // `quantile` must be 0.5, 0.95 or 0.99. Returns 0 if nothing was recorded.
  double Seconds(double quantile) const;
  std::uint64_t count() const;
  double SumSeconds() const;

 private:
  struct Details;
  std::unique_ptr<Details> details_;
};

// Owns all series of a process. Thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // The series with that name and labels, created on first use.
  Counter& GetCounter(const std::string& name, const Labels& labels = {});
  LatencyQuantiles& GetLatency(const std::string& name,
                               const Labels& labels = {});
  // Registers a gauge whose value is read in Render(). `read` must be
  // thread-safe and valid until the last Render().
  void AddGauge(const std::string& name,
                const Labels& labels,
                std::function<double()> read);

  // All series in the Prometheus text format.
  std::string Render() const;

  // The counter's value, 0 if it does not exist.
  std::uint64_t CounterValue(const std::string& name,
                             const Labels& labels = {}) const;

 private:
  struct Details;
  std::unique_ptr<Details> details_;
};

}  // namespace lynxglade::base

#endif  // LYNXGLADE_BASE_METRICS_H_
