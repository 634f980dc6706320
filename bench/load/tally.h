// Counts what the callers saw and writes the report.
#ifndef LYNXGLADE_BENCH_LOAD_TALLY_H_
#define LYNXGLADE_BENCH_LOAD_TALLY_H_

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "load/caller.h"
#include "load/trace.h"

namespace lynxglade::bench {

inline constexpr std::size_t kVerdicts = 6;

// Counts and worth of a set of requests.
struct Counts {
  std::uint64_t offered = 0;
  double worth_offered = 0;
  double worth_delivered = 0;
  std::array<std::uint64_t, kVerdicts> by_verdict{};

  std::uint64_t Of(Verdict verdict) const noexcept {
    return by_verdict[static_cast<std::size_t>(verdict)];
  }
  // Worth delivered whole, in time and once, over worth offered.
  double Goodput() const noexcept {
    return worth_offered > 0 ? worth_delivered / worth_offered : 0;
  }
};

// Exact quantile of samples; 0 when there are none. Sorts in part.
double Quantile(std::vector<double>* samples, double q);

// What happened in one second of the run, by the second of arrival.
struct SecondRow {
  Counts counts;
  std::vector<double> first_token_s;
};

// Everything counted so far.
struct Totals {
  Counts all;
  std::map<base::ContractId, Counts> by_contract;
  std::map<std::string, std::uint64_t> refusals;  // by code
  std::map<std::string, std::uint64_t> failures;  // cut, broken, lost: by code
  std::map<std::string, std::uint64_t> outcomes;  // of all but delivered, late
  std::map<std::string, std::uint64_t> repeats;   // answers to repeats
  std::uint64_t refusals_with_retry_time = 0;
  // Streams whose tokens could not be counted, so only their end was checked.
  std::uint64_t uncounted = 0;
  // Of the first failures, to look them up in the logs by request id.
  std::vector<std::string> failed_requests;
  // Requests of which every answer said that they were not run.
  std::set<std::string> not_run;
  std::vector<double> first_token_s;
  std::vector<double> gap_s;
  std::vector<double> whole_s;  // until the last byte, of whole answers
  std::vector<SecondRow> seconds;
  // Most that a request was sent after its time, and requests that found no
  // free caller: above a few, the driver itself is the bottleneck.
  double worst_send_lag_s = 0;
  std::uint64_t unsent = 0;
};

// Thread-safe.
class Tally {
 public:
  Tally() = default;
  Tally(const Tally&) = delete;
  Tally& operator=(const Tally&) = delete;

  void Offer(const TraceItem& item);
  void Finish(const TraceItem& item, const CallResult& result);
  // The answer to a non-idempotent request that was sent again.
  void FinishRepeat(const TraceItem& item, const CallResult& result);
  void NoteSendLag(double seconds);
  void NoteUnsent(const TraceItem& item);

  Totals Get() const;
  // Progress without copying the samples: all counts, first-token p95 over
  // requests that arrived in the last `window` seconds.
  Counts GetCounts() const;
  double RecentFirstTokenP95(std::size_t window) const;

 private:
  SecondRow& RowOf(const TraceItem& item);

  mutable std::mutex mutex_;
  Totals totals_;
};

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_LOAD_TALLY_H_
