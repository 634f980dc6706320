#include "load/tally.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lynxglade::bench {

namespace {

constexpr std::size_t kMaxFailedListed = 200;

void AddOffer(const TraceItem& item, Counts* counts) {
  ++counts->offered;
  counts->worth_offered += item.worth.value();
}

void AddResult(const TraceItem& item, Verdict verdict, Counts* counts) {
  ++counts->by_verdict[static_cast<std::size_t>(verdict)];
  if (verdict == Verdict::kDelivered) {
    counts->worth_delivered += item.worth.value();
  }
}

bool IsWhole(Verdict verdict) {
  return verdict == Verdict::kDelivered || verdict == Verdict::kLate;
}

}  // namespace

double Quantile(std::vector<double>* samples, double q) {
  if (samples->empty()) {
    return 0;
  }
  const double last = static_cast<double>(samples->size() - 1);
  const auto nth =
      samples->begin() + static_cast<std::ptrdiff_t>(std::round(q * last));
  std::ranges::nth_element(*samples, nth);
  return *nth;
}

void Tally::Offer(const TraceItem& item) {
  const std::lock_guard lock(mutex_);
  AddOffer(item, &totals_.all);
  AddOffer(item, &totals_.by_contract[item.contract]);
  AddOffer(item, &RowOf(item).counts);
}

void Tally::Finish(const TraceItem& item, const CallResult& result) {
  const std::lock_guard lock(mutex_);
  SecondRow& row = RowOf(item);
  AddResult(item, result.verdict, &totals_.all);
  AddResult(item, result.verdict, &totals_.by_contract[item.contract]);
  AddResult(item, result.verdict, &row.counts);
  if (result.first_token_s >= 0) {
    totals_.first_token_s.push_back(result.first_token_s);
    row.first_token_s.push_back(result.first_token_s);
  }
  totals_.gap_s.insert(totals_.gap_s.end(), result.gaps_s.begin(),
                       result.gaps_s.end());
  totals_.uncounted += result.counted ? 0 : 1;
  if (IsWhole(result.verdict)) {
    totals_.whole_s.push_back(result.last_byte_s);
    return;
  }
  ++totals_.outcomes[result.outcome.empty() ? "none" : result.outcome];
  if (result.outcome == "not_run") {
    totals_.not_run.insert(item.id.str());
  }
  if (result.verdict == Verdict::kRefused) {
    ++totals_.refusals[result.code];
    totals_.refusals_with_retry_time += result.has_retry_after ? 1 : 0;
    return;
  }
  const std::string failure =
      std::string(ToString(result.verdict)) + ":" + result.code;
  ++totals_.failures[failure];
  if (totals_.failed_requests.size() < kMaxFailedListed) {
    totals_.failed_requests.push_back(failure + " " + item.id.str());
  }
}

void Tally::FinishRepeat(const TraceItem& item, const CallResult& result) {
  const std::lock_guard lock(mutex_);
  // The repeat has the same request id and may have run, so the "not_run" of
  // the first response can no longer be checked against the journals.
  if (result.outcome != "not_run") {
    totals_.not_run.erase(item.id.str());
  }
  ++totals_.repeats[IsWhole(result.verdict) ? "answered"
                                            : std::string(result.code)];
}

void Tally::NoteSendLag(double seconds) {
  const std::lock_guard lock(mutex_);
  totals_.max_send_lag_s = std::max(totals_.max_send_lag_s, seconds);
}

void Tally::NoteUnsent(const TraceItem& item) {
  const std::lock_guard lock(mutex_);
  ++totals_.unsent;
  AddResult(item, Verdict::kLost, &totals_.all);
  ++totals_.failures["lost:unsent"];
}

Totals Tally::Get() const {
  const std::lock_guard lock(mutex_);
  return totals_;
}

Counts Tally::GetCounts() const {
  const std::lock_guard lock(mutex_);
  return totals_.all;
}

double Tally::RecentFirstTokenP95(std::size_t window) const {
  std::vector<double> recent;
  {
    const std::lock_guard lock(mutex_);
    const auto& rows = totals_.seconds;
    const std::size_t from = rows.size() > window ? rows.size() - window : 0;
    std::for_each(rows.begin() + static_cast<std::ptrdiff_t>(from), rows.end(),
                  [&](const SecondRow& row) {
                    recent.insert(recent.end(), row.first_token_s.begin(),
                                  row.first_token_s.end());
                  });
  }
  return Quantile(&recent, 0.95);
}

SecondRow& Tally::RowOf(const TraceItem& item) {
  const auto second = static_cast<std::size_t>(
      std::chrono::duration_cast<std::chrono::seconds>(item.at).count());
  if (totals_.seconds.size() <= second) {
    totals_.seconds.resize(second + 1);
  }
  return totals_.seconds[second];
}

}  // namespace lynxglade::bench
