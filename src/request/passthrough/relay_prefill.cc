// Prefills of a prompt apart from its answer, and the KV cache that they leave.
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "base/log.h"
#include "connection/event/call.h"
#include "request/passthrough/engine_address.h"
#include "request/passthrough/in_flight_request.h"
#include "request/passthrough/relay_run.h"

namespace lynxglade::request::passthrough {

namespace {

using connection::event::Awaitable;
using connection::event::Call;
using connection::event::ErrorCode;
using connection::event::ExchangeState;
namespace http = connection::event::http;

constexpr base::Duration kReleaseTimeout = std::chrono::milliseconds(500);

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
  if (!deps_.accepts() || CheckQuarantine()) {
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
  const connection::event::ChannelReuse reuse =
      RecordSending(*endpoint, connection::event::ChannelReuse::kAny);
  Exchange exchange(deps_.channels);
  current_ = &exchange;
  const ExchangeState state =
      co_await exchange.Start(*endpoint, Message(terms), AnswerFilter(), reuse);
  RecordReach(*pick.prefill_engine, exchange);
  bool rejected = false;
  if (state == ExchangeState::kHead || state == ExchangeState::kWhole) {
    const AnswerInfo info = deps_.protocol.parse_answer(exchange.head());
    RecordStatements(*pick.prefill_engine, info, started_at);
    if (info.evidence == RunEvidence::kMisdirected) {
      MarkMisdirected(*pick.prefill_engine, entry_changes,
                      deps_.engines.Find(info.answered_by), deps_.clock());
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

}  // namespace lynxglade::request::passthrough
