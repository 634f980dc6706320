// How a request's end is reported to its caller, in logs and in metrics.
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <ranges>
#include <utility>

#include "base/log.h"
#include "request/passthrough/relay_run.h"

namespace lynxglade::request::passthrough {

namespace {

using base::Log;
using base::LogLevel;
using connection::event::AnswerHead;
using connection::event::Awaitable;
namespace http = connection::event::http;

constexpr unsigned kFirstFailure = 400;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kServiceUnavailable = 503;
// Upper bounds of the buckets in which sizes are counted, in tokens.
constexpr std::array<std::int64_t, 6> kSizeBuckets{64,    256,    1'024,
                                                   4'096, 16'384, 65'536};

// Reply to the caller if there is no target's answer. Those that promise that
// the request has not run and will not run carry Retry-After.
struct Refusal {
  EndReason reason;
  unsigned status;
  const char* phrase;
  bool promises_not_run;
};

constexpr std::array kRefusals{
    Refusal{EndReason::kStopping, 503, "Service Unavailable", true},
    Refusal{EndReason::kNoConfiguration, 503, "Service Unavailable", true},
    Refusal{EndReason::kStaleConfiguration, 503, "Service Unavailable", true},
    Refusal{EndReason::kNoRoute, 404, "Not Found", false},
    Refusal{EndReason::kMissingKey, 401, "Unauthorized", false},
    Refusal{EndReason::kUnknownKey, 401, "Unauthorized", false},
    Refusal{EndReason::kMalformedTerms, 400, "Bad Request", false},
    Refusal{EndReason::kMisdirected, 421, "Misdirected Request", true},
    Refusal{EndReason::kNoService, 503, "Service Unavailable", true},
    Refusal{EndReason::kNoTarget, 503, "Service Unavailable", true},
    Refusal{EndReason::kWaitTooLong, 503, "Service Unavailable", true},
    Refusal{EndReason::kNoCapacity, 503, "Service Unavailable", true},
    Refusal{EndReason::kOverLimit, 503, "Service Unavailable", true},
    Refusal{EndReason::kRetryBudget, 503, "Service Unavailable", true},
    Refusal{EndReason::kRejected, 503, "Service Unavailable", true},
    Refusal{EndReason::kQuarantined, 503, "Service Unavailable", true},
    Refusal{EndReason::kHeldBack, 503, "Service Unavailable", true},
    Refusal{EndReason::kUnknownOutcome, 502, "Bad Gateway", false},
    Refusal{EndReason::kTimeout, 504, "Gateway Timeout", false},
};

// Seconds with two decimals, for Retry-After.
std::string SecondsText(double seconds) {
  std::array<char, 32> buf{};
  const int n = std::snprintf(buf.data(), buf.size(), "%.2f", seconds);
  return std::string(buf.data(), static_cast<std::size_t>(std::max(n, 0)));
}

// The upper bound of the size's bucket.
std::string SizeBucket(std::int64_t tokens) {
  const auto it = std::ranges::lower_bound(kSizeBuckets, tokens);
  return it == kSizeBuckets.end() ? "more" : std::to_string(*it);
}

// Hashes of the shared parts, as the quarantine lists them; the first ones of
// many.
std::string PartsText(const RunIdentity& identity) {
  constexpr std::size_t kMostParts = 8;
  std::string text;
  for (const ContentHash it : identity.parts | std::views::take(kMostParts)) {
    text += (text.empty() ? "" : ",") + ToHex(it);
  }
  return text;
}

// Empty if nothing was sent, for log lines.
std::string AddressText(const connection::event::Tcp::endpoint& endpoint) {
  return endpoint.port() == 0 ? std::string()
                              : endpoint.address().to_string() + ':' +
                                    std::to_string(endpoint.port());
}

// -1 if unset, for log lines.
std::int64_t MillisOrNone(const std::optional<base::Duration>& d) {
  return d ? base::ToMillis(*d) : -1;
}

}  // namespace

std::string_view ToString(EndReason reason) noexcept {
  switch (reason) {
    case EndReason::kStopping:
      return "stopping";
    case EndReason::kNoConfiguration:
      return "no_configuration";
    case EndReason::kStaleConfiguration:
      return "stale_configuration";
    case EndReason::kNoRoute:
      return "no_route";
    case EndReason::kMissingKey:
      return "missing_key";
    case EndReason::kUnknownKey:
      return "unknown_key";
    case EndReason::kMalformedTerms:
      return "malformed_terms";
    case EndReason::kMisdirected:
      return "misdirected";
    case EndReason::kNoService:
      return "no_service";
    case EndReason::kNoTarget:
      return "no_target";
    case EndReason::kWaitTooLong:
      return "hopeless";
    case EndReason::kNoCapacity:
      return "filled";
    case EndReason::kOverLimit:
      return "over_limit";
    case EndReason::kRetryBudget:
      return "allowance";
    case EndReason::kRejected:
      return "rejected";
    case EndReason::kQuarantined:
      return "quarantined";
    case EndReason::kHeldBack:
      return "held_back";
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
    case AttemptEnd::kBroken:
      return "torn";
    case AttemptEnd::kStopped:
      break;
  }
  return "stopped";
}

Awaitable<void> RelayRun::SendSavedAnswer() {
  status_ = saved_answer_->head.status;
  co_await reply_.SendWhole(std::move(saved_answer_->head),
                            saved_answer_->body);
}

Awaitable<void> RelayRun::Refuse(EndReason reason) {
  const Refusal& refusal =
      *std::ranges::find(kRefusals, reason, &Refusal::reason);
  ended_by_ = ToString(reason);
  status_ = refusal.status;
  deps_.metrics
      .GetCounter("lynxglade_refusals_total",
                  {{"reason", std::string(ToString(reason))}})
      .Add();
  AnswerHead head;
  head.status = refusal.status;
  head.reason = refusal.phrase;
  if (refusal.status == kUnauthorized) {
    head.fields.set(http::field::www_authenticate, "Bearer");
  }
  if (refusal.promises_not_run) {
    const base::Duration part = std::chrono::duration_cast<base::Duration>(
        options_.retry_after_of_time_left * TimeLeft());
    const double min_seconds =
        std::chrono::duration<double>(
            std::max({options_.retry_after, part, UntilAccepted(reason)}))
            .count();
    head.fields.set(
        http::field::retry_after,
        SecondsText(min_seconds * (1 + base::UniformReal(deps_.random))));
  }
  co_await reply_.SendWhole(std::move(head), {});
}

base::Duration RelayRun::UntilAccepted(EndReason reason) {
  const base::Time now = deps_.clock();
  if (reason == EndReason::kOverLimit) {
    return NextPermit().value_or(now) - now;
  }
  if (reason == EndReason::kQuarantined) {
    return deps_.quarantine.TimeLeft(identity_, now);
  }
  return base::Duration::zero();
}

void RelayRun::LogNotAttempted(const EnginePick& pick, EndReason reason) const {
  const Engine& runner = *pick.runner;
  const base::Time now = deps_.clock();
  Log(LogLevel::kInfo, "not_attempted",
      {{"request", terms_.request_id},
       {"reason", ToString(reason)},
       {"target", runner.entry.id.str()},
       {"load", KnownLoad(runner, now)},
       {"load_age_ms", base::ToMillis(now - runner.reported_at)},
       {"slots", runner.entry.slots},
       {"room", static_cast<std::int64_t>(deps_.answers.Capacity(runner, now))},
       {"wait_ms", base::ToMillis(pick.wait)},
       {"expected_ms", base::ToMillis(pick.expected)},
       {"expected_tokens", terms_.expected_tokens},
       {"time_left_ms", base::ToMillis(TimeLeft())}});
}

void RelayRun::LogAttempt(const EnginePick& pick, AttemptEnd end) {
  deps_.metrics
      .GetCounter("lynxglade_attempt_ends_total",
                  {{"end", std::string(ToString(end))}})
      .Add();
  deps_.metrics
      .GetCounter("lynxglade_answer_ends_total",
                  {{"end", std::string(ToString(answer_.end))},
                   {"framing", std::string(ToString(answer_.framing))}})
      .Add();
  Engine& runner = *pick.runner;
  const base::Time now = deps_.clock();
  const auto& limit = runner.limit.named.rate();
  Log(LogLevel::kInfo, "attempt",
      {{"request", terms_.request_id},
       {"content", ToHex(identity_.content)},
       {"parts", PartsText(identity_)},
       {"route", route_->name},
       {"target", tried_.empty() ? runner.entry.id.str() : tried_.back().str()},
       {"reader", pick.prefill_engine ? pick.prefill_engine->entry.id.str()
                                      : std::string()},
       {"fetch_from",
        pick.fetch_from ? pick.fetch_from->entry.id.str() : std::string()},
       {"shared_part",
        terms_.prompt.Shared() ? terms_.prompt.Shared()->id : std::string()},
       {"unread_tokens", pick.prefill_tokens},
       {"late", late_},
       {"wait_ms", base::ToMillis(pick.wait)},
       {"read_ms", base::ToMillis(pick.prefill_time)},
       {"expected_ms", base::ToMillis(pick.expected)},
       {"in_flight", runner.in_flight},
       {"limit", limit ? limit->value() : -1.0},
       {"limit_age_ms",
        limit ? base::ToMillis(now - runner.limit.named.received_at()) : -1},
       {"own_sends", static_cast<std::int64_t>(runner.limit.sends.Total(now))},
       {"over_limit", over_limit_},
       {"targets_age_ms", base::ToMillis(deps_.view_age())},
       {"configuration", table_->version()},
       {"end", ToString(end)},
       {"status", answer_.status},
       {"evidence", ToString(answer_.evidence)},
       {"answered_by", answer_.answered_by.str()},
       {"address", AddressText(answer_.address)},
       {"resent", answer_.resent},
       {"connection", answer_.connection},
       {"via", answer_.via.str()},
       {"unacknowledged", answer_.unacknowledged},
       {"framing", ToString(answer_.framing)},
       {"answer_end", ToString(answer_.end)},
       {"answer_fault", answer_.fault},
       {"held_bytes", static_cast<std::int64_t>(answer_.held_bytes)},
       {"prompt_read_ms", MillisOrNone(prefilled_at_)},
       {"first_bytes_ms", MillisOrNone(first_bytes_at_)},
       {"longest_pause_ms", base::ToMillis(longest_pause_)},
       {"ms", base::ToMillis(Elapsed())}});
}

void RelayRun::LogBudget(const char* event,
                         std::string_view after,
                         int arrivals) {
  const int instances = deps_.instances();
  const RetryBudgetUse use =
      deps_.retry_budget.Use(service_, instances, deps_.clock());
  Log(LogLevel::kInfo, event,
      {{"request", terms_.request_id},
       {"service", service_.str()},
       {"after", after},
       {"arrivals", arrivals},
       {"instances", instances},
       {"share", use.share},
       {"spent", use.spent},
       {"lent", use.lent},
       {"reserved", use.reserved},
       {"borrowed", use.borrowed}});
}

bool RelayRun::IsServed() const noexcept {
  return ended_by_ == "answer" && status_ != 0 && status_ < kFirstFailure;
}

void RelayRun::CountSize() const {
  const std::int64_t prompt_tokens = terms_.prompt.TotalTokens();
  if (prompt_tokens == 0) {
    return;
  }
  const char* outcome = IsServed()                       ? "served"
                        : reply_.disconnected()          ? "left"
                        : status_ == kServiceUnavailable ? "refused"
                                                         : "failed";
  deps_.metrics
      .GetCounter("lynxglade_prompts_total",
                  {{"tokens", SizeBucket(prompt_tokens)}, {"outcome", outcome}})
      .Add();
  deps_.metrics
      .GetCounter("lynxglade_size_classes_total",
                  {{"size", std::string(ToString(standing_.size))},
                   {"outcome", outcome}})
      .Add();
  deps_.metrics
      .GetCounter("lynxglade_answers_total",
                  {{"tokens", SizeBucket(terms_.expected_tokens)},
                   {"outcome", outcome}})
      .Add();
  if (foreseen_ && first_bytes_at_) {
    deps_.metrics
        .GetLatency("lynxglade_first_bytes_late_seconds",
                    {{"prompt_tokens", SizeBucket(prompt_tokens)}})
        .Record(
            std::max(*first_bytes_at_ - *foreseen_, base::Duration::zero()));
  }
}

void RelayRun::LogEnd() const {
  CountSize();
  deps_.metrics.GetLatency("lynxglade_answer_seconds").Record(Elapsed());
  if (first_bytes_at_) {
    deps_.metrics.GetLatency("lynxglade_first_bytes_seconds")
        .Record(*first_bytes_at_);
  }
  Log(LogLevel::kInfo, "request_end",
      {{"request", terms_.request_id},
       {"route", route_ ? route_->name : std::string()},
       {"service", service_.str()},
       {"caller", request_->caller},
       {"organisation",
        organisation_ ? organisation_->id.str() : std::string()},
       {"configuration", table_ ? table_->version() : -1},
       {"by", ended_by_},
       {"content", ToHex(identity_.content)},
       {"parts", PartsText(identity_)},
       {"denial", denial_ ? ToString(*denial_) : std::string_view()},
       {"prompt_tokens", terms_.prompt.TotalTokens()},
       {"expected_tokens", terms_.expected_tokens},
       {"most_tokens", terms_.max_tokens},
       {"events", events_.events()},
       {"priority", route_ ? Priority() : -1},
       {"late", late_},
       {"size", ToString(standing_.size)},
       {"capacity_fraction", standing_.capacity_fraction},
       {"deviations", standing_.deviations},
       {"route_share", standing_.route_share},
       {"guaranteed", standing_.guaranteed},
       {"yields_to", standing_.yields_to},
       {"yield", standing_.yield},
       {"foreseen_ms", MillisOrNone(foreseen_)},
       {"forecast_factor", forecast_factor_},
       {"first_bytes_ms", MillisOrNone(first_bytes_at_)},
       {"status", status_},
       {"runs", runs_},
       {"rejections", rejections_},
       {"over_limit", over_limit_},
       {"ms", base::ToMillis(Elapsed())},
       {"time_left_ms", base::ToMillis(TimeLeft())}});
}

}  // namespace lynxglade::request::passthrough
