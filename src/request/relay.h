// Carries one request from admission to the last byte.
//
// The relay owns the promises: an answer is delivered whole, each token once;
// a refusal that says "not run" is true; a non-idempotent request has at most
// one attempt that may have run. Which target, whether to retry, who may claim
// and how an attempt is carried out come in through hooks, so the daemon, the
// bench and the tests run the same code. See docs/notes/whole-once.md.
#ifndef LYNXGLADE_REQUEST_RELAY_H_
#define LYNXGLADE_REQUEST_RELAY_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/outcome.h"
#include "base/random.h"
#include "base/time.h"
#include "request/attempt.h"
#include "request/cost.h"
#include "request/request.h"
#include "request/target.h"

namespace lynxglade::request {

// What the relay wants a target for.
struct PickQuery {
  const Request* request = nullptr;
  AttemptKind kind = AttemptKind::kWhole;
  // Targets that this request has already failed at; a picked one of these
  // is taken only when the router has no other.
  std::vector<base::TargetId> avoid;
  // Set once tokens were delivered: only this version continues the answer.
  std::optional<base::ModelVersion> version;
};
struct PickResult {
  std::optional<Target> target;
  // Why there is none.
  RefusalReason reason = RefusalReason::kNoTarget;
  std::optional<base::Duration> retry_after;
};

// Leave to run, given by admission.
struct AdmissionVerdict {
  // Set: not admitted.
  std::optional<Refusal> refusal;
  // Gives the place back; called once, with what the run really cost. May be
  // empty.
  std::function<void(const Usage&)> release;
};

// A question to the retry policy after a failed attempt.
struct RetryQuery {
  const Request* request = nullptr;
  base::TargetId failed_target;
  const AttemptReport* report = nullptr;
  // Attempts made so far, at least 1.
  int attempts = 1;
  // When the request is given up: its deadline, or later once its answer has
  // begun.
  base::Time deadline{};
};
struct RetryVerdict {
  bool allowed = false;
  // Wait before the next attempt.
  base::Duration backoff{};
  // Not allowed: what the caller is told.
  RefusalReason reason = RefusalReason::kRetryBudget;
  std::optional<base::Duration> retry_after;
};

// An answer as it was delivered.
struct Answer {
  // Engines: the whole text. Empty when the caller streams, except that a
  // claimed request's text is kept for the record.
  std::string text;
  std::string finish_reason;
  Usage usage;
  std::optional<PlainAnswer> plain;
};

// A claim on the single run of a non-idempotent request.
struct Claim {
  std::string key;
  // Unique to this claim; tells our own write from another's.
  std::string write_id;
  // Revision of the key-value service at which the claim was written.
  std::int64_t mod_revision = 0;
  // What the claim says of the request, as written.
  std::string record;
};
// Answer to "may this request run here?".
struct ClaimVerdict {
  // Set: it may, and nobody else can.
  std::optional<Claim> claim;
  // Set: it must not; the refusal says what is known of the earlier run.
  std::optional<Refusal> refusal;
  // Set: it ran before and this was its recorded answer.
  std::optional<Answer> recorded;
};

// Everything outside the relay. All must be thread-safe. Those marked
// "optional" may be empty.
struct RelayHooks {
  std::function<PickResult(const PickQuery&)> pick;
  RunAttempt run;
  base::Clock now;
  base::RandomSource random;
  // Waits; returns early with false when `cancelled` turns true.
  std::function<bool(base::Duration, const std::function<bool()>& cancelled)>
      sleep;
  std::function<RetryVerdict(const RetryQuery&)> allow_retry;

  // Optional. What a run of the request is expected to cost; without it, the
  // request's own bounds count.
  std::function<Cost(const Request&)> estimate_cost;
  // Optional. Blocks until the request may run or is refused; gives up once
  // `caller_gone` returns true.
  std::function<AdmissionVerdict(const Request&,
                                 const std::function<bool()>& caller_gone)>
      admit;
  // Optional. Asked before every attempt.
  std::function<std::optional<Refusal>(const Request&)> check_quarantine;
  // Optional. The target's connection broke while it ran this content.
  std::function<void(const Request&, const base::TargetId&)> on_crash_evidence;
  // Optional. The target delivered this content whole.
  std::function<void(const Request&, const base::TargetId&)> on_clean_delivery;
  // Optional. Around every attempt, for load and ejection.
  std::function<void(const Target&, const AttemptOrder&)> on_attempt_start;
  std::function<void(const Target&, const AttemptOrder&, const AttemptReport&)>
      on_attempt_end;
  // Optional. Best effort, after an attempt that may still run upstream.
  CancelAttempt cancel;
  // Optional. Whether prefill and decode should go to separate engines.
  std::function<bool(const Request&)> wants_split;
  // Both or neither; without them non-idempotent requests are refused.
  std::function<ClaimVerdict(const Request&)> claim_begin;
  // `answer` is null unless the run was whole and its answer is small enough
  // to be recorded.
  std::function<void(const Claim&, base::Outcome, const Answer* answer)>
      claim_finish;
};

// Bounds that no policy may exceed.
struct RelayLimits {
  // Attempts of one request, refused ones included.
  int max_attempts = 6;
  // Reroutes after a target's own refusal that need no retry permission.
  int max_free_reroutes = 2;
  // A target may stay silent for this share of the time that is left (but at
  // least min_idle_timeout) before the request moves on. Non-idempotent
  // requests wait for all of it, since they may not move on.
  double idle_timeout_share = 0.5;
  base::Duration min_idle_timeout = std::chrono::seconds(2);
  // An answer that has begun by the deadline, and a run that cannot be
  // repeated, may end this much later: late is better than cut off.
  base::Duration late_grace = std::chrono::seconds(30);
  // Answers of non-idempotent requests up to this size are recorded with the
  // claim, so that a repeat gets the answer itself.
  std::size_t max_recorded_bytes = 4u << 10;
};

// Where the caller's answer goes. Called on the thread of Serve(), except
// `disconnected`.
struct CallerSink {
  // Streaming callers only; false when the caller has gone. Each token of the
  // answer comes once and in order. A request that cannot be repeated runs on
  // after its caller has gone, so that a repeat gets the recorded answer.
  std::function<bool(const TokenChunk&)> on_token;
  // Whether the caller's connection has closed. May be empty. Thread-safe.
  std::function<bool()> disconnected;
};

struct RelayResult {
  // Unset: `answer` is whole.
  std::optional<Refusal> refusal;
  Answer answer;
  // True when the answer is the recorded one of an earlier run. Nothing was
  // passed to on_token.
  bool replayed = false;
  // Tokens passed to on_token.
  base::Tokens delivered{0};
  int attempts = 0;
  // From Request::arrived to the first token.
  std::optional<base::Duration> first_token;
  base::TargetId last_target;
};

// Thread-safe: Serve() is called on many threads at once. Holds no lock. Keeps
// Target::own of the targets it uses up to date.
class Relay {
 public:
  Relay(RelayHooks hooks, RelayLimits limits);
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // Blocks until the request is answered whole or given up on. Never throws.
  RelayResult Serve(const Request& request, const CallerSink& sink) const;

 private:
  RelayHooks hooks_;
  RelayLimits limits_;
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_RELAY_H_
