// Processes a request from admission to the last byte of its answer.
//
// Guarantees: a successful answer is complete and has each token once; an
// outcome of not-run is correct; and a non-idempotent request has at most one
// attempt that may have run. The choice of targets, retries, claims and the
// execution of attempts are provided as hooks, so that the daemon, benchmarks
// and tests run the same code. See docs/design/whole-once.md.
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

// Describes the attempt for which a target is requested.
struct PickQuery {
  const Request* request = nullptr;
  AttemptKind kind = AttemptKind::kWhole;
  // Targets at which an attempt of this request failed. To be picked only if
  // there is no other.
  std::vector<base::TargetId> avoid;
  // Set once tokens were delivered: only this version may continue the answer.
  std::optional<base::ModelVersion> version;
};
struct PickResult {
  std::optional<Target> target;
  // Why there is no target.
  RefusalReason reason = RefusalReason::kNoTarget;
  std::optional<base::Duration> retry_after;
};

// Result of admission.
struct AdmissionDecision {
  // Set if not admitted.
  std::optional<Refusal> refusal;
  // Returns the capacity. Called once, with the actual usage. May be empty.
  std::function<void(const Usage&)> release;
};

// Describes a failed attempt to the retry policy.
struct RetryQuery {
  const Request* request = nullptr;
  base::TargetId failed_target;
  const AttemptReport* report = nullptr;
  // Attempts made so far, at least 1.
  int attempts = 1;
  // The request's deadline, plus RelayLimits::late_grace once its answer has
  // started.
  base::Time deadline{};
};
struct RetryDecision {
  bool allowed = false;
  // Time to wait before the next attempt.
  base::Duration backoff{};
  // The refusal for the caller if not allowed.
  RefusalReason reason = RefusalReason::kRetryBudget;
  std::optional<base::Duration> retry_after;
};

// A complete answer.
struct Answer {
  // Engines only: the whole text. Empty if the answer was streamed, except that
  // the text of a claimed request is kept for the claim record if it is small
  // enough.
  std::string text;
  std::string finish_reason;
  Usage usage;
  std::optional<PlainAnswer> plain;
};

// The exclusive right to run a non-idempotent request; see claims.h.
struct Claim {
  std::string key;
  // Unique id that distinguishes this claim's write from others.
  std::string write_id;
  // Revision of the key-value service at which the claim was written.
  std::int64_t mod_revision = 0;
  // The encoded ClaimRecord, as written.
  std::string record;
};
// Whether a non-idempotent request may run. One of the members is set.
struct ClaimDecision {
  // Set if it may run here, and nowhere else.
  std::optional<Claim> claim;
  // Set if it must not run. The outcome tells what is known of an earlier run.
  std::optional<Refusal> refusal;
  // Set if it ran before and its answer was recorded.
  std::optional<Answer> recorded;
};

// Functions provided to the relay. All must be thread-safe. Those marked
// "Optional" may be empty.
struct RelayHooks {
  std::function<PickResult(const PickQuery&)> pick;
  RunAttempt run;
  base::Clock now;
  base::RandomSource random;
  // Sleeps. Returns early, with false, if `cancelled` returns true.
  std::function<bool(base::Duration, const std::function<bool()>& cancelled)>
      sleep;
  std::function<RetryDecision(const RetryQuery&)> allow_retry;

  // Optional. Estimates the cost of the request. Without it, the request's
  // prompt_tokens and max_output_tokens are used.
  std::function<Cost(const Request&)> estimate_cost;
  // Optional. Blocks until the request may run or is refused. Refuses it if
  // `caller_gone` returns true.
  std::function<AdmissionDecision(const Request&,
                                  const std::function<bool()>& caller_gone)>
      admit;
  // Optional. Called before every attempt.
  std::function<std::optional<Refusal>(const Request&)> check_quarantine;
  // Optional. The connection to the target was lost during an attempt.
  std::function<void(const Request&, const base::TargetId&)> on_connection_lost;
  // Optional. The target delivered a complete answer.
  std::function<void(const Request&, const base::TargetId&)> on_delivered;
  // Optional. Called before and after every attempt.
  std::function<void(const Target&, const AttemptSpec&)> on_attempt_start;
  std::function<void(const Target&, const AttemptSpec&, const AttemptReport&)>
      on_attempt_end;
  // Optional. Called after an attempt that may still run at the target. Best
  // effort.
  CancelAttempt cancel;
  // Optional. Whether prefill and decode should go to separate engines.
  std::function<bool(const Request&)> wants_split;
  // Optional, both or neither. Without them non-idempotent requests are
  // refused.
  std::function<ClaimDecision(const Request&)> claim_begin;
  // `answer` is null unless the answer is complete and small enough to be
  // recorded.
  std::function<void(const Claim&, base::Outcome, const Answer* answer)>
      claim_finish;
};

// Limits enforced by the relay independently of the hooks.
struct RelayLimits {
  // Maximum number of attempts per request, including refused ones.
  int max_attempts = 6;
  // Maximum number of retries without allow_retry, after a target refused
  // because it is draining, changing or has not loaded the model.
  int max_free_reroutes = 2;
  // AttemptSpec::idle_timeout as a fraction of the time to the deadline, and
  // its minimum. Non-idempotent requests, which cannot be retried elsewhere,
  // use the whole time to the deadline.
  double idle_timeout_share = 0.5;
  base::Duration min_idle_timeout = std::chrono::seconds(2);
  // How long after the deadline an answer that has started may still continue,
  // so that it is late rather than truncated.
  base::Duration late_grace = std::chrono::seconds(30);
  // Maximum size of an answer that is recorded with the claim of a
  // non-idempotent request.
  std::size_t max_recorded_bytes = 4u << 10;
};

// Receives the caller's answer. Called on the thread of Serve(), except
// `disconnected`.
struct CallerSink {
  // Streaming requests only. Receives each token of the answer once and in
  // order. Returns false if the caller disconnected. A non-idempotent request
  // continues nevertheless, so that a repeat gets the recorded answer.
  std::function<bool(const TokenChunk&)> on_token;
  // Whether the caller's connection has closed. May be empty. Thread-safe.
  std::function<bool()> disconnected;
};

struct RelayResult {
  // If unset, `answer` is complete.
  std::optional<Refusal> refusal;
  Answer answer;
  // Whether the answer was recorded by an earlier run. If so, nothing was
  // passed to on_token.
  bool replayed = false;
  // Number of tokens passed to on_token.
  base::Tokens delivered{0};
  int attempts = 0;
  // From Request::arrived to the first token.
  std::optional<base::Duration> first_token;
  base::TargetId last_target;
};

// Thread-safe; holds no lock. Maintains Target::local_load of the targets that
// it uses.
class Relay {
 public:
  Relay(RelayHooks hooks, RelayLimits limits);
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // Blocks until the request is answered completely or refused. Never throws.
  RelayResult Serve(const Request& request, const CallerSink& sink) const;

 private:
  RelayHooks hooks_;
  RelayLimits limits_;
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_RELAY_H_
