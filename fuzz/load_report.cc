// Load reports: the numbers used for routing are in range.
#include <chrono>
#include <cmath>

#include "connection/load_report.h"
#include "fuzz/check.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace lynxglade;
  const base::Time now{std::chrono::hours(1)};
  const auto report =
      connection::ParseLoadReport(fuzz::TextOf(data, size), now);
  if (!report) {
    return 0;
  }
  const request::TargetLoad& load = report->load;
  fuzz::Check(!report->target.empty(), "a report names its target");
  fuzz::Check(load.running >= 0 && load.waiting >= 0, "counts");
  fuzz::Check(load.queued_prefill.value() >= 0, "queued prefill");
  fuzz::Check(load.running_decode.value() >= 0, "running decode");
  fuzz::Check(load.prefill_tokens_per_s >= 0 && load.decode_tokens_per_s >= 0,
              "rates");
  fuzz::Check(std::isfinite(load.prefill_tokens_per_s) &&
                  std::isfinite(load.decode_tokens_per_s),
              "finite rates");
  fuzz::Check(load.as_of <= now, "not from the future");
  const auto again =
      connection::ParseLoadReport(connection::EncodeLoadReport(*report), now);
  fuzz::Check(again && again->sequence == report->sequence &&
                  again->load.running == load.running &&
                  again->load.queued_prefill == load.queued_prefill,
              "encoded data can be decoded");
  return 0;
}
