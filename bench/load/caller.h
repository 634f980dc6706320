// Sends one request of a trace and evaluates the response.
#ifndef LYNXGLADE_BENCH_LOAD_CALLER_H_
#define LYNXGLADE_BENCH_LOAD_CALLER_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "load/trace.h"

namespace lynxglade::bench {

struct Endpoint {
  std::string address;
  int port = 0;
};

// Parses "address:port"; returns false on other text.
bool ParseEndpoint(std::string_view text, Endpoint* endpoint);

enum class Verdict {
  kDelivered,  // complete and within its deadline
  kLate,       // complete, after its deadline
  kRefused,    // an error response before the first token
  kCut,        // incomplete, with or without an error event
  kBroken,     // tokens duplicated, missing or of another request
  kLost,       // no response: connection failed or timed out
};
std::string_view ToString(Verdict verdict) noexcept;

// Result of one call; times in seconds after `due`.
struct CallResult {
  Verdict verdict = Verdict::kLost;
  int status = 0;       // 0: no response
  std::string code;     // error code of the response or of the transport
  std::string outcome;  // as reported by the response
  bool has_retry_after = false;  // the rejection has a retry_after_ms
  bool counted = true;           // every chunk of the stream has a token_count
  double first_token_s = -1;     // -1: none received
  double last_byte_s = 0;
  std::vector<double> gaps_s;
};

// Sends `item` with `body` to `endpoint` on a new connection and waits for the
// end of the response. The read timeout is the deadline plus `grace_period`.
// `due` is the scheduled send time, from which latency and deadline are
// counted. Thread-safe.
CallResult Call(const Endpoint& endpoint,
                const Workload& workload,
                const TraceItem& item,
                const std::string& body,
                base::Time due,
                base::Duration grace_period);

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_LOAD_CALLER_H_
