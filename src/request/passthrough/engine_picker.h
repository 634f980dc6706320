// Selects the engines or the plain target that run a request.
//
// For a prompt, the pick minimises the expected time until generation starts:
// the engine's prefill backlog (this instance's and its peers' pending tokens,
// this instance's overdue prefills and the last observed wait) plus the prefill
// of this prompt at the rate known to PrefillTimes. The KV cache of shared
// parts is kept at a home engine, which all instances derive independently by
// rendezvous hashing; other engines fetch it from there, which takes a few
// milliseconds where prefilling it again takes hundreds. A prefill engine
// prefills at full speed, but the KV cache then has to be handed over to a
// decode engine. Requests without a prompt go to the least loaded target.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_PICKER_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_PICKER_H_

#include <cstddef>
#include <functional>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "request/passthrough/engine_table.h"
#include "request/passthrough/prefill_times.h"
#include "request/passthrough/prefix_placement.h"
#include "request/passthrough/prompt.h"

namespace lynxglade::request::passthrough {

struct EnginePickerOptions {
  base::ZoneId zone;
  // Prefill at a decode engine takes this many times as long, by the targets'
  // protocol.
  double decode_prefill_factor = 2;
  // Longest prompt, in uncached tokens, that a decode engine prefills while a
  // prefill engine is usable. A decode engine prefills in chunks, and each
  // chunk delays every request that it generates for.
  std::int64_t max_decode_prefill_tokens = 1024;
  // Cost of prefilling away from a part's home, in prefills of the shared
  // parts. Above 1, as the copy is not found by other requests and displaces
  // other parts from the cache.
  double remote_prefill_penalty = 2.0;
  // Lower bound of that cost per shared token, for engines that prefill fast.
  double remote_prefill_ms_per_token = 0.05;
  // An engine that joined or changed its stage less than this ago fetches the
  // shared parts that it is home to from their previous home. Long enough for
  // most parts to be requested once.
  base::Duration settle_time = std::chrono::seconds(15);
  // Time constant with which the last observed wait decays.
  base::Duration observed_wait_decay = std::chrono::milliseconds(400);
  // Added per request at an engine, as each one lengthens the engine's steps.
  double ms_per_request = 0.5;
  // Added for a target in another availability zone: round trip and traffic
  // cost.
  double cross_zone_ms = 4;
};

// The request to place, and constraints on the engines.
struct EnginePickQuery {
  const Prompt& prompt;
  // 0 is the most urgent.
  int priority = 0;
  // Targets to leave out.
  const std::vector<base::TargetId>& tried;
  // Most requests that this instance may have at one target: its share of the
  // connections that the target accepts. The target resets connections beyond.
  int max_in_flight = std::numeric_limits<int>::max();
  // Whether one engine may prefill and another one run the request.
  bool allow_separate_prefill = true;
  base::Time now{};
};

// The engines chosen for one attempt.
struct EnginePick {
  // Runs the request; null if no target is available.
  EngineHandle runner;
  // Prefills the prompt before it is handed over to `runner`; null if the
  // runner prefills it.
  EngineHandle prefill_engine;
  // Source of the shared parts' KV cache for the engine that prefills, or null.
  EngineHandle fetch_from;
  // Tokens to prefill, and how long this takes without waiting.
  std::int64_t prefill_tokens = 0;
  base::Duration prefill_time{};
  // No other prefill is known to be pending at the engine that prefills.
  bool no_other_prefills = false;
  // Expected time in the engine's prefill queue.
  base::Duration wait{};
  // Expected time from now until generation starts.
  base::Duration expected{};
  // Targets that were left out because they are at the limits that they named.
  int over_limit = 0;
};

// Tokens that other instances have pending at the engine, at `priority` or more
// urgent.
using PeerTokens = std::function<
    std::int64_t(const Engine& engine, int priority, base::Time now)>;

// Whether no target of the zone can be reached.
using ZoneUnreachable =
    std::function<bool(const base::ZoneId& zone, base::Time now)>;

// Whether other instances report that the target fails.
using PeersAvoidEngine =
    std::function<bool(const Engine& engine, base::Time now)>;

// Whether this instance may send a request to the target without exceeding its
// share of the limit that the target named.
using MaySendTo = std::function<bool(Engine& engine, base::Time now)>;

// Not thread-safe: used on the event loop only.
class EnginePicker {
 public:
  // `prefill_times` must outlive this object. Hooks may be empty: no peers are
  // known, all zones are reachable, an engine's capacity is its slots, and no
  // target has a limit.
  EnginePicker(EnginePickerOptions options,
               const PrefillTimes& prefill_times,
               base::RandomSource random,
               PeerTokens peer_tokens = {},
               ZoneUnreachable zone_unreachable = {},
               PeersAvoidEngine peers_avoid_engine = {},
               EngineCapacity capacity = {},
               MaySendTo may_send = {});
  EnginePicker(const EnginePicker&) = delete;
  EnginePicker& operator=(const EnginePicker&) = delete;

  // Chooses among `engines`, all of one service.
  EnginePick Pick(const std::vector<EngineHandle>& engines,
                  const EnginePickQuery& query) const;

  // Mean prefill wait over the prefill engines, counting prompts of every
  // priority; Duration::max() if there is no prefill engine.
  base::Duration Backlog(const std::vector<EngineHandle>& engines,
                         base::Time now) const;

  // Whether the runner itself prefills more than
  // EnginePickerOptions::max_decode_prefill_tokens, which delays the streams
  // that it generates.
  bool PrefillStallsDecode(const EnginePick& pick) const noexcept;

  // The engine to run a request whose KV cache is held by `prefill_engine`; no
  // runner if there is none.
  EnginePick PickDecodeEngine(const std::vector<EngineHandle>& engines,
                              const EngineHandle& prefill_engine,
                              const EnginePickQuery& query) const;

 private:
  EnginePick PickPlain(const std::vector<EngineHandle>& usable,
                       base::Time now) const;
  EnginePick PickForPrompt(const std::vector<EngineHandle>& engines,
                           const std::vector<EngineHandle>& usable,
                           const EnginePickQuery& query) const;
  EngineHandle LeastLoaded(const std::vector<EngineHandle>& usable,
                           base::Time now) const;
  // Engines that a request may be sent to, and the number of those that are
  // only left out because they are at their limits.
  struct UsableEngines {
    std::vector<EngineHandle> engines;
    int over_limit = 0;
  };
  UsableEngines FindUsable(const std::vector<EngineHandle>& engines,
                           const EnginePickQuery& query) const;
  // Estimates the times for a prefill at `engine`; leaves `runner` and
  // `prefill_engine` unset.
  EnginePick EstimatePrefill(const EngineHandle& engine,
                             const PrefixPlacement& placement,
                             const EnginePickQuery& query) const;
  // Pending tokens of other prompts at an engine, of this instance and its
  // peers.
  struct PrefillsAhead {
    // At the request's priority or more urgent.
    std::int64_t as_urgent = 0;
    std::int64_t less_urgent = 0;

    std::int64_t total() const noexcept { return as_urgent + less_urgent; }
  };
  PrefillsAhead CountPrefills(const Engine& engine,
                              int priority,
                              base::Time now) const;
  // Expected wait until the engine starts to prefill a prompt sent now.
  double WaitMs(const Engine& engine,
                const PrefillsAhead& ahead,
                int priority,
                base::Time now) const;
  // Expected time to prefill `tokens`; 0 for none.
  double PrefillMs(const Engine& engine, std::int64_t tokens) const;
  // Prefill time at the engine's stage relative to a prefill engine.
  double StageFactor(const Engine& engine) const noexcept;
  double CrossZoneMs(const Engine& engine) const noexcept;
  double Capacity(const Engine& engine, base::Time now) const;
  // Delay caused by the requests at the engine. It is scaled by slots over
  // capacity, so that slower engines get fewer requests.
  double LoadMs(const Engine& engine, base::Time now) const;
  // Random, below the cost of one request. Keeps instances with the same view
  // from all choosing the same of several equal engines.
  base::Duration TieBreakJitter() const;

  const EnginePickerOptions options_;
  const PrefillTimes& prefill_times_;
  const base::RandomSource random_;
  const PeerTokens peer_tokens_;
  const ZoneUnreachable zone_unreachable_;
  const PeersAvoidEngine peers_avoid_engine_;
  const EngineCapacity capacity_;
  const MaySendTo may_send_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_PICKER_H_
