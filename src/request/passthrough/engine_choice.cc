#include "request/passthrough/engine_choice.h"

#include <algorithm>
#include <limits>

#include "base/hash.h"

namespace lynxglade::request::passthrough {

namespace {

std::string MemoryKey(const Engine& engine, const std::string& part) {
  return engine.entry.id.str() + '/' + part;
}

bool IsPrefill(const Engine& engine) noexcept {
  return engine.entry.stage == EngineStage::kPrefill;
}

}  // namespace

EngineChoice::EngineChoice(EngineChoiceOptions options,
                           base::RandomSource random)
    : options_(std::move(options)), random_(std::move(random)) {}

EnginePick EngineChoice::Pick(const std::vector<EngineHandle>& engines,
                              const Prompt& prompt,
                              const std::vector<base::TargetId>& tried,
                              bool pairs,
                              base::Time now) {
  const std::vector<EngineHandle> usable = Usable(engines, tried, now);
  if (usable.empty()) {
    return {};
  }
  if (prompt.empty()) {
    return PickPlain(usable, now);
  }
  return PickForPrompt(usable, prompt, pairs, now);
}

EngineHandle EngineChoice::PickDecoder(const std::vector<EngineHandle>& engines,
                                       const Engine& reader,
                                       const std::vector<base::TargetId>& tried,
                                       base::Time now) const {
  std::vector<EngineHandle> near;
  std::vector<EngineHandle> any;
  for (const EngineHandle& engine : Usable(engines, tried, now)) {
    if (IsPrefill(*engine)) {
      continue;
    }
    any.push_back(engine);
    // A move between availability zones takes twice as long.
    if (engine->entry.zone == reader.entry.zone) {
      near.push_back(engine);
    }
  }
  return LeastLoaded(near.empty() ? any : near, now);
}

void EngineChoice::Remember(const Engine& engine,
                            const Prompt& prompt,
                            base::Time now) {
  const PromptPart* shared = prompt.Shared();
  if (!shared) {
    return;
  }
  if (remembered_.size() >= options_.max_remembered) {
    std::erase_if(remembered_, [&](const auto& row) {
      return now - row.second > options_.remembered;
    });
  }
  if (remembered_.size() < options_.max_remembered) {
    remembered_[MemoryKey(engine, shared->id)] = now;
  }
}

EnginePick EngineChoice::PickPlain(const std::vector<EngineHandle>& usable,
                                   base::Time now) {
  EnginePick pick;
  pick.runner = LeastLoaded(usable, now);
  return pick;
}

EnginePick EngineChoice::PickForPrompt(const std::vector<EngineHandle>& usable,
                                       const Prompt& prompt,
                                       bool pairs,
                                       base::Time now) {
  std::vector<EngineHandle> decoders;
  std::ranges::copy_if(usable, std::back_inserter(decoders),
                       [](const EngineHandle& it) { return !IsPrefill(*it); });
  const EngineHandle least = LeastLoaded(decoders, now);
  if (!least) {
    return {};
  }
  const double least_ms =
      options_.running_ms * Load(*least, now) + ZoneMs(*least);
  std::vector<EngineHandle> readers;
  if (pairs) {
    std::ranges::copy_if(usable, std::back_inserter(readers),
                         [](const EngineHandle& it) { return IsPrefill(*it); });
  }
  const PromptPart* shared = prompt.Shared();
  const Engine* home =
      shared ? Home(readers.empty() ? decoders : readers, shared->id) : nullptr;
  EnginePick best;
  best.expected_ms = std::numeric_limits<double>::infinity();
  for (const EngineHandle& engine : decoders) {
    const std::int64_t unread = UnreadTokens(*engine, home, prompt, now);
    const double ms = ReadMs(*engine, unread, now);
    const bool disturbs = unread > options_.most_read_at_decoder;
    if (ms < best.expected_ms && (!disturbs || readers.empty())) {
      best = {engine, nullptr, unread, ms};
    }
  }
  for (const EngineHandle& engine : readers) {
    const std::int64_t unread = UnreadTokens(*engine, home, prompt, now);
    const double ms =
        ReadMs(*engine, unread, now) + options_.handoff_ms + least_ms;
    if (ms < best.expected_ms) {
      best = {least, engine, unread, ms};
    }
  }
  return best;
}

double EngineChoice::ReadMs(const Engine& engine,
                            std::int64_t unread,
                            base::Time now) const noexcept {
  return static_cast<double>(engine.unread_tokens + unread) / ReadRate(engine) +
         options_.running_ms * Load(engine, now) + ZoneMs(engine);
}

// Of two engines that look alike either may be taken, so that instances with
// the same picture do not all choose the same one.
EngineHandle EngineChoice::LeastLoaded(const std::vector<EngineHandle>& usable,
                                       base::Time now) const {
  EngineHandle best;
  double best_load = std::numeric_limits<double>::infinity();
  for (const EngineHandle& engine : usable) {
    const double load = (Load(*engine, now) + base::UniformReal(random_)) /
                            std::max(engine->entry.slots, 1) +
                        ZoneMs(*engine) / 100;
    if (load < best_load) {
      best_load = load;
      best = engine;
    }
  }
  return best;
}

// Targets that failed lately are left out while others remain.
std::vector<EngineHandle> EngineChoice::Usable(
    const std::vector<EngineHandle>& engines,
    const std::vector<base::TargetId>& tried,
    base::Time now) const {
  std::vector<EngineHandle> open;
  std::ranges::copy_if(
      engines, std::back_inserter(open), [&](const EngineHandle& it) {
        return !it->entry.draining &&
               std::ranges::find(tried, it->entry.id) == tried.end();
      });
  std::vector<EngineHandle> sound;
  std::ranges::copy_if(
      open, std::back_inserter(sound),
      [&](const EngineHandle& it) { return it->avoid_until <= now; });
  const bool any_runner = std::ranges::any_of(
      sound, [](const EngineHandle& it) { return !IsPrefill(*it); });
  return any_runner ? sound : open;
}

const Engine* EngineChoice::Home(const std::vector<EngineHandle>& engines,
                                 const std::string& part) const {
  const auto it =
      std::ranges::max_element(engines, {}, [&](const EngineHandle& engine) {
        return base::HashPair(engine->entry.id.str(), part);
      });
  return it == engines.end() ? nullptr : it->get();
}

double EngineChoice::ReadRate(const Engine& engine) const noexcept {
  return options_.prefill_tokens_per_ms *
         (IsPrefill(engine) ? 1 : options_.decode_read_factor);
}

double EngineChoice::ZoneMs(const Engine& engine) const noexcept {
  return engine.entry.zone == options_.zone ? 0 : options_.other_zone_ms;
}

double EngineChoice::Load(const Engine& engine, base::Time now) const noexcept {
  const bool fresh = now - engine.reported_at <= options_.report_lifetime;
  const int reported =
      fresh ? engine.reported.running + engine.reported.waiting : 0;
  return std::max(engine.in_flight, reported);
}

std::int64_t EngineChoice::UnreadTokens(const Engine& engine,
                                        const Engine* home,
                                        const Prompt& prompt,
                                        base::Time now) const {
  const PromptPart* shared = prompt.Shared();
  if (!shared) {
    return prompt.TotalTokens();
  }
  const auto it = remembered_.find(MemoryKey(engine, shared->id));
  const bool sent_lately =
      it != remembered_.end() && now - it->second <= options_.remembered;
  return &engine == home || sent_lately ? prompt.OwnTokens()
                                        : prompt.TotalTokens();
}

}  // namespace lynxglade::request::passthrough
