// Attempts at targets: sending a request and handling the answer.
#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <utility>

#include <boost/beast/core/string.hpp>

#include "base/log.h"
#include "connection/event/call.h"
#include "connection/event/hop_headers.h"
#include "request/passthrough/engine_address.h"
#include "request/passthrough/in_flight_request.h"
#include "request/passthrough/relay_run.h"

namespace lynxglade::request::passthrough {

namespace {

using connection::event::AnswerHead;
using connection::event::Awaitable;
using connection::event::Call;
using connection::event::ErrorCode;
using connection::event::Exchange;
using connection::event::ExchangeState;
using connection::event::OutgoingRequest;
using connection::event::ResponseHead;
namespace http = connection::event::http;

constexpr unsigned kHttp11 = 11;
constexpr unsigned kFirstFailure = 400;
constexpr unsigned kFirstServerFailure = 500;
// Limit for answers that are not forwarded.
constexpr std::size_t kMaxInternalAnswerBytes = std::size_t{64} * 1024;
constexpr base::Duration kReleaseTimeout = std::chrono::milliseconds(500);

AnswerHead HeadForCaller(const ResponseHead& head) {
  AnswerHead answer;
  answer.status = head.result_int();
  answer.reason = std::string(head.reason());
  answer.fields = head;
  connection::event::EraseHopHeaders(answer.fields);
  return answer;
}

// How the connection was made, for logs.
std::string_view ConnectionName(const Exchange& exchange) {
  return exchange.connect_end() ? ToString(*exchange.connect_end()) : "kept";
}

// A target may leave the type of a stream out.
bool IsEventStream(const ResponseHead& head) {
  const auto type = head[http::field::content_type];
  return type.empty() || boost::beast::iequals(type.substr(0, type.find(';')),
                                               "text/event-stream");
}

}  // namespace

// The runner has free slots and accepts other requests, so the KV cache is
// probably not available.
Awaitable<void> RelayRun::HandleRejectedFetch(const Engine& runner) {
  if (IsFull(runner) || runner.health.RejectsAll()) {
    co_return;
  }
  ++failed_prefills_;
  tried_.push_back(source_->engine->entry.id);
  source_->engine->health.OnFailure(deps_.clock());
  deps_.metrics.GetCounter("lynxglade_kv_fetches_rejected_total").Add();
  co_await ReleaseKvSource();
}

// The first prefill that an engine accepts does not count against the budget;
// one that is rejected or not answered does, so its cost is reserved before it
// is sent. Later prefills are paid for by ReserveRetry().
Awaitable<bool> RelayRun::PrefillPrompt(const EnginePick& pick) {
  bool may_count = false;
  if (accepted_prefills_ > 0) {
    co_return co_await SendPrefill(pick, &may_count);
  }
  const auto reserved = std::make_shared<std::optional<ReservedArrivals>>();
  const std::function<bool(base::Time)> reserve = [&](base::Time now) {
    *reserved = deps_.retry_budget.TryReserve(
        service_, 1, ArrivalPurpose::kFirstPrefill, deps_.instances(), now);
    return reserved->has_value();
  };
  const bool paid = co_await WaitForBudget(
      reserve, deps_.retry_budget.IsStarting(deps_.clock())
                   ? options_.start_budget_timeout
                   : options_.budget_timeout);
  if (!paid) {
    prefill_denied_ = true;
    deps_.metrics
        .GetCounter("lynxglade_retry_denials_total",
                    {{"reason", "first_reading"}})
        .Add();
    LogBudget("reading_denied", "", 1);
    co_return false;
  }
  connection::event::asio::steady_timer timer(deps_.loop,
                                              options_.rejection_window);
  timer.async_wait([this, reserved, alive = alive_](const ErrorCode& ec) {
    if (!ec && *alive && *reserved) {
      deps_.retry_budget.Release(service_, **reserved, deps_.clock());
      reserved->reset();
    }
  });
  const bool prefilled = co_await SendPrefill(pick, &may_count);
  // The first arrival of a request never counts, if no other one follows.
  may_count = may_count && !(IsStopped() && arrivals_ <= 1);
  if (*reserved && may_count) {
    deps_.retry_budget.Charge(service_, **reserved);
  } else if (*reserved) {
    deps_.retry_budget.Release(service_, **reserved, deps_.clock());
  } else if (may_count) {
    deps_.retry_budget.ChargeLate(service_, deps_.clock());
  }
  reserved->reset();
  co_return prefilled;
}

// Prefilled by its runner, the prompt stalls other requests' streams. That is
// borne for the few seconds after a start, while its runner has nothing else to
// prefill.
bool RelayRun::MayStallDecode(const EnginePick& pick) const {
  return deps_.retry_budget.IsStarting(deps_.clock()) && pick.no_other_prefills;
}

Awaitable<bool> RelayRun::SendPrefill(const EnginePick& pick, bool* may_count) {
  // The prefill may have waited for budget.
  if (CheckQuarantine()) {
    co_return false;
  }
  const auto endpoint = EndpointOf(*pick.prefill_engine);
  if (!endpoint) {
    ++failed_prefills_;
    co_return false;
  }
  const base::Time started_at = deps_.clock();
  if (!deps_.limits.MaySend(*pick.prefill_engine, started_at)) {
    co_return false;
  }
  InFlightRequest in_flight(pick.prefill_engine, Priority(),
                            pick.prefill_tokens, pick.prefill_time, started_at);
  SendTerms terms = MakeTerms(pick.prefill_engine);
  terms.prefill_only = true;
  terms.fetch_from = pick.fetch_from;
  RecordAttempt(*pick.prefill_engine);
  const int entry_changes = pick.prefill_engine->entry_changes;
  Exchange exchange(deps_.channels);
  current_ = &exchange;
  const ExchangeState state = co_await exchange.Start(
      *endpoint, Message(terms), AnswerFilter(), /*recent_only=*/false);
  RecordReach(*pick.prefill_engine, exchange);
  bool rejected = false;
  if (state == ExchangeState::kHead || state == ExchangeState::kWhole) {
    const AnswerInfo info = deps_.protocol.parse_answer(exchange.head());
    RecordStatements(*pick.prefill_engine, info, started_at);
    if (info.misdirected) {
      MarkMisdirected(*pick.prefill_engine, entry_changes, deps_.clock());
    }
    const std::string body =
        co_await exchange.ReadRest(kMaxInternalAnswerBytes);
    const bool good = exchange.state() == ExchangeState::kWhole &&
                      exchange.head().result() == http::status::ok;
    const auto handle = good ? deps_.protocol.parse_handle(body) : std::nullopt;
    if (handle) {
      source_ = KvSource{pick.prefill_engine, *handle};
    }
    rejected = !handle;
  }
  current_ = nullptr;
  if (source_) {
    in_flight.OnPrefillDone(deps_.clock());
    RecordPrefill(pick, deps_.clock() - started_at);
    pick.prefill_engine->health.OnAccepted();
    ++accepted_prefills_;
    prefilled_at_ = Elapsed();
    co_return true;
  }
  // An unreachable engine did no work and counts in unreachable_ instead.
  failed_prefills_ += state == ExchangeState::kNotSent ? 0 : 1;
  if (!IsStopped()) {
    pick.prefill_engine->health.OnFailure(deps_.clock());
    deps_.metrics.GetCounter("lynxglade_prompt_reads_failed_total").Add();
  }
  *may_count = rejected || (exchange.sent() && !exchange.unacknowledged());
  base::Log(base::LogLevel::kInfo, "reading_failed",
            {{"request", terms_.request_id},
             {"reader", pick.prefill_engine->entry.id.str()},
             {"rejected", rejected},
             {"status",
              rejected ? static_cast<std::int64_t>(exchange.head().result_int())
                       : std::int64_t{0}},
             {"connection", ConnectionName(exchange)},
             {"via", exchange.via().str()},
             {"unacknowledged", exchange.unacknowledged()},
             {"counts", *may_count},
             {"stopped", IsStopped()},
             {"ms", base::ToMillis(deps_.clock() - started_at)}});
  co_return false;
}

// Otherwise the cache would use memory until it expires.
Awaitable<void> RelayRun::ReleaseKvSource() {
  if (!source_) {
    co_return;
  }
  const KvSource source = *std::exchange(source_, std::nullopt);
  const auto endpoint = EndpointOf(*source.engine);
  if (!endpoint) {
    co_return;
  }
  deps_.limits.OnSend(*source.engine, deps_.clock());
  // If this fails, the cache expires at its engine.
  co_await Call(deps_.loop, deps_.channels, *endpoint,
                deps_.protocol.free_handle(source),
                {.timeout = kReleaseTimeout}, nullptr);
}

Awaitable<AttemptEnd> RelayRun::SendRequest(const EnginePick& pick) {
  const EngineHandle target = pick.runner;
  const auto endpoint = EndpointOf(*target);
  // Another request may have used the share since the target was picked.
  if (!deps_.limits.MaySend(*target, deps_.clock())) {
    co_return AttemptEnd::kNotRun;
  }
  claim_.reset();
  tried_.push_back(target->entry.id);
  if (!endpoint) {
    co_return AttemptEnd::kNotRun;
  }
  QuarantineRun run(deps_.quarantine, deps_.clock);
  if (!StartRun(run, *target)) {
    co_return AttemptEnd::kNotRun;
  }
  quarantine_run_ = &run;
  const bool prefills = !source_;
  const int events_before = events_.events();
  sent_at_ = deps_.clock();
  met_free_slot_ = !IsFull(*target) && target->in_flight < target->entry.slots;
  InFlightRequest in_flight(target, Priority(),
                            prefills ? pick.prefill_tokens : 0,
                            pick.prefill_time, deps_.clock());
  SendTerms terms = MakeTerms(target);
  terms.source = source_;
  terms.fetch_from = prefills ? pick.fetch_from : nullptr;
  terms.last_event_id =
      events_.last_id().empty() ? terms_.last_event_id : events_.last_id();
  RecordAttempt(*target);
  const int entry_changes = target->entry_changes;
  Exchange exchange(deps_.channels);
  current_ = &exchange;
  const ExchangeState state = co_await exchange.Start(
      *endpoint, Message(terms), AnswerFilter(), !route_->CanRetry());
  RecordReach(*target, exchange);
  in_flight.OnPrefillDone(deps_.clock());
  AnswerReader answer(exchange);
  AttemptEnd end = AttemptEnd::kNotRun;
  if (state == ExchangeState::kHead || state == ExchangeState::kWhole) {
    end = co_await HandleAnswer(exchange, answer, target, entry_changes);
  } else {
    runs_ += exchange.sent() ? 1 : 0;
    end = EndAfterFailure(exchange, target);
  }
  quarantine_run_ = nullptr;
  RecordEvidence(run, answer, target, end,
                 /*answering=*/events_.events() > events_before);
  answer_ = {.framing = exchange.framing(),
             .end = answer.end(),
             .held_bytes = answer.held_bytes(),
             .connection = ConnectionName(exchange),
             .via = exchange.via(),
             .unacknowledged = exchange.unacknowledged()};
  current_ = nullptr;
  co_return end;
}

Awaitable<AttemptEnd> RelayRun::HandleAnswer(Exchange& exchange,
                                             AnswerReader& answer,
                                             const EngineHandle& target,
                                             int entry_changes) {
  const AnswerInfo info = deps_.protocol.parse_answer(exchange.head());
  RecordStatements(*target, info, sent_at_);
  if (info.misdirected) {
    MarkMisdirected(*target, entry_changes, deps_.clock());
  }
  const unsigned status = exchange.head().result_int();
  if (info.outcome == base::Outcome::kNotRun) {
    RecordRejection(*target, info);
    co_await exchange.ReadRest(kMaxInternalAnswerBytes);
    co_return IsStopped() ? AttemptEnd::kStopped : AttemptEnd::kNotRun;
  }
  ++runs_;
  if (info.authenticated) {
    target->health.OnAccepted();
  }
  if (status < kFirstFailure && !info.authenticated) {
    exchange.Cancel();
    co_return EndAfterFailure(exchange, target);
  }
  const bool events = route_->kind == RouteKind::kStream &&
                      status < kFirstFailure && IsEventStream(exchange.head());
  if (events) {
    answer.ReadAsEvents(events_);
    co_return co_await ForwardStream(answer, target);
  }
  if (reply_.begun()) {
    co_return AttemptEnd::kBroken;
  }
  co_return co_await ForwardBuffered(answer, target);
}

Awaitable<AttemptEnd> RelayRun::ForwardBuffered(AnswerReader& answer,
                                                const EngineHandle& target) {
  const Exchange& exchange = answer.exchange();
  std::string body;
  while (answer.end() == AnswerEnd::kOpen &&
         body.size() <= options_.max_buffered_bytes) {
    body.append(co_await answer.ReadSome());
  }
  if (answer.end() == AnswerEnd::kOpen) {
    reply_.Begin(HeadForCaller(exchange.head()));
    const bool sent = co_await reply_.SendPiece(body);
    if (!sent) {
      co_return AttemptEnd::kFinished;
    }
    co_return co_await ForwardStream(answer, target);
  }
  if (answer.end() != AnswerEnd::kWhole) {
    co_return EndAfterFailure(exchange, target);
  }
  RecordFinishedRun(*target);
  AnswerHead head = HeadForCaller(exchange.head());
  if (head.status >= kFirstServerFailure) {
    saved_answer_ = SavedAnswer{std::move(head), std::move(body)};
    co_return AttemptEnd::kFailed;
  }
  status_ = head.status;
  co_await reply_.SendWhole(std::move(head), body);
  co_return AttemptEnd::kFinished;
}

Awaitable<AttemptEnd> RelayRun::ForwardStream(AnswerReader& answer,
                                              const EngineHandle& target) {
  bool sent = true;
  while (sent && answer.end() == AnswerEnd::kOpen) {
    const int events_before = events_.events();
    const std::string_view piece = co_await answer.ReadSome();
    if (!piece.empty()) {
      if (quarantine_run_) {
        quarantine_run_->OnAnswering();
      }
      sent = co_await ForwardPiece(answer, *target,
                                   events_.events() - events_before, piece);
    }
  }
  if (!sent) {
    answer.Cancel();
    co_return AttemptEnd::kFinished;
  }
  if (answer.end() != AnswerEnd::kWhole) {
    co_return EndAfterFailure(answer.exchange(), target);
  }
  if (!reply_.begun()) {
    reply_.Begin(HeadForCaller(answer.exchange().head()));
  }
  status_ = answer.exchange().head().result_int();
  if (runs_ == 1 && terms_.last_event_id.empty()) {
    deps_.generation_times.RecordAnswerSize(service_, terms_.expected_tokens,
                                            events_.events());
  }
  co_await reply_.End();
  co_return AttemptEnd::kFinished;
}

Awaitable<bool> RelayRun::ForwardPiece(const AnswerReader& answer,
                                       Engine& target,
                                       int events,
                                       std::string_view bytes) {
  const base::Duration now = Elapsed();
  RecordRun(deps_.clock());
  if (!reply_.begun()) {
    first_bytes_at_ = now;
    RecordForecast();
    if (prefilled_at_) {
      deps_.prefill_times.RecordHandover(service_, now - *prefilled_at_);
    }
    reply_.Begin(HeadForCaller(answer.exchange().head()));
  } else {
    longest_pause_ = std::max(longest_pause_, now - last_bytes_at_);
    RecordPace(target, events, now - last_bytes_at_);
  }
  last_bytes_at_ = now;
  co_return co_await reply_.SendPiece(bytes);
}

AttemptEnd RelayRun::EndAfterFailure(const Exchange& exchange,
                                     const EngineHandle& target) {
  const bool sent = exchange.sent();
  if (sent) {
    outcome_unknown_ = true;
  }
  if (IsStopped()) {
    return AttemptEnd::kStopped;
  }
  target->health.OnFailure(deps_.clock());
  if (!sent) {
    return AttemptEnd::kNotRun;
  }
  // Most often it ran, and its answer was lost.
  if (!exchange.unacknowledged()) {
    RecordFinishedRun(*target);
  }
  return reply_.begun() ? AttemptEnd::kBroken : AttemptEnd::kUnknown;
}

SendTerms RelayRun::MakeTerms(const EngineHandle& target) const {
  SendTerms terms;
  terms.target = target;
  terms.time_left = TimeLeft();
  terms.priority = Priority();
  terms.withhold_credentials = table_->keys().has_value();
  if (organisation_) {
    terms.organisation = organisation_->id;
  }
  return terms;
}

OutgoingRequest RelayRun::Message(const SendTerms& terms) const {
  connection::event::RequestHead head = request_->head;
  connection::event::EraseHopHeaders(head);
  deps_.protocol.rewrite_head(head, terms);
  OutgoingRequest message(std::move(head), request_->body);
  message.version(kHttp11);
  message.keep_alive(true);
  if (!request_->body.empty() || message.method() != http::verb::get) {
    message.content_length(request_->body.size());
  }
  return message;
}

connection::event::AnswerFilter RelayRun::AnswerFilter() const {
  return [this](const ResponseHead& head, bool fresh) {
    return deps_.protocol.is_answer_to(head, terms_.request_id, fresh);
  };
}

}  // namespace lynxglade::request::passthrough
