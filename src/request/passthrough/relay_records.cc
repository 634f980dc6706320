// What a request adds to the estimates and counts that later requests use.
#include <algorithm>
#include <chrono>
#include <utility>

#include "connection/event/sleep.h"
#include "request/passthrough/relay_run.h"

namespace lynxglade::request::passthrough {

namespace {

using connection::event::Awaitable;
using connection::event::ExchangeState;

// Fraction of the latency target beyond which the wait for a prefill counts as
// caused by too few engines.
constexpr double kCrowdedWait = 0.25;

}  // namespace

void RelayRun::Classify() {
  if (terms_.prompt.empty()) {
    return;
  }
  standing_ = deps_.served_shares.Classify(
      service_, route_->name,
      RequestSize(terms_.prompt.TotalTokens(), terms_.expected_tokens),
      deps_.clock());
}

// A request that had to be sent to another target says nothing of the time that
// the first one would have taken.
void RelayRun::RecordForecast() {
  if (forecast_ && rejections_ == 0 && unreachable_ == 0) {
    deps_.forecast_errors.Record(service_, forecast_->priority,
                                 {.foreseen = forecast_->expected,
                                  .took = Elapsed() - forecast_->made_after,
                                  .given_up = !first_bytes_at_,
                                  .time_limit = forecast_->time_limit},
                                 deps_.clock());
  }
  forecast_.reset();
}

double RelayRun::ArrivingPerRunner() const {
  const base::Time now = deps_.clock();
  int prefilling = 0;
  int runners = 0;
  for (const EngineHandle& it : deps_.engines.OfService(service_)) {
    if (it->entry.stage == EngineStage::kPrefill) {
      prefilling += KnownLoad(*it, now);
    } else if (!it->entry.draining) {
      ++runners;
    }
  }
  return static_cast<double>(prefilling) / std::max(runners, 1);
}

// The size of a whole answer is known; one that was broken off may be longer
// than expected.
void RelayRun::RecordShare() const {
  if (terms_.prompt.empty()) {
    deps_.served_shares.RecordEnd(service_, route_->name, 0, IsServed(),
                                  deps_.clock());
    return;
  }
  const std::int64_t generated =
      deps_.generation_times.TokensOf(service_, events_.events()).value_or(0);
  const std::int64_t tokens = IsServed() && generated > 0
                                  ? generated
                                  : std::max(generated, terms_.expected_tokens);
  deps_.served_shares.RecordEnd(
      service_, route_->name, RequestSize(terms_.prompt.TotalTokens(), tokens),
      IsServed(), deps_.clock());
}

void RelayRun::RecordPrefill(const EnginePick& pick, base::Duration took) {
  if (!pick.no_other_prefills) {
    return;
  }
  if (pick.fetch_from) {
    deps_.prefill_times.RecordPrefillAfterFetch(*pick.prefill_engine,
                                                pick.prefill_tokens, took);
  } else {
    deps_.prefill_times.RecordPrefill(*pick.prefill_engine, pick.prefill_tokens,
                                      took);
  }
}

// Without a fresh load report the number of requests of other instances is
// unknown.
void RelayRun::RecordPace(Engine& target, int events, base::Duration took) {
  const base::Time now = deps_.clock();
  if (events > 0 && HasFreshReport(target, now)) {
    deps_.generation_times.RecordEvent(target, KnownLoad(target, now),
                                       took / events);
  }
}

void RelayRun::RecordRun(base::Time began) {
  if (std::exchange(run_recorded_, true) || !organisation_ || !deps_.on_run) {
    return;
  }
  deps_.on_run(organisation_->id, began);
}

void RelayRun::RecordFinishedRun(const Engine& target) {
  const base::Time now = deps_.clock();
  if (route_->kind == RouteKind::kStream) {
    RecordRun(now);
    return;
  }
  if (met_free_slot_) {
    deps_.run_times.Record(target.entry.service, now - sent_at_);
  }
  RecordRun(deps_.run_times.Began(target.entry.service, sent_at_, now));
}

void RelayRun::RecordPlacement(const EnginePick& pick, bool rejected) {
  if (!deps_.on_placed) {
    return;
  }
  const bool waits = route_->target_latency > base::Duration::zero() &&
                     pick.wait > std::chrono::duration_cast<base::Duration>(
                                     kCrowdedWait * route_->target_latency);
  deps_.on_placed(rejected || waits);
}

void RelayRun::RecordAttempt(Engine& engine) {
  engine.health.OnTry(deps_.clock());
  deps_.limits.OnSend(engine, deps_.clock());
  deps_.zones.OnTry(engine.entry.zone, deps_.clock());
}

void RelayRun::RecordReach(const Engine& engine, const Exchange& exchange) {
  const ExchangeState state = exchange.state();
  if (state == ExchangeState::kHead || state == ExchangeState::kWhole) {
    deps_.zones.OnReached(engine.entry.zone);
  } else if (state == ExchangeState::kNotSent) {
    deps_.zones.OnUnreachable(engine.entry.zone, engine.entry.id,
                              deps_.clock());
    ++unreachable_;
  }
  if (exchange.sent() && !exchange.unacknowledged()) {
    ++arrivals_;
  }
}

std::optional<EndReason> RelayRun::CheckQuarantine() {
  denial_ = deps_.quarantine.Check(identity_, deps_.clock());
  return denial_ ? std::optional(DenialReason()) : std::nullopt;
}

EndReason RelayRun::DenialReason() const {
  return denial_ == QuarantineDenial::kQuarantined ? EndReason::kQuarantined
                                                   : EndReason::kHeldBack;
}

Awaitable<bool> RelayRun::WaitForEvidence() {
  const base::Time wait_until = deps_.clock() + options_.evidence_timeout;
  while (CheckQuarantine() && denial_ == QuarantineDenial::kEvidencePending &&
         !IsStopped() && deps_.clock() < wait_until) {
    co_await connection::event::SleepFor(deps_.loop,
                                         options_.evidence_poll_interval);
  }
  co_return !denial_;
}

bool RelayRun::StartRun(QuarantineRun& run, const Engine& target) {
  denial_ = run.Start(identity_, QuarantineTarget(target));
  held_back_ += denial_ ? 1 : 0;
  return !denial_;
}

void RelayRun::RecordEvidence(QuarantineRun& run,
                              const AnswerReader& answer,
                              const EngineHandle& target,
                              AttemptEnd end,
                              bool answering) {
  switch (answer.end()) {
    case AnswerEnd::kWhole:
      if (end != AttemptEnd::kNotRun) {
        run.OnDelivered();
      }
      return;
    case AnswerEnd::kOpen:
    case AnswerEnd::kStopped:
      return;
    case AnswerEnd::kMessageCut:
    case AnswerEnd::kEventCut:
    case AnswerEnd::kNoEvent:
      break;
  }
  const Exchange& exchange = answer.exchange();
  // A target that leaves may break off what it still has.
  const bool leaves =
      target->entry.draining || deps_.engines.Find(target->entry.id) != target;
  if (exchange.sent() && !exchange.unacknowledged() && !leaves) {
    run.OnLost(answering);
    deps_.crash_checks.Start(target);
  }
}

void RelayRun::RecordRejection(Engine& runner, const AnswerInfo& info) {
  ++rejections_;
  if (info.evidence == RunEvidence::kMisdirected) {
    runner.health.OnFailure(deps_.clock());
  } else if (!IsFull(runner)) {
    runner.health.OnRejection(source_.has_value(), deps_.clock());
  }
}

void RelayRun::RecordStatements(Engine& engine,
                                const AnswerInfo& info,
                                base::Time sent_at) {
  if (info.load) {
    engine.reported = *info.load;
    engine.reported_at = deps_.clock();
  }
  if (info.unknown_headers > 0) {
    deps_.metrics.GetCounter("lynxglade_unknown_answer_headers_total")
        .Add(info.unknown_headers);
  }
  // Another target wrote the answer to a misdirected request. A target that
  // rejects one does not have to state its limit.
  const bool may_end_limit =
      engine.limit.named.rate().has_value() && !ProvesNotRun(info.evidence);
  const bool states_limit =
      info.limit.kind != LimitStatement::Kind::kNone || may_end_limit;
  if (info.evidence != RunEvidence::kMisdirected && states_limit) {
    deps_.limits.Observe(engine, info.limit, {sent_at, deps_.clock()},
                         terms_.request_id);
  }
}

}  // namespace lynxglade::request::passthrough
