#include "fakes/engine_core.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace lynxglade::fakes {

namespace {

using nlohmann::json;

constexpr base::Duration kLoadInterval = std::chrono::milliseconds(50);
constexpr base::Duration kKeepLoads = std::chrono::seconds(2);
constexpr std::size_t kMaxEvents = 4096;
// Lets the last tokens be sent before a crash in mid-stream.
constexpr base::Duration kCrashFlushDelay = std::chrono::milliseconds(30);
constexpr double kDefaultDownMs = 1000;

// Fault switches and their defaults; values are counts unless README.md says
// otherwise.
const std::map<std::string, double>& FaultDefaults() {
  static const std::map<std::string, double> defaults = {
      {"hang", 0},
      {"reset_before", 0},
      {"reset_after", 0},
      {"truncate", 0},
      {"truncate_after", 1},
      {"unframed", 0},
      {"stall", 0},
      {"stall_after", 1},
      {"crossed", 0},
      {"overloaded", 0},
      {"refuse_draining", 0},
      {"never_answer", 0},
      {"crash_after_tokens", 0},
      {"slow", 0},
      {"order_no_answer", 0},
      {"order_lost_answer", 0},
      {"order_delay_ms", 0},
      {"down_ms", kDefaultDownMs}};
  return defaults;
}

base::Duration Millis(double ms) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

CrashPlan ParseCrashPlan(const json& from, double absent_down_ms) {
  if (!from.is_object()) {
    return {Millis(absent_down_ms), false};
  }
  return {Millis(from.value("down_ms", absent_down_ms)),
          from.value("half_changed", false)};
}

}  // namespace

EngineCore::EngineCore(EngineSettings settings,
                       base::Clock clock,
                       base::RandomSource random,
                       KvBlocks& blocks,
                       std::function<void()> on_work)
    : settings_(std::move(settings)),
      clock_(std::move(clock)),
      random_(std::move(random)),
      blocks_(blocks),
      on_work_(std::move(on_work)),
      started_ms_(base::WallMillis()),
      wall_offset_ms_(started_ms_ -
                      base::ToMillis(clock_().time_since_epoch())),
      model_(settings_.rates, settings_.limits),
      orders_(settings_.orders),
      faults_(FaultDefaults()),
      last_tick_(clock_()) {
  model_.set_role(orders_.setup().role);
  blocks_.AddEngine(settings_.id);
  PublishLoad(last_tick_);
}

SessionPtr EngineCore::Begin(const ChatRequest& chat, EngineRefusal* refusal) {
  SessionPtr session;
  {
    const std::lock_guard lock(mutex_);
    session = Admit(chat, refusal);
  }
  if (session && on_work_) {
    on_work_();
  }
  return session;
}

SessionPtr EngineCore::Admit(const ChatRequest& chat, EngineRefusal* refusal) {
  std::optional<EngineRefusal> why = RefusalFor(chat);
  const bool imports =
      chat.imports_kv &&
      blocks_.Holds(chat.remote_engine, chat.remote_block, chat.prompt_hash);
  std::optional<RunId> run;
  if (!why) {
    // Time before the arrival of the request must not count as work on it.
    Advance(clock_());
    run = model_.Add({chat.prompt, chat.prefix_hint, chat.priority,
                      chat.prompt_tokens, chat.max_tokens, chat.resume_from,
                      imports});
  }
  if (!run) {
    *refusal = why.value_or(EngineRefusal{503, "overloaded"});
    journal_.AddRefusal(
        {chat.request_id, chat.attempt_id, refusal->code, base::WallMillis()});
    return nullptr;
  }
  auto session = std::make_shared<EngineSession>();
  session->run = *run;
  session->attempt_id = chat.attempt_id;
  session->journal = journal_.Add(RecordFor(chat, imports));
  if (const auto after =
          static_cast<std::int64_t>(faults_.Value("crash_after_tokens"));
      after > 0) {
    session->stop_at = chat.resume_from + after;
    faults_.Set("crash_after_tokens", 0);
  }
  sessions_[*run] = session;
  if (!poison_.empty() && chat.prompt.find(poison_) != std::string::npos) {
    journal_.at(session->journal).ran = true;
    RequestCrash(poison_plan_);
  }
  return session;
}

RunRecord EngineCore::RecordFor(const ChatRequest& chat, bool imports) const {
  RunRecord record;
  record.request_id = chat.request_id;
  record.attempt_id = chat.attempt_id;
  record.idempotency_key = chat.idempotency_key;
  record.prompt_hash = chat.prompt_hash;
  record.incarnation = orders_.incarnation();
  record.prompt_tokens = chat.prompt_tokens.value();
  record.max_tokens = chat.max_tokens;
  record.resume_from = chat.resume_from;
  record.generated = chat.resume_from;
  record.kv_imported = imports;
  record.queued_ms = base::WallMillis();
  return record;
}

std::optional<EngineRefusal> EngineCore::RefusalFor(const ChatRequest& chat) {
  const EngineSetup& setup = orders_.setup();
  if (orders_.phase() != EnginePhase::kReady || crashed_) {
    return EngineRefusal{503, "changing"};
  }
  if (orders_.draining() || faults_.Take("refuse_draining")) {
    return EngineRefusal{503, "draining"};
  }
  if (faults_.Take("overloaded")) {
    return EngineRefusal{503, "overloaded"};
  }
  const bool loaded =
      chat.model.empty() || chat.model == setup.model ||
      std::ranges::find(setup.adapters, chat.model) != setup.adapters.end();
  if (!loaded) {
    return EngineRefusal{404, "not_loaded"};
  }
  return std::nullopt;
}

std::int64_t EngineCore::Await(EngineSession& session,
                               std::int64_t seen,
                               base::Duration limit) {
  std::unique_lock lock(mutex_);
  const auto tokens = [&] {
    return session.ended ? seen : journal_.at(session.journal).generated;
  };
  session.changed.wait_for(lock, limit,
                           [&] { return session.ended || tokens() > seen; });
  return std::max(seen, journal_.at(session.journal).generated);
}

bool EngineCore::Ended(const EngineSession& session,
                       RunState* end_state) const {
  const std::lock_guard lock(mutex_);
  *end_state = session.end_state;
  return session.ended;
}

void EngineCore::End(EngineSession& session, RunState end_state) {
  const std::lock_guard lock(mutex_);
  EndLocked(session, end_state);
}

bool EngineCore::Cancel(const std::string& attempt_id) {
  const std::lock_guard lock(mutex_);
  const auto it = std::ranges::find_if(sessions_, [&](const auto& entry) {
    return entry.second->attempt_id == attempt_id;
  });
  if (it == sessions_.end()) {
    return false;
  }
  const SessionPtr session = it->second;
  EndLocked(*session, RunState::kCancelled);
  return true;
}

json EngineCore::ExportKv(const ChatRequest& chat) {
  return {{"do_remote_prefill", true},
          {"remote_engine", settings_.id},
          {"remote_block_id", blocks_.Export(settings_.id, chat.prompt_hash)}};
}

OrderVerdict EngineCore::Order(const EngineOrder& order) {
  const std::lock_guard lock(mutex_);
  const base::Time now = clock_();
  const OrderVerdict verdict = orders_.Handle(order, InFlight(), now);
  if (verdict == OrderVerdict::kAccepted) {
    model_.set_role(orders_.setup().role);
  }
  if (verdict == OrderVerdict::kStarted && order_crash_) {
    order_crash_at_ = now + order_crash_after_;
  }
  return verdict;
}

void EngineCore::DelayChange(base::Time until) {
  const std::lock_guard lock(mutex_);
  orders_.DelayUntil(until);
}

std::optional<EngineSetup> EngineCore::RequiredWeights() const {
  const std::lock_guard lock(mutex_);
  const EngineSetup& desired = orders_.desired();
  const EngineSetup& setup = orders_.setup();
  if (orders_.phase() != EnginePhase::kChanging ||
      (desired.model == setup.model && desired.version == setup.version)) {
    return std::nullopt;
  }
  return desired;
}

void EngineCore::Advance(base::Time now) {
  const double slow = faults_.Value("slow");
  model_.set_slowness(slow > 0 ? slow : 1);
  const base::Duration elapsed = now - std::exchange(last_tick_, now);
  for (const RunId id : model_.Advance(crashed_ ? base::Duration{} : elapsed)) {
    if (const auto it = sessions_.find(id); it != sessions_.end()) {
      const SessionPtr session = it->second;
      UpdateSession(*session);
    }
  }
}

bool EngineCore::Tick() {
  const std::lock_guard lock(mutex_);
  const base::Time now = clock_();
  Advance(now);
  if (order_crash_at_ && now >= *order_crash_at_) {
    order_crash_at_.reset();
    RequestCrash(*std::exchange(order_crash_, std::nullopt));
  }
  if (orders_.Advance(now)) {
    model_.set_role(orders_.setup().role);
    model_.Reset();
  }
  PublishLoad(now);
  PublishEvents(now);
  return !sessions_.empty() || orders_.phase() == EnginePhase::kChanging;
}

void EngineCore::UpdateSession(EngineSession& session) {
  const RunProgress progress = model_.Progress(session.run);
  RunRecord& record = journal_.at(session.journal);
  if (progress.phase != RunPhase::kWaiting) {
    record.ran = true;
    record.state = RunState::kStarted;
  }
  session.cached = progress.cached;
  record.generated = progress.generated;
  if (session.stop_at && record.generated >= *session.stop_at) {
    record.generated = *session.stop_at;
    RequestCrash({Millis(faults_.Value("down_ms")), false}, kCrashFlushDelay);
  } else if (progress.phase == RunPhase::kDone) {
    EndLocked(session, RunState::kFinished);
  }
  session.changed.notify_all();
}

void EngineCore::EndLocked(EngineSession& session, RunState end_state) {
  if (session.ended) {
    return;
  }
  session.ended = true;
  session.end_state = end_state;
  journal_.End(session.journal, end_state, base::WallMillis());
  model_.Remove(session.run);
  session.changed.notify_all();
  sessions_.erase(session.run);
}

void EngineCore::RequestCrash(const CrashPlan& plan, base::Duration delay) {
  if (!crashed_) {
    crashed_ = true;
    crash_ = plan;
    crash_due_ = clock_() + delay;
  }
}

std::optional<CrashPlan> EngineCore::TakeCrash() {
  const std::lock_guard lock(mutex_);
  if (crash_ && clock_() < crash_due_) {
    return std::nullopt;
  }
  return std::exchange(crash_, std::nullopt);
}

void EngineCore::Crash(const CrashPlan& plan) {
  const std::lock_guard lock(mutex_);
  const auto running = std::exchange(sessions_, {});
  for (const auto& [run, session] : running) {
    EndLocked(*session, RunState::kCrashed);
  }
  model_.Reset();
  orders_.Crash(plan.half_changed);
  model_.set_role(orders_.setup().role);
  blocks_.DropAll(settings_.id);
  order_crash_at_.reset();
  loads_.clear();
  load_seq_ = 0;
  PublishLoad(clock_());
  crashed_ = false;
}

void EngineCore::ApplyFaults(const json& switches) {
  const std::lock_guard lock(mutex_);
  faults_.Apply(switches);
  if (switches.value("clear", false)) {
    poison_.clear();
    order_crash_.reset();
    order_crash_at_.reset();
  }
  const double down_ms = faults_.Value("down_ms");
  if (const auto it = switches.find("poison"); it != switches.end()) {
    poison_ = it->is_string() ? it->get<std::string>() : "";
    poison_plan_ = {Millis(down_ms), false};
  }
  if (const auto it = switches.find("crash_on_order"); it != switches.end()) {
    order_crash_ = ParseCrashPlan(*it, down_ms);
    order_crash_after_ =
        Millis(it->is_object() ? it->value("after_ms", 0.0) : 0.0);
  }
  if (const auto it = switches.find("crash");
      it != switches.end() && *it != false) {
    RequestCrash(ParseCrashPlan(*it, down_ms));
  }
}

bool EngineCore::TakeFault(const std::string& name) {
  const std::lock_guard lock(mutex_);
  return faults_.Take(name);
}

bool EngineCore::FaultOn(const std::string& name) const {
  const std::lock_guard lock(mutex_);
  return faults_.IsOn(name);
}

double EngineCore::FaultValue(const std::string& name) const {
  const std::lock_guard lock(mutex_);
  return faults_.Value(name);
}

void EngineCore::PublishLoad(base::Time now) {
  if (!loads_.empty() && now - loads_.back().at < kLoadInterval) {
    return;
  }
  loads_.push_back({now, LoadNow()});
  while (now - loads_.front().at > settings_.load_lag + kKeepLoads) {
    loads_.pop_front();
  }
  ++load_seq_;
}

void EngineCore::PublishEvents(base::Time now) {
  for (const CacheEvent& event : model_.cache().events()) {
    if (event.seq <= events_read_) {
      continue;
    }
    events_read_ = event.seq;
    if (base::UniformReal(random_) >= settings_.event_loss) {
      events_.push_back({now, event});
    }
  }
  while (events_.size() > kMaxEvents) {
    events_.pop_front();
  }
}

int EngineCore::InFlight() const {
  return static_cast<int>(sessions_.size());
}

std::int64_t EngineCore::WallMillisOf(base::Time at) const {
  return base::ToMillis(at.time_since_epoch()) + wall_offset_ms_;
}

}  // namespace lynxglade::fakes
