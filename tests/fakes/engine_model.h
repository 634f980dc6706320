// How a stand-in engine spends its time: continuous batching with separate
// prefill and decode rates, priorities, a prefix cache and KV transfer.
//
// A fluid model, advanced in small steps by whoever owns it; no thread, no
// socket, no clock of its own.
#ifndef LYNXGLADE_FAKES_ENGINE_MODEL_H_
#define LYNXGLADE_FAKES_ENGINE_MODEL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "base/units.h"
#include "fakes/prefix_cache.h"
#include "request/target.h"

namespace lynxglade::fakes {

// What an engine can do. Rates are tokens a second over all requests.
struct EngineRates {
  double prefill = 12000;
  double decode = 1200;
  // Most tokens a second that one stream can get.
  double per_stream = 60;
  // Part of the time that prefill takes while both kinds of work are there.
  double prefill_share = 0.7;
  // Part of both rates that is lost while prefill and decode run side by side.
  double mix_penalty = 0.3;
  // Part of its rate with which an engine does the other role's work.
  double off_role = 0.1;
  // Tokens of KV cache moved a second when another engine's is imported.
  double kv_transfer = 200000;
};

struct EngineLimits {
  // Requests that run at once, and that wait for a place.
  int batch = 64;
  int queue = 512;
  base::Tokens kv{600000};
  base::Tokens cache{200000};
};

using RunId = base::StrongNumber<struct RunIdTag, std::uint64_t>;

// One request as the scheduler sees it.
struct RunSpec {
  std::string prompt;
  std::string prefix_hint;
  // Smaller is more urgent.
  int priority = 5;
  base::Tokens prompt_tokens{1};
  // The answer's tokens, counted from 0, and the first one to generate.
  std::int64_t max_tokens = 1;
  std::int64_t resume_from = 0;
  // The prompt's KV cache is fetched from another engine, not computed.
  bool imports_kv = false;
};

enum class RunPhase { kWaiting, kTransfer, kPrefill, kDecode, kDone };

struct RunProgress {
  RunPhase phase = RunPhase::kWaiting;
  // Tokens generated so far, counted from 0; starts at resume_from.
  std::int64_t generated = 0;
  base::Tokens cached{0};
};

struct EngineCounts {
  int running = 0;
  int waiting = 0;
  base::Tokens queued_prefill{0};
  // Tokens still to generate for requests in the batch.
  base::Tokens running_decode{0};
  base::Tokens kv_used{0};
};

// Not thread-safe.
class EngineModel {
 public:
  EngineModel(EngineRates rates, EngineLimits limits);
  EngineModel(const EngineModel&) = delete;
  EngineModel& operator=(const EngineModel&) = delete;

  // Queues a request; nothing when the queue is full.
  std::optional<RunId> Add(RunSpec spec);
  // Takes a request out, finished or not.
  void Remove(RunId id);
  // Does the work of `elapsed` and returns the requests that moved on.
  std::vector<RunId> Advance(base::Duration elapsed);
  // Forgets all requests and the cache.
  void Reset();

  void set_role(request::EngineRole role) noexcept { role_ = role; }
  // Divides all rates; 1 is normal.
  void set_slowness(double factor) noexcept { slowness_ = factor; }

  RunProgress Progress(RunId id) const;
  EngineCounts Counts() const;
  const PrefixCache& cache() const noexcept { return cache_; }
  const EngineRates& rates() const noexcept { return rates_; }
  const EngineLimits& limits() const noexcept { return limits_; }

 private:
  struct Run {
    RunSpec spec;
    RunPhase phase = RunPhase::kWaiting;
    std::int64_t generated = 0;
    base::Tokens cached{0};
    // Tokens to prefill or transfer before the first token.
    double left = 0;
    // Part of a token earned and not yet given out.
    double credit = 0;
    bool moved = false;
  };
  // By priority, then by arrival.
  using Order = std::pair<int, RunId>;

  void Step(double seconds);
  void AdmitWaiting();
  void Admit(Run& run);
  void Transfer(double seconds);
  // Returns the seconds it left over.
  double Prefill(double seconds, double rate);
  void Decode(double seconds, double rate);
  void Generate(Run& run, std::int64_t tokens);
  void StartDecode(Run& run);
  bool Any(RunPhase phase) const;
  base::Tokens KvNeeded(const Run& run) const;
  base::Tokens KvReserved() const;

  EngineRates rates_;
  EngineLimits limits_;
  request::EngineRole role_ = request::EngineRole::kMixed;
  double slowness_ = 1;
  PrefixCache cache_;
  std::map<Order, Run> runs_;
  std::map<RunId, Order> order_;
  std::uint64_t next_id_ = 1;
};

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_ENGINE_MODEL_H_
