// Which target runs a request.
//
// For a prompt, each engine is judged by when it would begin to generate: how
// long prompts wait there (by what this instance and its peers have it read, by
// this one's overdue reads, and by the wait that its last read met), then what
// it has to read of this one, at the speeds that prefill_times has learnt.
// Shared parts live at a home, the prefill engine that all instances agree on
// without a message (rendezvous hashing); another engine fetches their KV cache
// from there, which takes a few milliseconds where reading takes hundreds. A
// prefill engine reads at full speed, but the KV cache then has to move to a
// decode engine. Plain requests go to the target with the fewest requests.
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
  // A decode engine takes so many times as long to read (users' protocol page).
  double decode_prefill_factor = 2;
  // A decode engine reads a prompt in chunks of about this many tokens (a
  // quarter of the users' 4,096), and each chunk holds up every request that
  // it generates for. Where a prefill engine can read, longer prompts are not
  // read at a decode engine.
  std::int64_t max_decode_prefill_tokens = 1024;
  // What leaving a part's home is taken to cost, in readings of the shared
  // parts. More than one: what is read elsewhere is found there by nobody, and
  // takes memory from what is.
  double remote_prefill_penalty = 2.0;
  // The same at least, by the size of the shared parts: the memory that a
  // second copy takes from other parts, and that waits are known 100 ms late,
  // weigh as much where engines read fast.
  double remote_prefill_ms_per_token = 0.05;
  // An engine that joined, or took up its stage, this recently still fetches
  // the parts it is home to from where they were. Long enough for most parts
  // to be asked for once (the users' are, every one to ten seconds).
  base::Duration settle_time = std::chrono::seconds(15);
  // A wait that a read met says less of the next one the longer ago it was.
  base::Duration observed_wait_decay = std::chrono::milliseconds(400);
  // What a request at an engine costs the next one, by longer steps: a step
  // grows by about 0.09 ms a slot, and a first token waits for a few steps.
  double ms_per_request = 0.5;
  // Added for a target of another availability zone: the round trip, and the
  // worth of the bytes between zones.
  double cross_zone_ms = 4;
};

// What is to be run, and where it may be.
struct EnginePickQuery {
  const Prompt& prompt;
  // 0 is the most urgent.
  int priority = 0;
  // Targets that are left out.
  const std::vector<base::TargetId>& tried;
  // Requests of this instance that a target may have at a time: its part of
  // the connections that the target takes, which resets those beyond.
  int max_in_flight = std::numeric_limits<int>::max();
  // Whether one engine may read the prompt and another run the request.
  bool allow_separate_prefill = true;
  base::Time now{};
};

// The engines chosen for one attempt.
struct EnginePick {
  // Runs the request; null: no target may take it.
  EngineHandle runner;
  // Reads the prompt first, or null.
  EngineHandle prefill_engine;
  // Where the reader (or else the runner) fetches the shared parts, or null.
  EngineHandle fetch_from;
  // Tokens the reader (or else the runner) is expected to read, and how long
  // that takes if nothing else is read first.
  std::int64_t prefill_tokens = 0;
  base::Duration prefill_time{};
  // No other read is known to be under way there.
  bool no_other_prefills = false;
  // How long the prompt is expected to wait for others to be read.
  base::Duration wait{};
  // When generation is expected to begin, from now.
  base::Duration expected{};
};

// Tokens that other instances have the engine read before a prompt of that
// priority.
using PeerTokens = std::function<
    std::int64_t(const Engine& engine, int priority, base::Time now)>;

// Whether no target of a zone can be reached.
using ZoneUnreachable =
    std::function<bool(const base::ZoneId& zone, base::Time now)>;

// Whether other instances have found that a target fails.
using PeersAvoidEngine =
    std::function<bool(const Engine& engine, base::Time now)>;

// Not thread-safe: lives on the event loop.
class EnginePicker {
 public:
  // The hooks may be empty: nothing is known of others, all zones are reached,
  // an engine has room for as many requests as it has slots.
  EnginePicker(EnginePickerOptions options,
               const PrefillTimes& prefill_times,
               base::RandomSource random,
               PeerTokens peer_tokens = {},
               ZoneUnreachable zone_unreachable = {},
               PeersAvoidEngine peers_avoid_engine = {},
               EngineCapacity capacity = {});
  EnginePicker(const EnginePicker&) = delete;
  EnginePicker& operator=(const EnginePicker&) = delete;

  // Chooses among `engines`, those of one service.
  EnginePick Pick(const std::vector<EngineHandle>& engines,
                  const EnginePickQuery& query) const;

  // How long a prompt that is no more urgent than others would wait to be read,
  // on average over the prefill engines; for ever if there is none.
  base::Duration Backlog(const std::vector<EngineHandle>& engines,
                         base::Time now) const;

  // Whether the runner reads so much itself that it holds up what it generates
  // for (EnginePickerOptions::max_decode_prefill_tokens).
  bool PrefillStallsDecode(const EnginePick& pick) const noexcept;

  // The engine to run a request whose KV cache waits at `reader`.
  EngineHandle PickDecoder(const std::vector<EngineHandle>& engines,
                           const Engine& prefill_engine,
                           const EnginePickQuery& query) const;

 private:
  EnginePick PickPlain(const std::vector<EngineHandle>& usable,
                       base::Time now) const;
  EnginePick PickForPrompt(const std::vector<EngineHandle>& engines,
                           const std::vector<EngineHandle>& usable,
                           const EnginePickQuery& query) const;
  EngineHandle LeastLoaded(const std::vector<EngineHandle>& usable,
                           base::Time now) const;
  std::vector<EngineHandle> UsableEngines(
      const std::vector<EngineHandle>& engines,
      const EnginePickQuery& query) const;
  // EstimatePrefill at `engine`; the pick's engines are left open.
  EnginePick EstimatePrefill(const EngineHandle& engine,
                             const PrefixPlacement& places,
                             const EnginePickQuery& query) const;
  // Tokens of other prompts at an engine, by this instance and its peers.
  struct PrefillsAhead {
    // As urgent as the request, or more.
    std::int64_t before = 0;
    std::int64_t less_urgent = 0;

    std::int64_t total() const noexcept { return before + less_urgent; }
  };
  PrefillsAhead CountPrefills(const Engine& engine,
                              int priority,
                              base::Time now) const;
  // Until the engine begins to read what is sent now.
  double WaitMs(const Engine& engine,
                const PrefillsAhead& ahead,
                int priority,
                base::Time now) const;
  // Milliseconds to read so much there; 0 for nothing.
  double PrefillMs(const Engine& engine, std::int64_t tokens) const;
  // How many times as long reading takes at an engine of that stage.
  double StageFactor(const Engine& engine) const noexcept;
  double CrossZoneMs(const Engine& engine) const noexcept;
  double Capacity(const Engine& engine, base::Time now) const;
  // What the requests at an engine cost the next one. As much as if the part of
  // the room that they take were the part of the slots, so that slower engines
  // get fewer.
  double LoadMs(const Engine& engine, base::Time now) const;
  // Up to what one request more costs: of engines that look alike any may be
  // taken, so that instances with the same picture do not all choose the same
  // one.
  base::Duration TieBreakJitter() const;

  const EnginePickerOptions options_;
  const PrefillTimes& prefill_times_;
  const base::RandomSource random_;
  const PeerTokens peer_tokens_;
  const ZoneUnreachable zone_unreachable_;
  const PeersAvoidEngine peers_avoid_engine_;
  const EngineCapacity capacity_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_PICKER_H_
