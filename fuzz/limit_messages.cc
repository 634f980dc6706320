// Limits of targets that instances tell each other.
#include "process/peers/limit_messages.h"

#include "fuzz/check.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace lynxglade;
  const auto bytes = fuzz::TextOf(data, size);
  if (const auto reports = process::peers::DecodeLimits(bytes)) {
    fuzz::Check(reports->size() <= process::peers::kMaxLimitReports,
                "a bounded number of reports");
    const auto again =
        process::peers::DecodeLimits(process::peers::EncodeLimits(*reports));
    fuzz::Check(again && *again == *reports, "the same reports");
  }
  return 0;
}
