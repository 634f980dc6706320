#include "process/usage/usage_reporter.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <numeric>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/bounded_json.h"
#include "base/log.h"
#include "connection/event/sleep.h"

namespace lynxglade::process::usage {

namespace {

using base::Log;
using base::LogLevel;
using connection::event::Awaitable;
using connection::event::SleepFor;
using duties::CallResult;
using nlohmann::json;
namespace asio = connection::event::asio;

constexpr store::LeaseId kNoLease(0);
constexpr std::int64_t kMaxNumber = std::numeric_limits<std::int64_t>::max();

std::int64_t Sum(const UsageCounts& counts) {
  return std::accumulate(
      counts.begin(), counts.end(), std::int64_t{0},
      [](std::int64_t sum, const auto& it) { return sum + it.second; });
}

}  // namespace

std::string EncodeReport(const UsageReport& report) {
  json counts = json::object();
  for (const auto& [organisation, count] : report.counts) {
    counts[organisation.str()] = count;
  }
  return json{{"window", report.window.value()}, {"counts", std::move(counts)}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<UsageReport> DecodeReport(std::string_view text) {
  const auto document = base::ParseBoundedJson(text);
  if (!document || !document->is_object()) {
    return std::nullopt;
  }
  const auto window = base::WholeMember(*document, "window", 0, kMaxNumber);
  const auto counts = document->find("counts");
  if (!window || counts == document->end() || !counts->is_object()) {
    return std::nullopt;
  }
  UsageReport report{WindowId(*window), {}};
  for (const auto& [organisation, value] : counts->items()) {
    const auto count =
        base::WholeMember(*counts, organisation.c_str(), 0, kMaxNumber);
    if (!count) {
      return std::nullopt;
    }
    report.counts[base::OrganisationId(organisation)] = *count;
  }
  return report;
}

UsageReporter::UsageReporter(asio::io_context& loop,
                             duties::DutyHolder& holder,
                             store::StorePort& store,
                             UsageTable& table,
                             const FleetClock& fleet_clock,
                             std::function<double(base::Time end)> missing_part,
                             SendUsage send,
                             UsageReporterOptions options,
                             base::Clock clock,
                             base::Metrics& metrics)
    : loop_(loop),
      holder_(holder),
      store_(store),
      table_(table),
      fleet_clock_(fleet_clock),
      missing_part_(std::move(missing_part)),
      send_(std::move(send)),
      options_(std::move(options)),
      clock_(std::move(clock)),
      metrics_(metrics) {}

Awaitable<void> UsageReporter::Run() {
  while (!stopped_) {
    co_await Step();
    co_await SleepFor(loop_, options_.period);
  }
}

WindowId UsageReporter::WindowAt(base::Time time) const {
  return WindowId(fleet_clock_.At(time).value() /
                  base::ToMillis(options_.window));
}

base::Duration UsageReporter::SinceEnd(WindowId window) const {
  const std::int64_t end =
      (window.value() + 1) * base::ToMillis(options_.window);
  return std::chrono::milliseconds(fleet_clock_.Now().value() - end);
}

void UsageReporter::OnList(const std::vector<store::StoreItem>& items) {
  std::ranges::for_each(items,
                        [this](const store::StoreItem& it) { OnChange(it); });
}

void UsageReporter::OnChange(const store::StoreItem& item) {
  if (item.key != options_.key || item.deleted) {
    return;
  }
  if (const auto report = DecodeReport(item.value)) {
    reported_ = std::max(reported_, report->window);
  }
}

Awaitable<void> UsageReporter::Step() {
  const std::int64_t kept = (options_.due / options_.window) + 2;
  // The newest reported window is kept, to tell what came too late for it.
  table_.ForgetBefore(
      std::max(WindowId(WindowAt(clock_()).value() - kept), reported_));
  if (!holder_.HeldToken()) {
    recorded_.reset();
    failing_since_.reset();
    co_return;
  }
  if (clock_() < retry_at_) {
    co_return;
  }
  if (!recorded_) {
    co_await ReadRecorded();
    co_return;
  }
  if (recorded_->report && !recorded_->accepted) {
    co_await SendRecorded();
    co_return;
  }
  const bool recorded = co_await RecordNext();
  if (recorded) {
    co_await SendRecorded();
  }
}

// The report of the previous holder may not have been sent, so it is repeated.
Awaitable<void> UsageReporter::ReadRecorded() {
  store::StoreFault fault{};
  const auto item = co_await store_.Get(options_.key, &fault);
  if (!item) {
    Log(LogLevel::kInfo, "usage_record_not_read", {{"fault", ToString(fault)}});
    retry_at_ = clock_() + options_.retry_delay;
    co_return;
  }
  Recorded recorded;
  if (!item->deleted) {
    recorded.report = DecodeReport(item->value);
    recorded.revision = item->revision;
  }
  const std::int64_t open = options_.due / options_.window;
  next_ = recorded.report ? recorded.report->window + WindowId(1)
                          : WindowId(WindowAt(clock_()).value() - open);
  recorded_ = std::move(recorded);
  failing_since_.reset();
}

Awaitable<bool> UsageReporter::RecordNext() {
  UsageReport report;
  double missing = 0;
  while (true) {
    const base::Duration since_end = SinceEnd(next_);
    missing = missing_part_(clock_() - since_end);
    const ReportDecision decision =
        DecideReport(since_end, options_.due, missing, options_.timing);
    if (decision == ReportDecision::kWait) {
      co_return false;
    }
    report = {next_, table_.Totals(next_)};
    if (decision == ReportDecision::kReport && !report.counts.empty()) {
      break;
    }
    if (!report.counts.empty()) {
      CountReport("missed");
      Log(LogLevel::kWarning, "usage_window_missed",
          {{"window", next_.value()}, {"requests", Sum(report.counts)}});
    }
    next_ += WindowId(1);
  }
  RecordLateCounts();
  store::StoreFault fault{};
  const auto written =
      co_await store_.Update(options_.key, EncodeReport(report), kNoLease,
                             recorded_->revision, &fault);
  Log(LogLevel::kInfo, "usage_recorded",
      {{"window", report.window.value()},
       {"organisations", report.counts.size()},
       {"requests", Sum(report.counts)},
       {"since_end_ms", base::ToMillis(SinceEnd(report.window))},
       {"missing_part", missing},
       {"clocks", fleet_clock_.DirectClocks()},
       {"fault", written ? std::string_view() : ToString(fault)}});
  if (!written) {
    // The write may have taken effect, or another holder has written.
    recorded_.reset();
    retry_at_ = clock_() + options_.retry_delay;
    co_return false;
  }
  next_ = report.window + WindowId(1);
  recorded_ = Recorded{std::move(report), *written, /*accepted=*/false};
  co_return true;
}

void UsageReporter::RecordLateCounts() {
  if (!recorded_->report) {
    return;
  }
  const WindowId window = recorded_->report->window;
  const std::int64_t late =
      Sum(table_.Totals(window)) - Sum(recorded_->report->counts);
  if (late <= 0) {
    return;
  }
  metrics_.GetCounter("lynxglade_usage_late_requests_total")
      .Add(static_cast<std::uint64_t>(late));
  Log(LogLevel::kWarning, "usage_late",
      {{"window", window.value()}, {"requests", late}});
}

Awaitable<void> UsageReporter::SendRecorded() {
  if (SinceEnd(recorded_->report->window) >= options_.due) {
    recorded_->accepted = true;
    co_return;
  }
  base::Time until{};
  const auto token = co_await holder_.ConfirmHeld(&until);
  if (!token || clock_() >= until || stopped_ || !recorded_) {
    retry_at_ = clock_() + options_.retry_delay;
    co_return;
  }
  const duties::Credentials credentials{options_.instance, *token};
  const CallResult result = co_await send_(*recorded_->report, credentials);
  Log(LogLevel::kInfo, "usage_reported",
      {{"window", recorded_->report->window.value()},
       {"requests", Sum(recorded_->report->counts)},
       {"since_end_ms", base::ToMillis(SinceEnd(recorded_->report->window))},
       {"token", token->value()},
       {"result", ToString(result)}});
  CountReport(ToString(result));
  co_await HandleResult(result);
}

Awaitable<void> UsageReporter::HandleResult(CallResult result) {
  if (result == CallResult::kAccepted || result == CallResult::kRejected) {
    recorded_->accepted = true;
    failing_since_.reset();
    co_return;
  }
  retry_at_ = clock_() + options_.retry_delay;
  if (!failing_since_) {
    failing_since_ = clock_();
  }
  if (clock_() - *failing_since_ >= options_.max_failing_time) {
    failing_since_.reset();
    co_await holder_.Resign(options_.resign_back_off);
  }
}

void UsageReporter::CountReport(std::string_view outcome) {
  metrics_
      .GetCounter("lynxglade_usage_reports_total",
                  {{"outcome", std::string(outcome)}})
      .Add();
}

}  // namespace lynxglade::process::usage
