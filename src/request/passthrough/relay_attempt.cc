// Attempts at targets: sending a request and handling the answer.
#include <algorithm>
#include <array>
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
using connection::event::ChannelReuse;
using connection::event::ErrorCode;
using connection::event::Exchange;
using connection::event::ExchangeState;
using connection::event::OutgoingRequest;
using connection::event::ResponseHead;
namespace http = connection::event::http;

constexpr unsigned kHttp11 = 11;
constexpr unsigned kFirstFailure = 400;
constexpr unsigned kFirstServerFailure = 500;

// Statuses that promise a caller that its request has not run and never will.
// From a target they do so only beside its statement.
constexpr std::array kPromisingStatuses{408U, 421U, 429U, 503U};

bool PromisesNotRun(unsigned status) {
  return std::ranges::find(kPromisingStatuses, status) !=
         kPromisingStatuses.end();
}

AnswerHead HeadForCaller(const ResponseHead& head) {
  AnswerHead answer;
  answer.status = head.result_int();
  answer.reason = std::string(head.reason());
  answer.fields = head;
  connection::event::EraseHopHeaders(answer.fields);
  return answer;
}

// A target may leave the type of a stream out.
bool IsEventStream(const ResponseHead& head) {
  const auto type = head[http::field::content_type];
  return type.empty() || boost::beast::iequals(type.substr(0, type.find(';')),
                                               "text/event-stream");
}

}  // namespace

Awaitable<AttemptEnd> RelayRun::SendRequest(const EnginePick& pick) {
  const EngineHandle target = pick.runner;
  const auto endpoint = EndpointOf(*target);
  // It may have waited meanwhile. One whose prompt has been prefilled goes on.
  if (!deps_.accepts() && !source_) {
    co_return AttemptEnd::kNotRun;
  }
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
  const ChannelReuse reuse =
      RecordSending(*endpoint, route_->CanRetry() ? ChannelReuse::kAny
                                                  : ChannelReuse::kRecent);
  Exchange exchange(deps_.channels);
  current_ = &exchange;
  const ExchangeState state =
      co_await exchange.Start(*endpoint, Message(terms), AnswerFilter(), reuse);
  RecordReach(*target, exchange);
  in_flight.OnPrefillDone(deps_.clock());
  AnswerReader answer(exchange);
  AttemptEnd end = AttemptEnd::kNotRun;
  if (state == ExchangeState::kHead || state == ExchangeState::kWhole) {
    end = co_await HandleAnswer(exchange, answer, target, entry_changes);
  } else {
    answer_.evidence =
        exchange.sent() ? RunEvidence::kNoAnswer : RunEvidence::kNotSent;
    runs_ += exchange.sent() ? 1 : 0;
    end = EndAfterFailure(exchange, target);
  }
  quarantine_run_ = nullptr;
  RecordEvidence(run, answer, target, end,
                 /*answering=*/events_.events() > events_before);
  answer_.framing = exchange.framing();
  answer_.end = answer.end();
  answer_.held_bytes = answer.held_bytes();
  answer_.fault = exchange.fault();
  answer_.connection = ConnectionName(exchange);
  answer_.via = exchange.via();
  answer_.unacknowledged = exchange.unacknowledged();
  current_ = nullptr;
  co_return end;
}

Awaitable<AttemptEnd> RelayRun::HandleAnswer(Exchange& exchange,
                                             AnswerReader& answer,
                                             const EngineHandle& target,
                                             int entry_changes) {
  const AnswerInfo info = deps_.protocol.parse_answer(exchange.head());
  RecordStatements(*target, info, sent_at_);
  if (info.evidence == RunEvidence::kMisdirected) {
    MarkMisdirected(*target, entry_changes,
                    deps_.engines.Find(info.answered_by), deps_.clock());
  }
  const unsigned status = exchange.head().result_int();
  answer_.status = exchange.head().result_int();
  answer_.evidence = info.evidence;
  answer_.answered_by = info.answered_by;
  if (ProvesNotRun(info.evidence)) {
    RecordRejection(*target, info);
    co_await exchange.ReadRest(kMaxInternalAnswerBytes);
    co_return IsStopped() ? AttemptEnd::kStopped : AttemptEnd::kNotRun;
  }
  ++runs_;
  if (info.authenticated) {
    target->health.OnAccepted();
  }
  if (PromisesNotRun(status) && !route_->CanRetry()) {
    co_await exchange.ReadRest(kMaxInternalAnswerBytes);
    RecordFinishedRun(*target);
    outcome_unknown_ = true;
    co_return IsStopped() ? AttemptEnd::kStopped : AttemptEnd::kFailed;
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

ChannelReuse RelayRun::RecordSending(
    const connection::event::Tcp::endpoint& endpoint,
    ChannelReuse reuse) {
  answer_.address = endpoint;
  answer_.resent = std::ranges::find(sent_to_, endpoint) != sent_to_.end();
  sent_to_.push_back(endpoint);
  // Nothing tells answers without an id apart, but their connections.
  return answer_.resent || terms_.request_id.empty() ? ChannelReuse::kNone
                                                     : reuse;
}

std::string_view RelayRun::ConnectionName(const Exchange& exchange) {
  return exchange.connect_end() ? ToString(*exchange.connect_end()) : "kept";
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
