#include "fakes/fake_kv.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lynxglade::fakes {

namespace {

using base::Revision;
using connection::KvAnswer;
using connection::KvCall;
using connection::KvError;
using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;
constexpr int kGrpcInvalid = 3;
constexpr int kGrpcExhausted = 8;
constexpr int kGrpcUnavailable = 14;
// Interval at which a waiting watch checks for expired leases.
constexpr base::Duration kLeaseCheckInterval = std::chrono::milliseconds(10);

const std::map<std::string, double>& FaultDefaults() {
  static const std::map<std::string, double> defaults = {
      {"lose_answer", 0},      {"lose_request", 0}, {"lose_nth", 0},
      {"lose_probability", 0}, {"unreachable", 0},  {"unavailable", 0}};
  return defaults;
}

KvAnswer TooMany() {
  return KvErrorAnswer(kTooMany, kGrpcExhausted, "too many requests");
}

}  // namespace

FakeKv::FakeKv(base::Clock clock, KvLimits limits, base::RandomSource random)
    : clock_(std::move(clock)),
      limits_(limits),
      random_(std::move(random)),
      writes_(limits.writes_per_s, limits.writes_per_s),
      reads_(limits.reads_per_s, limits.reads_per_s),
      faults_(FaultDefaults()) {}

std::optional<KvAnswer> FakeKv::Handle(const KvCall& call,
                                       const std::string& source,
                                       KvOutcome* outcome) {
  const std::lock_guard lock(mutex_);
  *outcome = KvOutcome::kAnswered;
  if (cut_.contains(source) || faults_.Take("unreachable")) {
    *outcome = KvOutcome::kUnreachable;
    return std::nullopt;
  }
  std::optional<KvAnswer> answer = Run(call.path, call.body, outcome);
  changed_.notify_all();
  return answer;
}

std::optional<KvAnswer> FakeKv::Run(const std::string& path,
                                    const std::string& body,
                                    KvOutcome* outcome) {
  const base::Time now = clock_();
  ExpireLeases(now);
  ++calls_[path];
  const json fields = json::parse(body, nullptr, false);
  if (!fields.is_object()) {
    return KvErrorAnswer(kBadRequest, kGrpcInvalid, "not a JSON object");
  }
  if (faults_.Take("lose_request")) {
    ++lost_;
    *outcome = KvOutcome::kLost;
    return std::nullopt;
  }
  const KvCallKind kind = KindOf(path, fields);
  if (faults_.Take("unavailable")) {
    return KvErrorAnswer(kUnavailable, kGrpcUnavailable, "no leader");
  }
  if (IsRateLimited(kind, now)) {
    return TooMany();
  }
  KvAnswer answer = RunKvCall(path, fields, now, store_);
  if (kind == KvCallKind::kWrite && TakeLostAnswer()) {
    ++lost_;
    *outcome = KvOutcome::kLost;
    return std::nullopt;
  }
  return answer;
}

bool FakeKv::IsRateLimited(KvCallKind kind, base::Time now) {
  TokenBucket& bucket = kind == KvCallKind::kWrite ? writes_ : reads_;
  if (bucket.Take(now)) {
    return false;
  }
  ++limited_;
  return true;
}

bool FakeKv::TakeLostAnswer() {
  if (faults_.Take("lose_answer")) {
    return true;
  }
  // Counts down with each write; the response to the write that reaches zero is
  // lost.
  if (faults_.IsOn("lose_nth") && faults_.Take("lose_nth")) {
    return !faults_.IsOn("lose_nth");
  }
  return base::UniformReal(random_) < faults_.Value("lose_probability");
}

void FakeKv::ExpireLeases(base::Time now) {
  const Revision before = store_.revision();
  store_.Expire(now);
  if (store_.revision() != before) {
    changed_.notify_all();
  }
}

std::optional<KvWatch> FakeKv::OpenWatch(const std::string& body,
                                         KvAnswer* refusal) {
  const std::lock_guard lock(mutex_);
  const base::Time now = clock_();
  ++calls_["/v3/watch"];
  const json fields = json::parse(body, nullptr, false);
  if (!fields.is_object() || !fields.contains("create_request")) {
    *refusal =
        KvErrorAnswer(kBadRequest, kGrpcInvalid, "create_request is missing");
    return std::nullopt;
  }
  if (IsRateLimited(KvCallKind::kRead, now)) {
    *refusal = TooMany();
    return std::nullopt;
  }
  KvWatch watch;
  watch.request = ParseWatch(fields);
  watch.next = watch.request.start.value() > 0
                   ? watch.request.start
                   : store_.revision() + Revision(1);
  watch.last_line = now;
  watch.epoch = epoch_;
  ++watches_;
  return watch;
}

void FakeKv::CloseWatch() {
  const std::lock_guard lock(mutex_);
  --watches_;
}

std::optional<std::string> FakeKv::NextLine(KvWatch& watch,
                                            base::Duration wait) {
  std::unique_lock lock(mutex_);
  ExpireLeases(clock_());
  if (watch.epoch != epoch_) {
    return std::nullopt;
  }
  if (!std::exchange(watch.created, true)) {
    return WatchCreatedLine(store_.revision());
  }
  if (watch.next < store_.oldest_history()) {
    watch.epoch = -1;
    return WatchCompactedLine(store_.revision(), store_.oldest_history());
  }
  if (store_.revision() < watch.next) {
    changed_.wait_for(lock, wait);
  }
  std::string line = EventsFor(watch);
  const base::Time now = clock_();
  const bool silent = now - watch.last_line >= limits_.progress_interval;
  if (line.empty() && silent && watch.request.progress) {
    line = WatchProgressLine(store_.revision());
  }
  if (!line.empty()) {
    watch.last_line = now;
  }
  return line;
}

std::string FakeKv::EventsFor(KvWatch& watch) const {
  json events = json::array();
  const auto& history = store_.history();
  const auto begin =
      std::ranges::lower_bound(history, watch.next, {}, &KvChange::revision);
  std::for_each(begin, history.end(), [&](const KvChange& change) {
    if (watch.request.span.Contains(change.record.entry.key)) {
      events.push_back(WatchEvent(change));
    }
  });
  watch.next = std::max(watch.next, store_.revision() + Revision(1));
  return events.empty() ? std::string()
                        : WatchEventsLine(store_.revision(), std::move(events));
}

void FakeKv::ApplyFaults(const json& switches) {
  const std::lock_guard lock(mutex_);
  faults_.Apply(switches);
  if (switches.value("clear", false)) {
    cut_.clear();
  }
  if (const auto it = switches.find("cut"); it != switches.end()) {
    cut_.insert(it->get<std::string>());
  }
  if (const auto it = switches.find("restore"); it != switches.end()) {
    cut_.erase(it->get<std::string>());
  }
  if (switches.value("save_copy", false)) {
    copy_ = store_;
  }
  if (switches.value("load_copy", false)) {
    store_ = copy_;
    ++epoch_;
  }
  if (switches.contains("writes_per_s")) {
    const double rate = switches["writes_per_s"];
    writes_.set_rate(rate, rate);
  }
  if (switches.contains("reads_per_s")) {
    const double rate = switches["reads_per_s"];
    reads_.set_rate(rate, rate);
  }
  changed_.notify_all();
}

void FakeKv::Cut(const std::string& source) {
  const std::lock_guard lock(mutex_);
  cut_.insert(source);
}

void FakeKv::Restore(const std::string& source) {
  const std::lock_guard lock(mutex_);
  cut_.erase(source);
}

bool FakeKv::IsCut(const std::string& source) const {
  const std::lock_guard lock(mutex_);
  return cut_.contains(source);
}

json FakeKv::StatsJson() const {
  const std::lock_guard lock(mutex_);
  return {{"calls", calls_},
          {"rate_limited", limited_},
          {"lost", lost_},
          {"watches_open", watches_},
          {"leases", store_.lease_count()},
          {"revision", store_.revision().value()},
          {"faults", faults_.ToJson()},
          {"cut", cut_}};
}

Revision FakeKv::revision() const {
  const std::lock_guard lock(mutex_);
  return store_.revision();
}

namespace {

// Delivers lines until the receiver, the caller or the service ends the watch.
std::optional<KvAnswer> ForwardWatch(FakeKv& kv,
                                     const KvCall& call,
                                     const std::string& source,
                                     KvError* error) {
  *error = KvError::kUnreachable;
  if (kv.IsCut(source)) {
    return std::nullopt;
  }
  KvAnswer refusal;
  std::optional<KvWatch> watch = kv.OpenWatch(call.body, &refusal);
  if (!watch) {
    return refusal;
  }
  bool going = true;
  bool reached = true;
  while (going && reached && !call.stop.stop_requested()) {
    const std::optional<std::string> line =
        kv.NextLine(*watch, kLeaseCheckInterval);
    reached = line && !kv.IsCut(source);
    going = reached && (line->empty() || call.on_chunk(*line));
  }
  kv.CloseWatch();
  if (!reached) {
    return std::nullopt;
  }
  return KvAnswer{kOk, ""};
}

}  // namespace

connection::KvTransport MakeInProcessTransport(FakeKv& kv, std::string source) {
  return [&kv, source = std::move(source)](
             const KvCall& call, KvError* error) -> std::optional<KvAnswer> {
    if (call.path == "/v3/watch") {
      return ForwardWatch(kv, call, source, error);
    }
    KvOutcome outcome = KvOutcome::kAnswered;
    std::optional<KvAnswer> answer = kv.Handle(call, source, &outcome);
    if (!answer) {
      *error = outcome == KvOutcome::kLost ? KvError::kAmbiguous
                                           : KvError::kUnreachable;
    }
    return answer;
  };
}

}  // namespace lynxglade::fakes
