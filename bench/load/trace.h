// A seeded trace of requests, generated before the run so that compared runs
// send the same requests at the same times.
#ifndef LYNXGLADE_BENCH_LOAD_TRACE_H_
#define LYNXGLADE_BENCH_LOAD_TRACE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "load/deployment.h"

namespace lynxglade::bench {

enum class CallKind { kChat, kPlain };

// One request of the trace.
struct TraceItem {
  CallKind kind = CallKind::kChat;
  base::Duration at{};  // after the start of the run
  base::RequestId id;
  base::ContractId contract;
  base::Worth worth{1};
  base::Duration deadline{};
  int priority = 5;
  bool stream = true;
  bool non_idempotent = false;
  // Sent again with the same key after the first call has ended.
  bool repeated = false;
  base::Tokens prompt{0};
  base::Tokens output{0};
  // The part of the prompt that all requests of the group share.
  base::Tokens shared_prefix{0};
  int prefix_group = 0;
  std::uint64_t seed = 0;  // of the part of the prompt that is not shared
};

// Prompt:output ratio at a time after the start. Starts at the high value and
// oscillates on a logarithmic scale.
double RatioAt(const Workload& workload, base::Duration at) noexcept;

// Poisson arrivals for `length`, at most `max_requests`.
std::vector<TraceItem> MakeTrace(const Deployment& deployment,
                                 base::Duration length,
                                 std::size_t max_requests,
                                 std::uint64_t seed);

// The body to send: chat-completions JSON, or the plain service's.
std::string MakeBody(const Workload& workload, const TraceItem& item);

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_LOAD_TRACE_H_
