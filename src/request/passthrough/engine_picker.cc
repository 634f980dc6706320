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
                           ZoneUnreachable cut_off,
                           PeersAvoidEngine peers_avoid,
                           EngineCapacity capacity)
    : options_(std::move(options)),
      prefill_times_(prefill_times),
      random_(std::move(random)),
      peer_tokens_(std::move(peer_tokens)),
      cut_off_(std::move(cut_off)),
      peers_avoid_(std::move(peers_avoid)),
      capacity_(std::move(capacity)) {}

EnginePick EnginePicker::Pick(const std::vector<EngineHandle>& engines,
                              const EnginePickQuery& query) const {
  const std::vector<EngineHandle> usable = Usable(engines, query);
  if (usable.empty()) {
    return {};
  }
  if (query.prompt.empty()) {
    return PickPlain(usable, query.now);
  }
  return PickForPrompt(engines, usable, query);
}

base::Duration EnginePicker::Backlog(const std::vector<EngineHandle>& engines,
                                     base::Time now) const {
  int readers = 0;
  double ms = 0;
  for (const EngineHandle& engine : engines) {
    if (IsPrefill(*engine) && !engine->entry.draining) {
      ++readers;
      ms += static_cast<double>(CountReads(*engine, 0, now).total()) /
            prefill_times_.TokensPerMs(*engine);
    }
  }
  return readers == 0 ? base::Duration::max() : FromFineMillis(ms / readers);
}

bool EnginePicker::Disturbs(const EnginePick& pick) const noexcept {
  return !pick.reader && pick.prefill_tokens > options_.most_read_at_decoder;
}

EngineHandle EnginePicker::PickDecoder(const std::vector<EngineHandle>& engines,
                                       const Engine& reader,
                                       const EnginePickQuery& query) const {
  std::vector<EngineHandle> near;
  std::vector<EngineHandle> any;
  for (const EngineHandle& engine : Usable(engines, query)) {
    if (IsPrefill(*engine)) {
      continue;
    }
    any.push_back(engine);
    // A move between availability zones takes twice as long.
    if (engine->entry.zone == reader.entry.zone) {
      near.push_back(engine);
    }
  }
  return LeastLoaded(near.empty() ? any : near, query.now);
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
  std::vector<EngineHandle> decoders;
  std::ranges::copy_if(usable, std::back_inserter(decoders),
                       [](const EngineHandle& it) { return !IsPrefill(*it); });
  const EngineHandle least = LeastLoaded(decoders, now);
  if (!least) {
    return {};
  }
  const double least_ms = RunningMs(*least, now) + ZoneMs(*least);
  std::vector<EngineHandle> readers;
  std::ranges::copy_if(usable, std::back_inserter(readers),
                       [](const EngineHandle& it) { return IsPrefill(*it); });
  const PrefixPlacement places =
      FindPrefixPlacement(readers.empty() ? decoders : readers, engines,
                          query.prompt, options_.settling, now);
  if (!query.pairs) {
    readers.clear();
  }
  EnginePick best;
  best.expected = base::Duration::max();
  for (const EngineHandle& engine : decoders) {
    EnginePick pick =
        Reading(engine, readers.empty() ? places : PrefixPlacement(), query);
    pick.expected += AlikeSpread();
    if (pick.expected < best.expected && (!Disturbs(pick) || readers.empty())) {
      pick.runner = engine;
      best = pick;
    }
  }
  for (const EngineHandle& engine : readers) {
    EnginePick pick = Reading(engine, places, query);
    pick.expected += FromFineMillis(
        prefill_times_.HandoverMs(engine->entry.service) + least_ms);
    if (pick.expected < best.expected) {
      pick.runner = least;
      pick.reader = engine;
      best = pick;
    }
  }
  return best;
}

EnginePick EnginePicker::Reading(const EngineHandle& engine,
                                 const PrefixPlacement& places,
                                 const EnginePickQuery& query) const {
  const Prompt& prompt = query.prompt;
  const ReadsAhead ahead = CountReads(*engine, query.priority, query.now);
  const double wait_ms = WaitMs(*engine, ahead, query.priority, query.now);
  EnginePick pick;
  pick.alone = ahead.total() == 0;
  pick.prefill_tokens = places.home ? prompt.OwnTokens() : prompt.TotalTokens();
  double read_ms = PrefillMs(*engine, pick.prefill_tokens);
  if (places.holder && engine != places.holder) {
    pick.fetch_from = places.holder;
    read_ms += prefill_times_.FetchMs(engine->entry.service);
  }
  if (places.home && engine != places.home) {
    const std::int64_t shared = prompt.TotalTokens() - prompt.OwnTokens();
    read_ms +=
        std::max(options_.away_from_home * PrefillMs(*engine, shared),
                 options_.away_ms_per_token * static_cast<double>(shared));
  }
  pick.read_time = FromFineMillis(read_ms);
  pick.wait = FromFineMillis(wait_ms);
  pick.expected = FromFineMillis(wait_ms + read_ms + ZoneMs(*engine) +
                                 RunningMs(*engine, query.now));
  return pick;
}

// What waits behind this request does not count, but for the prompt that is
// being read: its reading ends first.
double EnginePicker::WaitMs(const Engine& engine,
                            const ReadsAhead& ahead,
                            int priority,
                            base::Time now) const {
  double longest = 0;
  for (const auto& [other, queue] : engine.reads) {
    if (other > priority) {
      break;
    }
    const double overdue =
        queue.due.empty() ? 0 : ToFineMillis(now - *queue.due.begin());
    const double met = ToFineMillis(queue.waited) *
                       std::exp(-ToFineMillis(now - queue.waited_at) /
                                ToFineMillis(options_.wait_life));
    longest = std::max({longest, overdue, met});
  }
  const double begun =
      std::min(static_cast<double>(ahead.less_urgent),
               prefill_times_.MeanRemainingTokens(engine.entry.service));
  const double tokens = static_cast<double>(ahead.before) + begun;
  return std::max(longest, tokens / prefill_times_.TokensPerMs(engine) *
                               StageFactor(engine));
}

EnginePicker::ReadsAhead EnginePicker::CountReads(const Engine& engine,
                                                  int priority,
                                                  base::Time now) const {
  ReadsAhead ahead;
  if (peer_tokens_) {
    constexpr int kAll = std::numeric_limits<int>::max();
    ahead.before = peer_tokens_(engine, priority, now);
    ahead.less_urgent = peer_tokens_(engine, kAll, now) - ahead.before;
  }
  for (const auto& [other, queue] : engine.reads) {
    (other > priority ? ahead.less_urgent : ahead.before) +=
        queue.prefill_tokens;
  }
  return ahead;
}

// As in AlikeSpread(), in requests.
EngineHandle EnginePicker::LeastLoaded(const std::vector<EngineHandle>& usable,
                                       base::Time now) const {
  EngineHandle best;
  double best_load = std::numeric_limits<double>::infinity();
  for (const EngineHandle& engine : usable) {
    const double load = (KnownLoad(*engine, now) + base::UniformReal(random_)) /
                            Capacity(*engine, now) +
                        ZoneMs(*engine) / 100;
    if (load < best_load) {
      best_load = load;
      best = engine;
    }
  }
  return best;
}

// Targets of zones that cannot be reached are left out while others remain, and
// so are those that failed lately, here or at other instances.
std::vector<EngineHandle> EnginePicker::Usable(
    const std::vector<EngineHandle>& engines,
    const EnginePickQuery& query) const {
  // An entry without a stage among engines that have one is not an engine's.
  const bool staged =
      !query.prompt.empty() && std::ranges::any_of(engines, IsStaged);
  std::vector<EngineHandle> open;
  std::ranges::copy_if(
      engines, std::back_inserter(open), [&](const EngineHandle& it) {
        return !it->entry.draining && (!staged || IsStaged(it)) &&
               it->misdirected_until <= query.now &&
               it->in_flight < query.most_in_flight &&
               std::ranges::find(query.tried, it->entry.id) ==
                   query.tried.end();
      });
  std::vector<EngineHandle> sound;
  std::ranges::copy_if(open, std::back_inserter(sound),
                       [&](const EngineHandle& it) {
                         return !it->health.Avoided(query.now) &&
                                !(peers_avoid_ && peers_avoid_(*it, query.now));
                       });
  std::vector<EngineHandle> reached;
  std::ranges::copy_if(
      sound, std::back_inserter(reached), [&](const EngineHandle& it) {
        return !cut_off_ || !cut_off_(it->entry.zone, query.now);
      });
  const auto has_runner = [](const std::vector<EngineHandle>& some) {
    return std::ranges::any_of(
        some, [](const EngineHandle& it) { return !IsPrefill(*it); });
  };
  if (has_runner(reached)) {
    return reached;
  }
  return has_runner(sound) ? sound : open;
}

double EnginePicker::PrefillMs(const Engine& engine,
                               std::int64_t tokens) const {
  return tokens == 0
             ? 0
             : prefill_times_.PrefillMs(engine, tokens) * StageFactor(engine);
}

double EnginePicker::StageFactor(const Engine& engine) const noexcept {
  return IsPrefill(engine) ? 1 : options_.decode_read_factor;
}

base::Duration EnginePicker::AlikeSpread() const {
  return FromFineMillis(options_.running_ms * base::UniformReal(random_));
}

double EnginePicker::Capacity(const Engine& engine, base::Time now) const {
  const double slots = std::max(engine.entry.slots, 1);
  return capacity_ ? std::clamp(capacity_(engine, now), 1.0, slots) : slots;
}

double EnginePicker::RunningMs(const Engine& engine, base::Time now) const {
  const double crowding = IsPrefill(engine) ? 1
                                            : std::max(engine.entry.slots, 1) /
                                                  Capacity(engine, now);
  return options_.running_ms * KnownLoad(engine, now) * crowding;
}

double EnginePicker::ZoneMs(const Engine& engine) const noexcept {
  return engine.entry.zone == options_.zone ? 0 : options_.other_zone_ms;
}

}  // namespace lynxglade::request::passthrough
