#include "request/passthrough/engine_picker.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

#include "request/passthrough/prefix_placement.h"

namespace lynxglade::request::passthrough {

namespace {

using base::FromFineMillis;
using base::ToFineMillis;

bool IsPrefill(const Engine& engine) noexcept {
  return engine.entry.stage == EngineStage::kPrefill;
}

bool IsStaged(const EngineHandle& engine) noexcept {
  return engine->entry.stage != EngineStage::kPlain;
}

}  // namespace

EnginePicker::EnginePicker(EnginePickerOptions options,
                           const PrefillTimes& prefill_times,
                           base::RandomSource random,
                           PeerTokens peer_tokens,
                           ZoneUnreachable zone_unreachable,
                           PeersAvoidEngine peers_avoid_engine,
                           EngineCapacity capacity,
                           MaySendTo may_send)
    : options_(std::move(options)),
      prefill_times_(prefill_times),
      random_(std::move(random)),
      peer_tokens_(std::move(peer_tokens)),
      zone_unreachable_(std::move(zone_unreachable)),
      peers_avoid_engine_(std::move(peers_avoid_engine)),
      capacity_(std::move(capacity)),
      may_send_(std::move(may_send)) {}

EnginePick EnginePicker::Pick(const std::vector<EngineHandle>& engines,
                              const EnginePickQuery& query) const {
  const UsableEngines usable = FindUsable(engines, query);
  EnginePick pick;
  if (!usable.engines.empty()) {
    pick = query.prompt.empty() ? PickPlain(usable.engines, query.now)
                                : PickForPrompt(engines, usable.engines, query);
  }
  pick.over_limit = usable.over_limit;
  return pick;
}

base::Duration EnginePicker::Backlog(const std::vector<EngineHandle>& engines,
                                     base::Time now) const {
  int prefill_engines = 0;
  double ms = 0;
  for (const EngineHandle& engine : engines) {
    if (IsPrefill(*engine) && !engine->entry.draining) {
      ++prefill_engines;
      ms += static_cast<double>(CountPrefills(*engine, 0, now).total()) /
            prefill_times_.TokensPerMs(*engine);
    }
  }
  return prefill_engines == 0 ? base::Duration::max()
                              : FromFineMillis(ms / prefill_engines);
}

bool EnginePicker::PrefillStallsDecode(const EnginePick& pick) const noexcept {
  return !pick.prefill_engine &&
         pick.prefill_tokens > options_.max_decode_prefill_tokens;
}

EnginePick EnginePicker::PickDecodeEngine(
    const std::vector<EngineHandle>& engines,
    const EngineHandle& prefill_engine,
    const EnginePickQuery& query) const {
  const UsableEngines usable = FindUsable(engines, query);
  std::vector<EngineHandle> near;
  std::vector<EngineHandle> all;
  for (const EngineHandle& engine : usable.engines) {
    if (IsPrefill(*engine)) {
      continue;
    }
    all.push_back(engine);
    // A KV cache transfer between zones takes twice as long.
    if (engine->entry.zone == prefill_engine->entry.zone) {
      near.push_back(engine);
    }
  }
  EnginePick pick;
  pick.runner = LeastLoaded(near.empty() ? all : near, query.now);
  pick.prefill_engine = prefill_engine;
  pick.over_limit = usable.over_limit;
  return pick;
}

EnginePick EnginePicker::PickPlain(const std::vector<EngineHandle>& usable,
                                   base::Time now) const {
  EnginePick pick;
  pick.runner = LeastLoaded(usable, now);
  return pick;
}

EnginePick EnginePicker::PickForPrompt(const std::vector<EngineHandle>& engines,
                                       const std::vector<EngineHandle>& usable,
                                       const EnginePickQuery& query) const {
  const base::Time now = query.now;
  std::vector<EngineHandle> decode_engines;
  std::ranges::copy_if(usable, std::back_inserter(decode_engines),
                       [](const EngineHandle& it) { return !IsPrefill(*it); });
  const EngineHandle least_loaded = LeastLoaded(decode_engines, now);
  if (!least_loaded) {
    return {};
  }
  const double least_loaded_ms =
      LoadMs(*least_loaded, now) + CrossZoneMs(*least_loaded);
  std::vector<EngineHandle> prefill_engines;
  std::ranges::copy_if(usable, std::back_inserter(prefill_engines),
                       [](const EngineHandle& it) { return IsPrefill(*it); });
  const PrefixPlacement placement = FindPrefixPlacement(
      prefill_engines.empty() ? decode_engines : prefill_engines, engines,
      query.prompt, options_.settle_time, now);
  if (!query.allow_separate_prefill) {
    prefill_engines.clear();
  }
  EnginePick best;
  best.expected = base::Duration::max();
  for (const EngineHandle& engine : decode_engines) {
    EnginePick pick = EstimatePrefill(
        engine, prefill_engines.empty() ? placement : PrefixPlacement(), query);
    pick.expected += TieBreakJitter();
    if (pick.expected < best.expected &&
        (!PrefillStallsDecode(pick) || prefill_engines.empty())) {
      pick.runner = engine;
      best = pick;
    }
  }
  for (const EngineHandle& engine : prefill_engines) {
    EnginePick pick = EstimatePrefill(engine, placement, query);
    pick.expected += FromFineMillis(
        prefill_times_.HandoverMs(engine->entry.service) + least_loaded_ms);
    if (pick.expected < best.expected) {
      pick.runner = least_loaded;
      pick.prefill_engine = engine;
      best = pick;
    }
  }
  return best;
}

EnginePick EnginePicker::EstimatePrefill(const EngineHandle& engine,
                                         const PrefixPlacement& placement,
                                         const EnginePickQuery& query) const {
  const Prompt& prompt = query.prompt;
  const PrefillsAhead ahead = CountPrefills(*engine, query.priority, query.now);
  const double wait_ms = WaitMs(*engine, ahead, query.priority, query.now);
  EnginePick pick;
  pick.no_other_prefills = ahead.total() == 0;
  pick.prefill_tokens =
      placement.home ? prompt.OwnTokens() : prompt.TotalTokens();
  double prefill_ms = PrefillMs(*engine, pick.prefill_tokens);
  if (placement.holder && engine != placement.holder) {
    pick.fetch_from = placement.holder;
    prefill_ms += prefill_times_.FetchMs(engine->entry.service);
  }
  if (placement.home && engine != placement.home) {
    const std::int64_t shared = prompt.TotalTokens() - prompt.OwnTokens();
    prefill_ms += std::max(
        options_.remote_prefill_penalty * PrefillMs(*engine, shared),
        options_.remote_prefill_ms_per_token * static_cast<double>(shared));
  }
  pick.prefill_time = FromFineMillis(prefill_ms);
  pick.wait = FromFineMillis(wait_ms);
  pick.expected = FromFineMillis(wait_ms + prefill_ms + CrossZoneMs(*engine) +
                                 LoadMs(*engine, query.now));
  return pick;
}

// Less urgent prompts do not delay this one, except the one that is being
// prefilled, which the engine finishes first.
double EnginePicker::WaitMs(const Engine& engine,
                            const PrefillsAhead& ahead,
                            int priority,
                            base::Time now) const {
  double longest = 0;
  for (const auto& [other, queue] : engine.prefills) {
    if (other > priority) {
      break;
    }
    const double overdue =
        queue.due.empty() ? 0 : ToFineMillis(now - *queue.due.begin());
    const double decayed_wait =
        ToFineMillis(queue.last_wait) *
        std::exp(-ToFineMillis(now - queue.last_wait_at) /
                 ToFineMillis(options_.observed_wait_decay));
    longest = std::max({longest, overdue, decayed_wait});
  }
  const double current =
      std::min(static_cast<double>(ahead.less_urgent),
               prefill_times_.MeanRemainingTokens(engine.entry.service));
  const double tokens = static_cast<double>(ahead.as_urgent) + current;
  return std::max(longest, tokens / prefill_times_.TokensPerMs(engine) *
                               StageFactor(engine));
}

EnginePicker::PrefillsAhead EnginePicker::CountPrefills(const Engine& engine,
                                                        int priority,
                                                        base::Time now) const {
  PrefillsAhead ahead;
  if (peer_tokens_) {
    constexpr int kAll = std::numeric_limits<int>::max();
    ahead.as_urgent = peer_tokens_(engine, priority, now);
    ahead.less_urgent = peer_tokens_(engine, kAll, now) - ahead.as_urgent;
  }
  for (const auto& [other, queue] : engine.prefills) {
    (other > priority ? ahead.less_urgent : ahead.as_urgent) +=
        queue.prefill_tokens;
  }
  return ahead;
}

// The random part breaks ties, as TieBreakJitter() does.
EngineHandle EnginePicker::LeastLoaded(const std::vector<EngineHandle>& usable,
                                       base::Time now) const {
  EngineHandle best;
  double best_load = std::numeric_limits<double>::infinity();
  for (const EngineHandle& engine : usable) {
    const double load = (KnownLoad(*engine, now) + base::UniformReal(random_)) /
                            Capacity(*engine, now) +
                        CrossZoneMs(*engine) / 100;
    if (load < best_load) {
      best_load = load;
      best = engine;
    }
  }
  return best;
}

// Prefers targets that are healthy and in a reachable zone, then healthy ones,
// then any, so that a runner is found if there is one.
EnginePicker::UsableEngines EnginePicker::FindUsable(
    const std::vector<EngineHandle>& engines,
    const EnginePickQuery& query) const {
  // In a service with staged engines, an entry without a stage is no engine.
  const bool staged =
      !query.prompt.empty() && std::ranges::any_of(engines, IsStaged);
  std::vector<EngineHandle> available;
  std::ranges::copy_if(
      engines, std::back_inserter(available), [&](const EngineHandle& it) {
        return !it->entry.draining && (!staged || IsStaged(it)) &&
               HoldsAddress(*it, query.now) &&
               it->in_flight < query.max_in_flight &&
               std::ranges::find(query.tried, it->entry.id) ==
                   query.tried.end();
      });
  UsableEngines usable;
  usable.over_limit =
      static_cast<int>(std::erase_if(available, [&](const EngineHandle& it) {
        return may_send_ && !may_send_(*it, query.now);
      }));
  std::vector<EngineHandle> healthy;
  std::ranges::copy_if(
      available, std::back_inserter(healthy), [&](const EngineHandle& it) {
        return !it->health.IsAvoided(query.now) &&
               !(peers_avoid_engine_ && peers_avoid_engine_(*it, query.now));
      });
  std::vector<EngineHandle> reachable;
  std::ranges::copy_if(healthy, std::back_inserter(reachable),
                       [&](const EngineHandle& it) {
                         return !zone_unreachable_ ||
                                !zone_unreachable_(it->entry.zone, query.now);
                       });
  const auto has_runner = [](const std::vector<EngineHandle>& some) {
    return std::ranges::any_of(
        some, [](const EngineHandle& it) { return !IsPrefill(*it); });
  };
  if (has_runner(reachable)) {
    usable.engines = std::move(reachable);
  } else {
    usable.engines = std::move(has_runner(healthy) ? healthy : available);
  }
  return usable;
}

double EnginePicker::PrefillMs(const Engine& engine,
                               std::int64_t tokens) const {
  return tokens == 0
             ? 0
             : prefill_times_.PrefillMs(engine, tokens) * StageFactor(engine);
}

double EnginePicker::StageFactor(const Engine& engine) const noexcept {
  return IsPrefill(engine) ? 1 : options_.decode_prefill_factor;
}

base::Duration EnginePicker::TieBreakJitter() const {
  return FromFineMillis(options_.ms_per_request * base::UniformReal(random_));
}

double EnginePicker::Capacity(const Engine& engine, base::Time now) const {
  const double slots = std::max(engine.entry.slots, 1);
  return capacity_ ? std::clamp(capacity_(engine, now), 1.0, slots) : slots;
}

double EnginePicker::LoadMs(const Engine& engine, base::Time now) const {
  const double crowding = IsPrefill(engine) ? 1
                                            : std::max(engine.entry.slots, 1) /
                                                  Capacity(engine, now);
  return options_.ms_per_request * KnownLoad(engine, now) * crowding;
}

double EnginePicker::CrossZoneMs(const Engine& engine) const noexcept {
  return engine.entry.zone == options_.zone ? 0 : options_.cross_zone_ms;
}

}  // namespace lynxglade::request::passthrough
