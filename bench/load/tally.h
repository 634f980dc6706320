// Counts the results of calls.
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

// Number and worth of a set of requests.
struct Counts {
  std::uint64_t offered = 0;
  double worth_offered = 0;
  double worth_delivered = 0;
  std::array<std::uint64_t, kVerdicts> by_verdict{};

  std::uint64_t Of(Verdict verdict) const noexcept {
    return by_verdict[static_cast<std::size_t>(verdict)];
  }
  // Worth delivered completely and in time, divided by the worth offered.
  double Goodput() const noexcept {
    return worth_offered > 0 ? worth_delivered / worth_offered : 0;
  }
};

// Exact quantile; 0 without samples. Reorders the samples.
double Quantile(std::vector<double>* samples, double q);

// Requests that arrived in one second of the run.
struct SecondRow {
  Counts counts;
  std::vector<double> first_token_s;
};

struct Totals {
  Counts all;
  std::map<base::ContractId, Counts> by_contract;
  std::map<std::string, std::uint64_t> refusals;  // by code
  std::map<std::string, std::uint64_t> failures;  // cut, broken, lost: by code
  std::map<std::string, std::uint64_t>
      outcomes;  // of requests not delivered or late
  std::map<std::string, std::uint64_t> repeats;  // responses to repeats
  std::uint64_t refusals_with_retry_time = 0;
  // Streams without token counts, of which only the end is checked.
  std::uint64_t uncounted = 0;
  // The first failures, with the request ids to search the logs for.
  std::vector<std::string> failed_requests;
  // Ids of requests for which every response reported "not_run".
  std::set<std::string> not_run;
  std::vector<double> first_token_s;
  std::vector<double> gap_s;
  std::vector<double> whole_s;  // time to the last byte of complete responses
  std::vector<SecondRow> seconds;
  // Maximum delay of a request after its scheduled time, and number of requests
  // without a free caller. High values mean that the driver is the bottleneck.
  double max_send_lag_s = 0;
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
  // Records the response to a repeated non-idempotent request.
  void FinishRepeat(const TraceItem& item, const CallResult& result);
  void NoteSendLag(double seconds);
  void NoteUnsent(const TraceItem& item);

  Totals Get() const;
  // For progress output; does not copy all samples. RecentFirstTokenP95()
  // covers the requests that arrived in the last `window` seconds.
  Counts GetCounts() const;
  double RecentFirstTokenP95(std::size_t window) const;

 private:
  SecondRow& RowOf(const TraceItem& item);

  mutable std::mutex mutex_;
  Totals totals_;
};

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_LOAD_TALLY_H_
