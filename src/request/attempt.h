// An attempt to run a request at one target: its parameters and its report.
//
// The relay makes the specs; a connection::TargetClient, or a fake in tests,
// executes them.
#ifndef LYNXGLADE_REQUEST_ATTEMPT_H_
#define LYNXGLADE_REQUEST_ATTEMPT_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/outcome.h"
#include "base/time.h"
#include "base/units.h"
#include "request/request.h"
#include "request/target.h"

namespace lynxglade::request {

// The part of the request to run. Plain services support only kWhole.
enum class AttemptKind {
  // Prefill and decode, from `resume_from` on.
  kWhole,
  // Prefill only. The report holds the handle of the exported KV cache in
  // kv_transfer_params.
  kPrefill,
  // Decode from an imported KV cache.
  kDecode,
};

// How an attempt ended.
enum class AttemptEnd {
  // The answer is complete, and was verified to be.
  kWhole,
  // The target answered that it refuses the request and has not started it.
  kRefused,
  // No connection was established: nothing was sent.
  kConnectFailed,
  // The connection was lost while the request was being sent.
  kSendFailed,
  // The connection was lost after the request was sent and before an answer
  // started.
  kReset,
  // The connection was lost during the answer.
  kTruncated,
  // A timeout of the attempt expired.
  kTimeout,
  // The answer belonged to another attempt and was discarded.
  kCrossed,
  // The caller disconnected, or TokenSink ended the attempt.
  kCancelledByCaller,
  // The response was neither a valid answer nor a refusal.
  kBadAnswer,
};
// The name in logs and metrics, in lower_snake_case.
std::string_view ToString(AttemptEnd end) noexcept;

// Why a target refused, from its error code.
enum class TargetRefusal {
  kNone,
  kDraining,
  kOverloaded,
  kChanging,
  kNotLoaded,
  // The request is invalid: every target would refuse it.
  kBadRequest,
  // This instance refused the attempt before anything was sent.
  kHeldBack,
  kOther,
};
std::string_view ToString(TargetRefusal refusal) noexcept;
TargetRefusal ParseTargetRefusal(std::string_view code) noexcept;

// The parameters of an attempt. Valid until the call that runs it returns.
struct AttemptSpec {
  // Not null. Outlives the attempt.
  const Request* request = nullptr;
  base::AttemptId id;
  AttemptKind kind = AttemptKind::kWhole;
  base::TargetId target;
  std::string address;
  int port = 0;
  EngineRole role = EngineRole::kMixed;
  // Index of the first token to deliver. Earlier ones were already delivered.
  base::Tokens resume_from{0};
  // Timeout of the whole attempt, from the start of the call.
  base::Duration timeout{};
  // Timeout for sending the first byte of the body, from the start of the call.
  // If it is exceeded, for instance because the process was paused, the attempt
  // ends as not run. Zero: `timeout`.
  base::Duration start_timeout{};
  // Longest time without data from the target before the attempt times out.
  base::Duration idle_timeout{};
  // JSON object to send to the engine as kv_transfer_params; empty: none.
  std::string kv_transfer_params;
};

// Token counts reported by the target.
struct Usage {
  base::Tokens prompt{0};
  base::Tokens completion{0};
  base::Tokens cached{0};
};

// The complete answer of a plain service.
struct PlainAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
};

struct AttemptReport {
  base::Outcome outcome = base::Outcome::kUnknown;
  AttemptEnd end = AttemptEnd::kBadAnswer;

  // kRefused only.
  TargetRefusal refusal = TargetRefusal::kNone;
  // Description of the failure by this process.
  std::string message;
  // Error message of the target. It may quote the request, so it is only for
  // the caller and must not be logged.
  std::string target_message;
  std::optional<base::Duration> retry_after;

  // Number of tokens that this attempt passed to the sink.
  base::Tokens tokens{0};
  // kWhole only.
  std::string finish_reason;
  Usage usage;
  std::optional<PlainAnswer> plain;
  // JSON object from a prefill engine; empty: none.
  std::string kv_transfer_params;

  // The received X-Engine-Load header; empty: none.
  std::string load_json;
  // Time from the start of the call to the first token; unset if there was
  // none.
  std::optional<base::Duration> first_token;
};

// Whether the attempt sent nothing, so that a retry adds no load on the
// targets.
bool NothingWasSent(const AttemptReport& report) noexcept;

// A sequence of tokens. `text` is valid only during the call.
struct TokenChunk {
  std::string_view text;
  // Index of the first token in the whole answer.
  base::Tokens offset{0};
  base::Tokens count{0};
};

// Receives an attempt's tokens. Called on the thread that runs the attempt,
// except `cancelled`.
struct TokenSink {
  // Returns false to end the attempt, because the caller disconnected or the
  // chunk is out of sequence.
  std::function<bool(const TokenChunk&)> on_token;
  // Polled from another thread. Returns true to end the attempt. May be empty.
  // Must be thread-safe.
  std::function<bool()> cancelled;
};

// Runs an attempt and blocks until it ends. Thread-safe. Never throws.
using RunAttempt =
    std::function<AttemptReport(const AttemptSpec&, const TokenSink&)>;

// Asks a target to stop an attempt. Best effort; must not wait for the target.
using CancelAttempt = std::function<void(const AttemptSpec&)>;

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_ATTEMPT_H_
