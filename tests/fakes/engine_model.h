// Simulates the scheduling of an engine: continuous batching with separate
// prefill and decode rates, priorities, a prefix cache and KV transfer.
//
// A fluid model that its owner advances in small steps; it has no thread,
// socket or clock.
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

// Rates in tokens per second, over all requests unless stated otherwise.
struct EngineRates {
  double prefill = 12000;
  double decode = 1200;
  // Maximum rate of one stream.
  double per_stream = 60;
  // Fraction of the time spent on prefill while there is both prefill and
  // decode work.
  double prefill_share = 0.7;
  // Fraction of both rates that is lost while prefill and decode run side by
  // side.
  double mix_penalty = 0.3;
  // Fraction of its rate at which an engine does the work of the other role.
  double off_role = 0.1;
  // Rate of importing the KV cache of another engine.
  double kv_transfer = 200000;
};

struct EngineLimits {
  // Maximum number of running and of waiting requests.
  int batch = 64;
  int queue = 512;
  base::Tokens kv{600000};
  base::Tokens cache{200000};
};

using RunId = base::StrongNumber<struct RunIdTag, std::uint64_t>;

// Scheduling parameters of one request.
struct RunSpec {
  std::string prompt;
  std::string prefix_hint;
  // Smaller is more urgent.
  int priority = 5;
  base::Tokens prompt_tokens{1};
  // Number of tokens of the response, and index of the first one to generate.
  std::int64_t max_tokens = 1;
  std::int64_t resume_from = 0;
  // The KV cache of the prompt is imported from another engine, not computed.
  bool imports_kv = false;
};

enum class RunPhase { kWaiting, kTransfer, kPrefill, kDecode, kDone };

struct RunProgress {
  RunPhase phase = RunPhase::kWaiting;
  // Tokens generated so far, including the `resume_from` earlier ones.
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

  // Queues a request; nullopt when the queue is full.
  std::optional<RunId> Add(RunSpec spec);
  // Removes a request, finished or not.
  void Remove(RunId id);
  // Simulates `elapsed` and returns the requests that made progress.
  std::vector<RunId> Advance(base::Duration elapsed);
  // Drops all requests and the cache.
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
    double remaining = 0;
    // Fraction of a token generated but not yet emitted.
    double credit = 0;
    bool progressed = false;
  };
  // By priority, then by arrival.
  using Order = std::pair<int, RunId>;

  void Step(double seconds);
  void AdmitWaiting();
  void Admit(Run& run);
  void Transfer(double seconds);
  // Returns the unused part of `seconds`.
  double Prefill(double seconds, double rate);
  void Decode(double seconds, double rate);
  void Generate(Run& run, std::int64_t tokens);
  void StartDecode(Run& run);
  bool HasPhase(RunPhase phase) const;
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
