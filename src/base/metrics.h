// Counters, gauges and latency quantiles, and their text page.
//
// Names follow the Prometheus rules: lynxglade_<what>_total for counters,
// seconds for times. A family is created on first use; the handle stays valid
// for the life of the Metrics object. Quantiles are estimated by
// Boost.Accumulators; the text page is written by prometheus-cpp.
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

// Label names and values of one series.
using Labels = std::map<std::string, std::string>;

// A number that only rises. All methods are thread-safe and lock-free.
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
// Thread-safe; a short lock a call.
class LatencyQuantiles {
 public:
  LatencyQuantiles();
  ~LatencyQuantiles();
  LatencyQuantiles(const LatencyQuantiles&) = delete;
  LatencyQuantiles& operator=(const LatencyQuantiles&) = delete;

  void Record(Duration sample);

  // Seconds at the quantile, 0 when nothing was recorded. `quantile` is one
  // of 0.5, 0.95, 0.99.
  double Seconds(double quantile) const;
  std::uint64_t count() const;
  // Sum of all samples in seconds.
  double SumSeconds() const;

 private:
  struct Details;
  std::unique_ptr<Details> details_;
};

// Owns every series of a process.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // The series of that name and labels; made on first use. Thread-safe.
  Counter& GetCounter(const std::string& name, const Labels& labels = {});
  LatencyQuantiles& GetLatency(const std::string& name,
                               const Labels& labels = {});
  // Registers a gauge read whenever the page is written. `read` must be
  // thread-safe and outlive this object's last Render().
  void AddGauge(const std::string& name,
                const Labels& labels,
                std::function<double()> read);

  // The page in the Prometheus text format.
  std::string Render() const;

  // Value of one counter, 0 when it was never made; for tests and reports.
  std::uint64_t CounterValue(const std::string& name,
                             const Labels& labels = {}) const;

 private:
  struct Details;
  std::unique_ptr<Details> details_;
};

}  // namespace lynxglade::base

#endif  // LYNXGLADE_BASE_METRICS_H_
