#include "request/outlier_ejector.h"

#include <algorithm>
#include <unordered_set>
#include <vector>

namespace lynxglade::request {

namespace {

// Limits the exponent, so that the shift cannot overflow.
constexpr int kMaxDoublings = 16;

std::int64_t Nanos(base::Time at) noexcept {
  return at.time_since_epoch().count();
}

// Whether the two targets can serve the same requests.
bool IsInterchangeable(const Target& a, const Target& b) noexcept {
  return a.service == b.service && a.model == b.model &&
         a.version == b.version && a.role == b.role;
}

std::size_t MaxEjected(std::size_t serving, double fraction) noexcept {
  if (serving < 2) {
    return 0;
  }
  const auto n =
      static_cast<std::size_t>(static_cast<double>(serving) * fraction);
  return std::min(std::max<std::size_t>(n, 1), serving - 1);
}

}  // namespace

OutlierEjector::OutlierEjector(OutlierEjectorOptions options)
    : options_(options) {}

void OutlierEjector::OnSuccess(const Target& target, base::Time now) {
  const std::scoped_lock lock(mutex_);
  Record& record = FindOrCreateRecord(target, now);
  ++record.requests;
  record.failure_streak = 0;
}

std::optional<Ejection> OutlierEjector::OnFailure(const TargetTable& table,
                                                  const Target& target,
                                                  base::Time now,
                                                  EjectDenial* denial) {
  const std::scoped_lock lock(mutex_);
  Record& record = FindOrCreateRecord(target, now);
  ++record.requests;
  ++record.failures;
  ++record.failure_streak;
  if (IsEjected(target, now)) {
    *denial = EjectDenial::kAlreadyEjected;
    return std::nullopt;
  }
  if (!IsFailing(record)) {
    *denial = EjectDenial::kNotFailingEnough;
    return std::nullopt;
  }
  if (const auto reason_against = CheckEjectable(table, target, now)) {
    *denial = *reason_against;
    return std::nullopt;
  }
  const base::Duration length = NextEjectionTime(record);
  ++record.ejections;
  record.last_ejection = now;
  record.failure_streak = 0;
  record.requests = 0;
  record.failures = 0;
  target.local_load->ejected_until.store(Nanos(now + length),
                                         std::memory_order_relaxed);
  return Ejection{target.id, length};
}

void OutlierEjector::Reconcile(const TargetTable& table, base::Time now) {
  const std::scoped_lock lock(mutex_);
  std::unordered_set<base::TargetId> present;
  for (const Target& it : table.targets) {
    present.insert(it.id);
    // Keep the ejection only if the target could be ejected now.
    if (it.state == TargetState::kServing && IsEjected(it, now)) {
      const std::int64_t until =
          it.local_load->ejected_until.exchange(0, std::memory_order_relaxed);
      if (!CheckEjectable(table, it, now)) {
        it.local_load->ejected_until.store(until, std::memory_order_relaxed);
      }
    }
  }
  std::erase_if(records_, [&present](const auto& it) {
    return !present.contains(it.first);
  });
}

bool OutlierEjector::IsEjected(const Target& target, base::Time now) noexcept {
  return target.local_load->ejected_until.load(std::memory_order_relaxed) >
         Nanos(now);
}

OutlierEjector::Record& OutlierEjector::FindOrCreateRecord(const Target& target,
                                                           base::Time now) {
  Record& record = records_[target.id];
  if (now - record.window_start >= options_.window) {
    record.window_start = now;
    record.requests = 0;
    record.failures = 0;
  }
  if (record.ejections > 0 &&
      now - record.last_ejection >= options_.reset_after) {
    record.ejections = 0;
  }
  return record;
}

bool OutlierEjector::IsFailing(const Record& record) const noexcept {
  if (record.failure_streak >= options_.consecutive_failures) {
    return true;
  }
  return record.requests >= options_.min_requests &&
         record.failures >= options_.failure_rate * record.requests;
}

std::optional<EjectDenial> OutlierEjector::CheckEjectable(
    const TargetTable& table,
    const Target& target,
    base::Time now) const {
  std::size_t serving = 0;
  std::size_t ejected_count = 0;
  std::size_t replacements = 0;
  bool known = false;
  for (const Target& it : table.targets) {
    if (it.service != target.service || it.state != TargetState::kServing) {
      continue;
    }
    known = known || it.id == target.id;
    ++serving;
    const bool ejected = IsEjected(it, now);
    ejected_count += ejected ? 1 : 0;
    if (it.id != target.id && !ejected && IsInterchangeable(it, target)) {
      ++replacements;
    }
  }
  if (!known) {
    return EjectDenial::kUnknownTarget;
  }
  if (replacements == 0) {
    return EjectDenial::kLastOfService;
  }
  if (ejected_count >= MaxEjected(serving, options_.max_fraction)) {
    return EjectDenial::kFractionReached;
  }
  return std::nullopt;
}

base::Duration OutlierEjector::NextEjectionTime(
    const Record& record) const noexcept {
  const int doublings = std::min(record.ejections, kMaxDoublings);
  return std::min(options_.base_ejection * (std::int64_t{1} << doublings),
                  options_.max_ejection);
}

std::string_view ToString(EjectDenial denial) noexcept {
  switch (denial) {
    case EjectDenial::kNotFailingEnough:
      return "not_failing_enough";
    case EjectDenial::kAlreadyEjected:
      return "already_ejected";
    case EjectDenial::kFractionReached:
      return "fraction_reached";
    case EjectDenial::kLastOfService:
      return "last_of_service";
    case EjectDenial::kUnknownTarget:
      break;
  }
  return "unknown_target";
}

}  // namespace lynxglade::request
