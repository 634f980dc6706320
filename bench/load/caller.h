// Sends one request of a trace and judges the answer.
#ifndef LYNXGLADE_BENCH_LOAD_CALLER_H_
#define LYNXGLADE_BENCH_LOAD_CALLER_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "load/trace.h"

namespace lynxglade::bench {

// Where a request can be sent.
struct Endpoint {
  std::string address;
  int port = 0;
};

// Reads "address:port"; returns false on other text.
bool ParseEndpoint(std::string_view text, Endpoint* endpoint);

enum class Verdict {
  kDelivered,  // whole and within its deadline
  kLate,       // whole, after its deadline
  kRefused,    // an error answer before the first token
  kCut,        // ended in the middle, with or without an error event
  kBroken,     // tokens doubled, left out or of another request
  kLost,       // no answer: connection failed or timed out
};
std::string_view ToString(Verdict verdict) noexcept;

// How one call went; times as seconds after `due`.
struct CallResult {
  Verdict verdict = Verdict::kLost;
  int status = 0;             // 0: no answer
  std::string code;           // error code, or the transport's error
  std::string outcome;        // as the answer said
  bool retry_told = false;    // the refusal said when to come back
  bool counted = true;        // the stream said how many tokens each chunk has
  double first_token_s = -1;  // -1: none came
  double last_byte_s = 0;
  std::vector<double> gaps_s;
};

// Sends `item` with `body` to `endpoint` on a connection of its own and waits
// for the end, at most `patience` after the deadline. `due` is when the trace
// wanted it sent; latency and deadline are counted from there. Thread-safe.
CallResult Call(const Endpoint& endpoint,
                const Workload& workload,
                const TraceItem& item,
                const std::string& body,
                base::Time due,
                base::Duration patience);

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_LOAD_CALLER_H_
