// How long engines take to read prompts, and to move KV cache, learnt from this
// instance's own requests.
//
// A service's engines are alike up to a factor: a read of n tokens takes
// slowness * (base + n / rate). Reads that met no other show base and rate; an
// engine's slowness is what its reads take against that. The figures that the
// instance starts with stand for a few reads and fade as real ones come.
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
  // Before anything is seen. Engines of the users' sheets read 38 to 220
  // tokens in a millisecond.
  double initial_tokens_per_ms = 45;
  // Set-up and transfer of 245 MB at 370 Gbit/s.
  double initial_fetch_ms = 12;
  // The extra call, the set-up, the transfer and a first step.
  double initial_handover_ms = 20;
  // What a read counts for after the next one: 1 / (1 - memory) reads, 33,
  // are remembered, less than two seconds' of a busy instance.
  double decay = 0.97;
  // A read that took more than so many times what was expected met something
  // that was not known of, and counts as if it had taken so many times.
  double max_outlier_ratio = 2;
  // ServiceFor the difference to what is believed, the part that one more read,
  // fetch or hand-over changes it by.
  double learning_rate = 0.1;
};

// Not thread-safe: lives on the event loop.
class PrefillTimes {
 public:
  explicit PrefillTimes(PrefillTimesOptions options = {});
  PrefillTimes(const PrefillTimes&) = delete;
  PrefillTimes& operator=(const PrefillTimes&) = delete;

  // An engine read `tokens` in `took`, with nothing before it as far as is
  // known here.
  void RecordPrefill(Engine& engine, std::int64_t tokens, base::Duration took);
  // The same, after the shared parts were fetched; what it took longer than
  // the reading is the fetch.
  void RecordPrefillAfterFetch(const Engine& engine,
                               std::int64_t tokens,
                               base::Duration took);
  // From handing a read prompt over to an engine of the service to the first
  // event.
  void RecordHandover(const base::ServiceName& service, base::Duration took);

  // Milliseconds of engine time, at the full speed of its kind.
  double PrefillMs(const Engine& engine, std::int64_t tokens) const;
  // Tokens in a millisecond, for a prompt of the mean size seen.
  double TokensPerMs(const Engine& engine) const;
  // What is left on average of the prompt that an engine has begun to read: it
  // ends that one before it reads a more urgent one. Long prompts are met more
  // often than short ones.
  double MeanRemainingTokens(const base::ServiceName& service) const;
  double FetchMs(const base::ServiceName& service) const;
  double HandoverMs(const base::ServiceName& service) const;

 private:
  struct Service {
    // Milliseconds by tokens. Errors grow with a read's size, so each read is
    // weighted by one over its tokens.
    LineFit prefill_ms;
    double tokens_squared = 0;
    double fetch_ms = 0;
    double handover_ms = 0;

    // The weights make these sums plain ones.
    double prefills() const noexcept { return prefill_ms.sum_x(); }
    double tokens() const noexcept { return prefill_ms.sum_xx(); }
  };

  Service MakeService() const;
  static void AddSample(Service& service, double tokens, double ms) noexcept;
  const Service& ServiceFor(const base::ServiceName& service) const;
  Service& ServiceFor(const base::ServiceName& service);
  static Line Fit(const Service& service) noexcept;
  // `ms`, or as much as may be believed of it.
  double ClampOutlier(double ms, double expected) const noexcept;

  const PrefillTimesOptions options_;
  const Service default_service_;
  std::map<base::ServiceName, Service> services_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_PREFILL_TIMES_H_
