// One try of a request at one target: what is ordered and what came of it.
//
// The relay orders attempts; a connection::TargetClient (or a stand-in in a
// test) carries them out. Nothing here does I/O.
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

// What a model engine is asked for. Plain services know only kWhole.
enum class AttemptKind {
  // The whole answer (from `resume_from` on).
  kWhole,
  // Prefill only; the report brings the handle of the exported KV cache.
  kPrefill,
  // Decode from an imported KV cache.
  kDecode,
};

// How an attempt ended.
enum class AttemptEnd {
  // The answer came whole and is proved so.
  kWhole,
  // The target refused before it started the work, by its own word.
  kRefused,
  // No connection, so not one byte of the request left.
  kConnectFailed,
  // The connection broke while the request was being written.
  kSendFailed,
  // The connection broke after the request left and before an answer began.
  kReset,
  // The answer began and broke off.
  kTruncated,
  // The time for the attempt ran out.
  kTimeout,
  // The answer belongs to another attempt and was dropped.
  kCrossed,
  // The caller went away or the process cancelled the attempt.
  kCancelledByCaller,
  // The target answered something that is no answer and no refusal.
  kBadAnswer,
};
// lower_snake_case, as logs and counters see it.
std::string_view ToString(AttemptEnd end) noexcept;

// Why a target refused, from its error code.
enum class TargetRefusal {
  kNone,
  kDraining,
  kOverloaded,
  kChanging,
  kNotLoaded,
  // The request itself is at fault; every other target would say the same.
  kBadRequest,
  // This instance held the request back before anything was sent.
  kHeldBack,
  kOther,
};
std::string_view ToString(TargetRefusal refusal) noexcept;
TargetRefusal ParseTargetRefusal(std::string_view code) noexcept;

// Order for one attempt. Lives as long as the call that runs it.
struct AttemptOrder {
  // Never null; outlives the attempt.
  const Request* request = nullptr;
  base::AttemptId id;
  AttemptKind kind = AttemptKind::kWhole;
  base::TargetId target;
  std::string address;
  int port = 0;
  EngineRole role = EngineRole::kMixed;
  // The first token that is wanted; earlier ones were delivered already.
  base::Tokens resume_from{0};
  // Time for the attempt as a whole, from the call on.
  base::Duration timeout{};
  // Time within which the first byte of the body has to leave, from the call
  // on; a process that was paused for longer calls the attempt off as not run.
  // Zero: `timeout`.
  base::Duration start_timeout{};
  // Longest silence of the target before the attempt counts as timed out.
  base::Duration idle_timeout{};
  // JSON object handed to the engine as kv_transfer_params; empty: none.
  std::string kv_transfer_params;
};

// What the target counted.
struct Usage {
  base::Tokens prompt{0};
  base::Tokens completion{0};
  base::Tokens cached{0};
};

// A plain service's answer, whole.
struct PlainAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
};

struct AttemptReport {
  base::Outcome outcome = base::Outcome::kUnknown;
  AttemptEnd end = AttemptEnd::kBadAnswer;

  // kRefused only: the target's reason and when to come back.
  TargetRefusal refusal = TargetRefusal::kNone;
  // Our own words on what went wrong.
  std::string message;
  // The target's own words, which may repeat the request: for its caller only,
  // never for logs.
  std::string target_message;
  std::optional<base::Duration> retry_after;

  // Tokens handed to the sink by this attempt.
  base::Tokens tokens{0};
  // kWhole only.
  std::string finish_reason;
  Usage usage;
  std::optional<PlainAnswer> plain;
  // JSON object from a prefill engine; empty: none.
  std::string kv_transfer_params;

  // The X-Engine-Load header as it came; empty: none.
  std::string load_json;
  // From the call to the first token; unset when none came.
  std::optional<base::Duration> first_token;
};

// Whether not one byte of the attempt left this process, so that the next one
// is no more load for the targets than the first.
bool NothingWasSent(const AttemptReport& report) noexcept;

// A run of tokens. `text` is valid during the call only.
struct TokenChunk {
  std::string_view text;
  // Index of the first token in the whole answer.
  base::Tokens offset{0};
  base::Tokens count{0};
};

// Where an attempt's tokens go. Called on the thread that runs the attempt,
// except `cancelled`.
struct TokenSink {
  // False ends the attempt: the caller has gone or the chunk does not fit.
  std::function<bool(const TokenChunk&)> on_token;
  // Polled from another thread while the target is silent; true ends the
  // attempt. May be empty. Must be thread-safe.
  std::function<bool()> cancelled;
};

// Runs one attempt; blocks until it ended. Thread-safe. Never throws.
using RunAttempt =
    std::function<AttemptReport(const AttemptOrder&, const TokenSink&)>;

// Tells a target to stop an attempt that is no longer wanted. Best effort; must
// not wait for the target.
using CancelAttempt = std::function<void(const AttemptOrder&)>;

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_ATTEMPT_H_
