// Estimates prefill and KV cache transfer times from this instance's own
// requests.
//
// Engines of a service differ by a factor: a prefill of n tokens takes slowness
// * (base + n / rate). Prefills that met no other determine base and rate; an
// engine's slowness is the ratio of its own prefills to that line. The initial
// values count as a few samples and decay as real ones arrive.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_PREFILL_TIMES_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_PREFILL_TIMES_H_

#include <cstdint>
#include <map>

#include "base/ids.h"
#include "base/time.h"
#include "request/passthrough/engine_table.h"
#include "request/passthrough/line_fit.h"

namespace lynxglade::request::passthrough {

struct PrefillTimesOptions {
  // Initial values, before any sample.
  double initial_tokens_per_ms = 45;
  double initial_fetch_ms = 12;
  double initial_handover_ms = 20;
  // Weight of a sample after the next one; the estimate covers about 1 / (1 -
  // decay) samples: 33, which a busy instance sees in less than two seconds.
  double decay = 0.97;
  // A sample above this many times the expected time was probably delayed by an
  // unknown request, and is clamped to it.
  double max_outlier_ratio = 2;
  // Part of the difference to the current estimate by which a sample changes
  // it.
  double learning_rate = 0.1;
};

// Not thread-safe: used on the event loop only.
class PrefillTimes {
 public:
  explicit PrefillTimes(PrefillTimesOptions options = {});
  PrefillTimes(const PrefillTimes&) = delete;
  PrefillTimes& operator=(const PrefillTimes&) = delete;

  // The engine prefilled `tokens` in `took`, with no other known prefill
  // queued.
  void RecordPrefill(Engine& engine, std::int64_t tokens, base::Duration took);
  // The same, after a fetch of the shared parts; the time beyond the prefill is
  // attributed to the fetch.
  void RecordPrefillAfterFetch(const Engine& engine,
                               std::int64_t tokens,
                               base::Duration took);
  // `took`: from handing a prefilled prompt over to an engine of the service
  // until the first event.
  void RecordHandover(const base::ServiceName& service, base::Duration took);

  // Milliseconds of engine time; at full speed, without the factor of its
  // stage.
  double PrefillMs(const Engine& engine, std::int64_t tokens) const;
  // Tokens per millisecond, for a prompt of the mean size seen.
  double TokensPerMs(const Engine& engine) const;
  // Mean number of tokens left of the prompt that an engine is prefilling; it
  // finishes that one before a more urgent one. Weighted by size, as an arrival
  // more likely meets a long prompt.
  double MeanRemainingTokens(const base::ServiceName& service) const;
  double FetchMs(const base::ServiceName& service) const;
  double HandoverMs(const base::ServiceName& service) const;

 private:
  struct Service {
    // Milliseconds by tokens. Errors grow with the size, so each sample is
    // weighted by 1 / tokens.
    LineFit prefill_ms;
    double tokens_squared = 0;
    double fetch_ms = 0;
    double handover_ms = 0;

    // The weights turn these into plain sums.
    double prefills() const noexcept { return prefill_ms.sum_x(); }
    double tokens() const noexcept { return prefill_ms.sum_xx(); }
  };

  Service MakeService() const;
  static void AddSample(Service& service, double tokens, double ms) noexcept;
  const Service& ServiceFor(const base::ServiceName& service) const;
  Service& ServiceFor(const base::ServiceName& service);
  static Line Fit(const Service& service) noexcept;
  // Bounds `ms` to PrefillTimesOptions::max_outlier_ratio.
  double ClampOutlier(double ms, double expected) const noexcept;

  const PrefillTimesOptions options_;
  const Service default_service_;
  std::map<base::ServiceName, Service> services_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_PREFILL_TIMES_H_
