#include "request/passthrough/relay_run.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <limits>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "base/hash.h"
#include "base/log.h"
#include "connection/event/hop_headers.h"
#include "request/passthrough/engine_use.h"

namespace lynxglade::request::passthrough {

namespace {

using base::Log;
using base::LogLevel;
using connection::event::AnswerHead;
using connection::event::Awaitable;
using connection::event::CancelAfter;
using connection::event::ErrorCode;
using connection::event::Exchange;
using connection::event::ExchangeState;
using connection::event::OutgoingRequest;
using connection::event::ResponseHead;
using connection::event::Tcp;
namespace asio = connection::event::asio;
namespace http = connection::event::http;

constexpr unsigned kHttp11 = 11;
constexpr unsigned kFirstFailure = 400;
constexpr unsigned kFirstServerFailure = 500;
// An answer of a target to a call that frees KV cache, or to a read-only call.
constexpr std::size_t kMaxSideAnswerBytes = std::size_t{64} * 1024;
constexpr base::Duration kFreePatience = std::chrono::milliseconds(500);
// Times a prompt's separate reading may fail before the run goes without.
constexpr int kMaxFailedReads = 1;

// What an end without a target's answer looks like to the caller. Those that
// promise that the request has not run and never will tell when to come back.
struct Refusal {
  EndReason reason;
  unsigned status;
  const char* phrase;
  bool promises_not_run;
};

constexpr std::array kRefusals{
    Refusal{EndReason::kNoConfiguration, 503, "Service Unavailable", true},
    Refusal{EndReason::kNoRoute, 404, "Not Found", false},
    Refusal{EndReason::kMalformedTerms, 400, "Bad Request", false},
    Refusal{EndReason::kNoService, 503, "Service Unavailable", true},
    Refusal{EndReason::kNoTarget, 503, "Service Unavailable", true},
    Refusal{EndReason::kHopeless, 503, "Service Unavailable", true},
    Refusal{EndReason::kRejected, 503, "Service Unavailable", true},
    Refusal{EndReason::kUnknownOutcome, 502, "Bad Gateway", false},
    Refusal{EndReason::kTimeout, 504, "Gateway Timeout", false},
};

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string_view View(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

AnswerHead HeadForCaller(const ResponseHead& head) {
  AnswerHead answer;
  answer.status = head.result_int();
  answer.reason = std::string(View(head.reason()));
  answer.fields = head;
  connection::event::EraseHopHeaders(answer.fields);
  return answer;
}

// Seconds with a fraction, as Retry-After.
std::string SecondsText(double seconds) {
  std::array<char, 32> buf{};
  const int n = std::snprintf(buf.data(), buf.size(), "%.2f", seconds);
  return std::string(buf.data(), static_cast<std::size_t>(std::max(n, 0)));
}

double Millis(base::Duration d) {
  return std::chrono::duration<double, std::milli>(d).count();
}

// -1 for what has not happened, in log lines.
std::int64_t MillisOrNone(const std::optional<base::Duration>& d) {
  return d ? base::ToMillis(*d) : -1;
}

std::optional<Tcp::endpoint> EndpointOf(const Engine& engine) {
  ErrorCode ec;
  const auto address = asio::ip::make_address(engine.entry.ip, ec);
  if (ec) {
    return std::nullopt;
  }
  return Tcp::endpoint(address, engine.entry.port);
}

}  // namespace

std::string_view ToString(EndReason reason) noexcept {
  switch (reason) {
    case EndReason::kNoConfiguration:
      return "no_configuration";
    case EndReason::kNoRoute:
      return "no_route";
    case EndReason::kMalformedTerms:
      return "malformed_terms";
    case EndReason::kNoService:
      return "no_service";
    case EndReason::kNoTarget:
      return "no_target";
    case EndReason::kHopeless:
      return "hopeless";
    case EndReason::kRejected:
      return "rejected";
    case EndReason::kUnknownOutcome:
      return "unknown_outcome";
    case EndReason::kTimeout:
      break;
  }
  return "timeout";
}

std::string_view ToString(AttemptEnd end) noexcept {
  switch (end) {
    case AttemptEnd::kFinished:
      return "finished";
    case AttemptEnd::kNotRun:
      return "not_run";
    case AttemptEnd::kFailed:
      return "failed";
    case AttemptEnd::kUnknown:
      return "unknown";
    case AttemptEnd::kTorn:
      return "torn";
    case AttemptEnd::kStopped:
      break;
  }
  return "stopped";
}

RelayRun::RelayRun(RelayParts& parts,
                   const RelayOptions& options,
                   std::shared_ptr<connection::event::CallerRequest> request,
                   connection::event::CallerReply& reply)
    : parts_(parts),
      options_(options),
      request_(std::move(request)),
      reply_(reply),
      timer_(parts.loop) {}

RelayRun::~RelayRun() {
  *alive_ = false;
  reply_.OnGone({});
}

Awaitable<void> RelayRun::Run() {
  if (const auto reason = Admit()) {
    co_await Refuse(*reason);
    LogEnd();
    co_return;
  }
  parts_.allowance.OnRequest(service_, parts_.clock());
  StartTimer();
  reply_.OnGone([this] {
    if (current_) {
      current_->Cancel();
    }
  });
  co_await RunAttempts();
  LogEnd();
}

std::optional<EndReason> RelayRun::Admit() {
  table_ = parts_.routes();
  if (!table_) {
    return EndReason::kNoConfiguration;
  }
  const auto& head = request_->head;
  route_ =
      table_->Find(View(head[http::field::host]), PathOf(View(head.target())));
  if (!route_) {
    return EndReason::kNoRoute;
  }
  std::string reason;
  auto terms = parts_.protocol.read_terms(head, &reason);
  if (!terms) {
    Log(LogLevel::kWarning, "request_malformed", {{"reason", reason}});
    return EndReason::kMalformedTerms;
  }
  terms_ = std::move(*terms);
  SetDeadline(terms_.patience);
  const base::ServiceName* service =
      RouteTable::PickService(*route_, base::Hash64(terms_.request_id));
  if (!service) {
    return EndReason::kNoService;
  }
  service_ = *service;
  return std::nullopt;
}

void RelayRun::SetDeadline(std::optional<base::Duration> patience) {
  base::Duration wait = patience.value_or(options_.default_patience);
  if (route_->timeout > base::Duration::zero()) {
    wait = std::min(wait, route_->timeout);
  }
  deadline_ = request_->arrived + wait;
}

void RelayRun::StartTimer() {
  timer_.expires_after(std::max(TimeLeft(), base::Duration::zero()));
  timer_.async_wait([this, alive = alive_](const ErrorCode& ec) {
    if (ec || !*alive) {
      return;
    }
    expired_ = true;
    if (current_) {
      current_->Cancel();
    }
  });
}

Awaitable<void> RelayRun::RunAttempts() {
  AttemptEnd end = AttemptEnd::kNotRun;
  while (true) {
    const EnginePick pick = Pick();
    if (!pick.runner || !Pay(pick, end)) {
      break;
    }
    const bool first = runs_ == 0 && rejections_ == 0 && !source_;
    if (first && IsHopeless(pick)) {
      co_await Refuse(EndReason::kHopeless);
      co_return;
    }
    end = co_await Attempt(pick);
    LogAttempt(pick, end);
    if (end == AttemptEnd::kFinished || !MayGoOn(end)) {
      break;
    }
  }
  if (end != AttemptEnd::kFinished) {
    co_await Finish(end);
  }
  co_await FreeSource();
}

// A prompt that would begin to be read after its answer is due is late for
// certain, and so is all that waits behind it. Its own size does not count:
// large prompts are as welcome as small ones.
bool RelayRun::IsHopeless(const EnginePick& pick) const {
  if (pick.expected_ms > Millis(TimeLeft())) {
    return true;
  }
  const base::Duration goal = route_->target_latency;
  return goal > base::Duration::zero() &&
         Millis(pick.wait) > options_.most_wait_of_goal * Millis(goal);
}

// KV cache that waits goes with the request to another engine.
EnginePick RelayRun::Pick() {
  const auto& engines = parts_.engines.OfService(service_);
  const ChoiceQuery query{
      .prompt = terms_.prompt,
      .priority = route_->priority,
      .tried = tried_,
      .most_in_flight = MostInFlight(),
      .pairs = failed_reads_ <= kMaxFailedReads && runs_ == 0,
      .now = parts_.clock()};
  if (!source_) {
    return parts_.choice.Pick(engines, query);
  }
  EnginePick pick;
  pick.runner = parts_.choice.PickDecoder(engines, *source_->engine, query);
  pick.reader = source_->engine;
  return pick;
}

int RelayRun::MostInFlight() const {
  // Idle connections count at the target, too, and counts of instances lag.
  constexpr int kLeast = 4;
  const ServiceTerms* service = table_->FindService(service_);
  if (!service || service->max_connections == 0) {
    return std::numeric_limits<int>::max();
  }
  return std::max(service->max_connections / std::max(parts_.instances(), 1),
                  kLeast);
}

bool RelayRun::Pay(const EnginePick& pick, AttemptEnd after) {
  const bool reads = pick.reader && !source_;
  const int arrivals = (runs_ + rejections_ > 0 ? 1 : 0) +
                       (reads && accepted_reads_ > 0 ? 1 : 0);
  if (arrivals == 0) {
    return true;
  }
  const bool paid = parts_.allowance.TryTake(
      service_, arrivals, parts_.instances(), parts_.clock());
  parts_.metrics
      .GetCounter(
          paid ? "lynxglade_retries_total" : "lynxglade_retry_denials_total",
          {{paid ? "after" : "reason",
            paid ? std::string(ToString(after)) : "allowance"}})
      .Add();
  return paid;
}

Awaitable<AttemptEnd> RelayRun::Attempt(EnginePick pick) {
  if (pick.reader && !source_) {
    const bool read = co_await ReadPrompt(pick);
    if (Stopped()) {
      co_return AttemptEnd::kStopped;
    }
    if (!read) {
      ++failed_reads_;
      co_return AttemptEnd::kNotRun;
    }
    // Loads have changed while the prompt was read.
    pick = Pick();
    if (!pick.runner) {
      co_return AttemptEnd::kNotRun;
    }
  }
  const int rejections_before = rejections_;
  const AttemptEnd end = co_await RunAt(pick);
  if (source_ && rejections_ > rejections_before) {
    co_await NoteRejectedFetch(*pick.runner);
  }
  if (end != AttemptEnd::kNotRun) {
    // Fetched, or bound to a run of unknown outcome.
    source_.reset();
  }
  co_return end;
}

// An engine with free slots that rejects a run cannot have the cache.
Awaitable<void> RelayRun::NoteRejectedFetch(const Engine& runner) {
  const bool full =
      runner.reported.running + runner.reported.waiting >= runner.entry.slots;
  if (full) {
    co_return;
  }
  ++failed_reads_;
  tried_.push_back(source_->engine->entry.id);
  NoteFailure(*source_->engine);
  parts_.metrics.GetCounter("lynxglade_kv_fetches_rejected_total").Add();
  co_await FreeSource();
}

Awaitable<bool> RelayRun::ReadPrompt(const EnginePick& pick) {
  const auto endpoint = EndpointOf(*pick.reader);
  if (!endpoint) {
    co_return false;
  }
  EngineUse use(pick.reader, route_->priority, pick.unread_tokens,
                pick.read_time, parts_.clock());
  SendTerms terms;
  terms.target = pick.reader;
  terms.time_left = TimeLeft();
  terms.priority = route_->priority;
  terms.read_only = true;
  terms.fetch_from = pick.fetch_from;
  Exchange exchange(parts_.channels);
  current_ = &exchange;
  const ExchangeState state = co_await exchange.Start(
      *endpoint, Message(terms), AnswerFilter(), /*careful=*/false);
  bool rejected = false;
  if (state == ExchangeState::kHead || state == ExchangeState::kWhole) {
    const AnswerFacts facts = parts_.protocol.read_answer(exchange.head());
    NoteLoad(*pick.reader, facts);
    const std::string body = co_await exchange.Rest(kMaxSideAnswerBytes);
    const bool good = exchange.state() == ExchangeState::kWhole &&
                      exchange.head().result() == http::status::ok;
    const auto handle = good ? parts_.protocol.read_handle(body) : std::nullopt;
    if (handle) {
      source_ = KvSource{pick.reader, *handle};
    }
    rejected = !handle;
  }
  current_ = nullptr;
  if (source_) {
    use.PromptRead(parts_.clock());
    ++accepted_reads_;
    prompt_read_at_ = Elapsed();
    co_return true;
  }
  if (!Stopped()) {
    NoteFailure(*pick.reader);
    parts_.metrics.GetCounter("lynxglade_prompt_reads_failed_total").Add();
  }
  // The first read that is accepted is no extra arrival; what is rejected or
  // unanswered is.
  if (rejected || exchange.sent()) {
    parts_.allowance.Charge(service_, parts_.clock());
  }
  co_return false;
}

// The cache would hold memory until its time runs out.
Awaitable<void> RelayRun::FreeSource() {
  if (!source_) {
    co_return;
  }
  const KvSource source = *std::exchange(source_, std::nullopt);
  const auto endpoint = EndpointOf(*source.engine);
  if (!endpoint) {
    co_return;
  }
  Exchange exchange(parts_.channels);
  const CancelAfter bound(parts_.loop, exchange, kFreePatience);
  co_await exchange.Start(*endpoint, parts_.protocol.free_handle(source), {},
                          /*careful=*/false);
  co_await exchange.Rest(kMaxSideAnswerBytes);
}

Awaitable<AttemptEnd> RelayRun::RunAt(const EnginePick& pick) {
  const EngineHandle target = pick.runner;
  const auto endpoint = EndpointOf(*target);
  tried_.push_back(target->entry.id);
  if (!endpoint) {
    co_return AttemptEnd::kNotRun;
  }
  const bool reads = !source_;
  EngineUse use(target, route_->priority, reads ? pick.unread_tokens : 0,
                pick.read_time, parts_.clock());
  SendTerms terms;
  terms.target = target;
  terms.time_left = TimeLeft();
  terms.priority = route_->priority;
  terms.source = source_;
  terms.fetch_from = reads ? pick.fetch_from : nullptr;
  terms.last_event_id =
      events_.last_id().empty() ? terms_.last_event_id : events_.last_id();
  Exchange exchange(parts_.channels);
  current_ = &exchange;
  const ExchangeState state = co_await exchange.Start(
      *endpoint, Message(terms), AnswerFilter(), !route_->MayRepeat());
  use.PromptRead(parts_.clock());
  AttemptEnd end = AttemptEnd::kNotRun;
  if (state == ExchangeState::kHead || state == ExchangeState::kWhole) {
    end = co_await TakeAnswer(exchange, target);
  } else {
    runs_ += exchange.sent() ? 1 : 0;
    end = EndOfBroken(exchange, target);
  }
  current_ = nullptr;
  co_return end;
}

Awaitable<AttemptEnd> RelayRun::TakeAnswer(Exchange& exchange,
                                           const EngineHandle& target) {
  const AnswerFacts facts = parts_.protocol.read_answer(exchange.head());
  NoteLoad(*target, facts);
  const unsigned status = exchange.head().result_int();
  if (facts.outcome == base::Outcome::kNotRun) {
    ++rejections_;
    if (facts.other_target) {
      NoteFailure(*target);
    }
    co_await exchange.Rest(kMaxSideAnswerBytes);
    co_return Stopped() ? AttemptEnd::kStopped : AttemptEnd::kNotRun;
  }
  ++runs_;
  if (status < kFirstFailure && !facts.proved) {
    exchange.Cancel();
    co_return EndOfBroken(exchange, target);
  }
  const bool stream =
      route_->kind == RouteKind::kStream && status < kFirstFailure;
  if (stream) {
    co_return co_await PassStream(exchange, target);
  }
  if (reply_.begun()) {
    co_return AttemptEnd::kTorn;
  }
  co_return co_await TakeHeld(exchange, target);
}

Awaitable<AttemptEnd> RelayRun::TakeHeld(Exchange& exchange,
                                         const EngineHandle& target) {
  std::string body;
  while (exchange.state() == ExchangeState::kHead &&
         body.size() <= options_.max_held_bytes) {
    body.append(co_await exchange.Next());
  }
  if (exchange.state() == ExchangeState::kHead) {
    reply_.Begin(HeadForCaller(exchange.head()));
    const bool sent = co_await reply_.SendPiece(body);
    if (!sent) {
      co_return AttemptEnd::kFinished;
    }
    co_return co_await PassStream(exchange, target);
  }
  if (exchange.state() != ExchangeState::kWhole) {
    co_return EndOfBroken(exchange, target);
  }
  NoteSuccess(*target);
  AnswerHead head = HeadForCaller(exchange.head());
  if (head.status >= kFirstServerFailure) {
    kept_ = KeptAnswer{std::move(head), std::move(body)};
    co_return AttemptEnd::kFailed;
  }
  status_ = head.status;
  co_await reply_.SendWhole(std::move(head), body);
  co_return AttemptEnd::kFinished;
}

Awaitable<AttemptEnd> RelayRun::PassStream(Exchange& exchange,
                                           const EngineHandle& target) {
  const bool events = route_->kind == RouteKind::kStream;
  bool sent = true;
  while (sent && exchange.state() == ExchangeState::kHead) {
    const std::string_view bytes = co_await exchange.Next();
    const std::string piece = events ? events_.Feed(bytes) : std::string(bytes);
    if (!piece.empty()) {
      sent = co_await PassPiece(exchange, piece);
    }
  }
  if (!sent) {
    exchange.Cancel();
    co_return AttemptEnd::kFinished;
  }
  if (exchange.state() != ExchangeState::kWhole) {
    events_.DropTail();
    co_return EndOfBroken(exchange, target);
  }
  NoteSuccess(*target);
  if (events && !events_.tail().empty()) {
    co_await PassPiece(exchange, events_.tail());
  }
  if (!reply_.begun()) {
    reply_.Begin(HeadForCaller(exchange.head()));
  }
  status_ = exchange.head().result_int();
  co_await reply_.End();
  co_return AttemptEnd::kFinished;
}

Awaitable<bool> RelayRun::PassPiece(Exchange& exchange,
                                    std::string_view bytes) {
  const base::Duration now = Elapsed();
  if (!reply_.begun()) {
    first_bytes_at_ = now;
    reply_.Begin(HeadForCaller(exchange.head()));
  } else {
    longest_pause_ = std::max(longest_pause_, now - last_bytes_at_);
  }
  last_bytes_at_ = now;
  co_return co_await reply_.SendPiece(bytes);
}

AttemptEnd RelayRun::EndOfBroken(Exchange& exchange,
                                 const EngineHandle& target) {
  const bool sent = exchange.sent();
  if (sent) {
    outcome_unknown_ = true;
  }
  if (Stopped()) {
    return AttemptEnd::kStopped;
  }
  NoteFailure(*target);
  if (!sent) {
    return AttemptEnd::kNotRun;
  }
  return reply_.begun() ? AttemptEnd::kTorn : AttemptEnd::kUnknown;
}

bool RelayRun::MayGoOn(AttemptEnd end) const {
  if (end == AttemptEnd::kStopped || Stopped() ||
      TimeLeft() < options_.least_time_left) {
    return false;
  }
  if (end == AttemptEnd::kNotRun) {
    return rejections_ <= options_.max_rejections &&
           failed_reads_ <= kMaxFailedReads + 1;
  }
  if (end == AttemptEnd::kTorn && !route_->resumable) {
    return false;
  }
  return route_->MayRepeat() && runs_ < route_->max_attempts;
}

Awaitable<void> RelayRun::Finish(AttemptEnd end) {
  if (reply_.gone()) {
    ended_by_ = "caller_left";
    co_return;
  }
  if (reply_.begun()) {
    ended_by_ = "broken_off";
    reply_.Abort();
    co_return;
  }
  if (kept_) {
    co_await SendKept();
    co_return;
  }
  if (outcome_unknown_) {
    co_await Refuse(expired_ ? EndReason::kTimeout
                             : EndReason::kUnknownOutcome);
    co_return;
  }
  co_await Refuse(tried_.empty() ? EndReason::kNoTarget : EndReason::kRejected);
}

Awaitable<void> RelayRun::SendKept() {
  status_ = kept_->head.status;
  co_await reply_.SendWhole(std::move(kept_->head), kept_->body);
}

Awaitable<void> RelayRun::Refuse(EndReason reason) {
  const Refusal& refusal =
      *std::ranges::find(kRefusals, reason, &Refusal::reason);
  ended_by_ = ToString(reason);
  status_ = refusal.status;
  parts_.metrics
      .GetCounter("lynxglade_refusals_total",
                  {{"reason", std::string(ToString(reason))}})
      .Add();
  AnswerHead head;
  head.status = refusal.status;
  head.reason = refusal.phrase;
  if (refusal.promises_not_run) {
    const double least =
        std::chrono::duration<double>(options_.retry_after).count();
    head.fields.set(
        http::field::retry_after,
        SecondsText(least * (1 + base::UniformReal(parts_.random))));
  }
  co_await reply_.SendWhole(std::move(head), {});
}

void RelayRun::NoteFailure(Engine& engine) {
  constexpr int kMostDoublings = 8;
  const int doublings = std::min(engine.failures_in_a_row++, kMostDoublings);
  const base::Duration wait =
      std::min(options_.avoid_first * (1 << doublings), options_.avoid_most);
  engine.avoid_until = parts_.clock() + wait;
}

void RelayRun::NoteSuccess(Engine& engine) noexcept {
  engine.failures_in_a_row = 0;
  engine.avoid_until = {};
}

void RelayRun::NoteLoad(Engine& engine, const AnswerFacts& facts) {
  if (facts.load) {
    engine.reported = *facts.load;
    engine.reported_at = parts_.clock();
  }
}

OutgoingRequest RelayRun::Message(const SendTerms& terms) const {
  connection::event::RequestHead head = request_->head;
  connection::event::EraseHopHeaders(head);
  parts_.protocol.address(head, terms);
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
    return parts_.protocol.is_answer_to(head, terms_.request_id, fresh);
  };
}

base::Duration RelayRun::Elapsed() const {
  return parts_.clock() - request_->arrived;
}

base::Duration RelayRun::TimeLeft() const {
  return deadline_ - parts_.clock();
}

bool RelayRun::Stopped() const noexcept {
  return expired_ || reply_.gone();
}

void RelayRun::LogAttempt(const EnginePick& pick, AttemptEnd end) const {
  parts_.metrics
      .GetCounter("lynxglade_attempt_ends_total",
                  {{"end", std::string(ToString(end))}})
      .Add();
  const Engine& runner = *pick.runner;
  Log(LogLevel::kInfo, "attempt",
      {{"request", terms_.request_id},
       {"route", route_->name},
       {"target", tried_.empty() ? runner.entry.id.str() : tried_.back().str()},
       {"reader", pick.reader ? pick.reader->entry.id.str() : std::string()},
       {"fetch_from",
        pick.fetch_from ? pick.fetch_from->entry.id.str() : std::string()},
       {"unread_tokens", pick.unread_tokens},
       {"expected_ms", static_cast<std::int64_t>(pick.expected_ms)},
       {"in_flight", runner.in_flight},
       {"targets_age_ms", base::ToMillis(parts_.view_age())},
       {"configuration", table_->version()},
       {"end", ToString(end)},
       {"prompt_read_ms", MillisOrNone(prompt_read_at_)},
       {"first_bytes_ms", MillisOrNone(first_bytes_at_)},
       {"longest_pause_ms", base::ToMillis(longest_pause_)},
       {"ms", base::ToMillis(Elapsed())}});
}

void RelayRun::LogEnd() const {
  parts_.metrics.GetLatency("lynxglade_answer_seconds").Record(Elapsed());
  if (first_bytes_at_) {
    parts_.metrics.GetLatency("lynxglade_first_bytes_seconds")
        .Record(*first_bytes_at_);
  }
  Log(LogLevel::kInfo, "request_end",
      {{"request", terms_.request_id},
       {"route", route_ ? route_->name : std::string()},
       {"service", service_.str()},
       {"caller", request_->caller},
       {"by", ended_by_},
       {"status", status_},
       {"runs", runs_},
       {"rejections", rejections_},
       {"ms", base::ToMillis(Elapsed())},
       {"time_left_ms", base::ToMillis(TimeLeft())}});
}

}  // namespace lynxglade::request::passthrough
