// A fake engine without sockets: scheduler, orders, faults, journal and
// published load and cache events, guarded by one mutex.
#ifndef LYNXGLADE_FAKES_ENGINE_CORE_H_
#define LYNXGLADE_FAKES_ENGINE_CORE_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/random.h"
#include "base/time.h"
#include "fakes/chat_wire.h"
#include "fakes/engine_model.h"
#include "fakes/engine_orders.h"
#include "fakes/fault_switches.h"
#include "fakes/kv_blocks.h"
#include "fakes/run_journal.h"

namespace lynxglade::fakes {

struct EngineSettings {
  std::string id;
  EngineRates rates;
  EngineLimits limits;
  EngineOrders::Settings orders;
  // Age of a load report when it is served.
  base::Duration load_lag{};
  // Age of cache events when they are served, and the fraction that is lost.
  base::Duration event_lag{};
  double event_loss = 0;
};

// One in-flight request. Shared by its connection and the engine.
struct EngineSession {
  RunId run;
  RunIndex journal = 0;
  std::string attempt_id;
  base::Tokens cached{0};
  // Token index at which a fault ends the stream.
  std::optional<std::int64_t> stop_at;
  bool ended = false;
  RunState end_state = RunState::kStarted;
  std::condition_variable changed;
};
using SessionPtr = std::shared_ptr<EngineSession>;

// An error code with its HTTP status.
struct EngineRefusal {
  int status = 503;
  std::string code;
};

// A pending crash: the down time, and whether an interrupted change leaves the
// engine half changed.
struct CrashPlan {
  base::Duration down{};
  bool half_changed = false;
};

// Thread-safe. `on_work` is called when there is work to Tick() for; it may be
// empty.
class EngineCore {
 public:
  EngineCore(EngineSettings settings,
             base::Clock clock,
             base::RandomSource random,
             KvBlocks& blocks,
             std::function<void()> on_work = {});
  EngineCore(const EngineCore&) = delete;
  EngineCore& operator=(const EngineCore&) = delete;

  // Accepts a request, or returns null and fills `refusal`.
  SessionPtr Begin(const ChatRequest& chat, EngineRefusal* refusal);
  // Waits until the response has more than `seen` tokens, has ended or `limit`
  // has passed, and returns the number of tokens generated so far.
  std::int64_t Await(EngineSession& session,
                     std::int64_t seen,
                     base::Duration limit);
  bool Ended(const EngineSession& session, RunState* end_state) const;
  void End(EngineSession& session, RunState end_state);
  bool Cancel(const std::string& attempt_id);
  // Exports the KV cache of a finished prefill.
  nlohmann::json ExportKv(const ChatRequest& chat);

  OrderVerdict Order(const EngineOrder& order);
  // Extends the change in progress until `until` at least.
  void DelayChange(base::Time until);
  // The setup that the change in progress leads to, if it needs other weights.
  std::optional<EngineSetup> RequiredWeights() const;

  // Simulates the time since the last call; returns whether work remains.
  bool Tick();
  // Returns the crash that is due, if any; the caller closes the sockets and
  // then calls Crash().
  std::optional<CrashPlan> TakeCrash();
  void Crash(const CrashPlan& plan);

  // Applies fault switches, and the members "crash", "crash_on_order" and
  // "poison", which are not numeric (see README.md).
  void ApplyFaults(const nlohmann::json& switches);
  bool TakeFault(const std::string& name);
  bool FaultOn(const std::string& name) const;
  double FaultValue(const std::string& name) const;

  nlohmann::json LoadJson() const;
  nlohmann::json StateJson() const;
  nlohmann::json EventsJson(std::int64_t since) const;
  nlohmann::json FaultsJson() const;
  nlohmann::json OrdersJson() const;
  nlohmann::json RunsJson() const;
  nlohmann::json RefusalsJson() const;
  std::string Model() const;
  const std::string& id() const noexcept { return settings_.id; }
  bool fenced() const noexcept { return settings_.orders.fenced; }

 private:
  struct LoadReport {
    base::Time at;
    nlohmann::json body;
  };
  struct PublishedEvent {
    base::Time at;
    CacheEvent event;
  };

  std::optional<EngineRefusal> RefusalFor(const ChatRequest& chat);
  SessionPtr Admit(const ChatRequest& chat, EngineRefusal* refusal);
  RunRecord RecordFor(const ChatRequest& chat, bool imports) const;
  // Simulates the time since the last call.
  void Advance(base::Time now);
  void UpdateSession(EngineSession& session);
  // Stops work at once; the sockets are closed after `delay`.
  void RequestCrash(const CrashPlan& plan, base::Duration delay = {});
  void PublishLoad(base::Time now);
  void PublishEvents(base::Time now);
  void ResetPublished();
  int InFlight() const;
  std::int64_t WallMillisOf(base::Time at) const;
  nlohmann::json LoadNow() const;
  std::string IncarnationText() const;
  void EndLocked(EngineSession& session, RunState end_state);

  const EngineSettings settings_;
  const base::Clock clock_;
  const base::RandomSource random_;
  KvBlocks& blocks_;
  const std::function<void()> on_work_;
  const std::int64_t started_ms_;
  // Wall time minus clock time, for the journal.
  const std::int64_t wall_offset_ms_;

  mutable std::mutex mutex_;
  EngineModel model_;
  EngineOrders orders_;
  FaultSwitches faults_;
  RunJournal journal_;
  std::map<RunId, SessionPtr> sessions_;
  base::Time last_tick_;
  std::string poison_;
  CrashPlan poison_plan_;
  std::optional<CrashPlan> order_crash_;
  std::optional<base::Time> order_crash_at_;
  base::Duration order_crash_after_{};
  std::optional<CrashPlan> crash_;
  base::Time crash_due_{};
  bool crashed_ = false;
  std::deque<LoadReport> loads_;
  std::int64_t load_seq_ = 0;
  std::deque<PublishedEvent> events_;
  std::int64_t events_read_ = 0;
};

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_ENGINE_CORE_H_
