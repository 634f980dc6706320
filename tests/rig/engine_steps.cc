// Slots, steps and the prefix cache of an engine of the rig.
#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "connection/event/sleep.h"
#include "rig/engine.h"
#include "rig/engine_run.h"

namespace lynxglade::rig {

namespace {

using connection::event::Awaitable;
using connection::event::SleepFor;
namespace asio = connection::event::asio;

constexpr base::Duration kIdlePoll = std::chrono::milliseconds(1);
// A step that ended later than this ago does not shorten the next ones.
constexpr base::Duration kMaxStepLag = std::chrono::milliseconds(50);
// A decode engine prefills at half the speed, in pieces of a quarter.
constexpr double kDecodePrefillSlowness = 2;
constexpr std::int64_t kDecodeChunkDivisor = 4;
constexpr double kStepMsPerThousandTokens = 0.00138;

}  // namespace

void Engine::FillSlots() {
  std::ranges::stable_sort(queue_, {},
                           [](const RunHandle& it) { return it->priority; });
  while (!queue_.empty() &&
         running_.size() < static_cast<std::size_t>(settings_.slots)) {
    const RunHandle run = queue_.front();
    if (settings_.is_model &&
        RunningTokens() + run->tokens() + run->tokens_to_generate >
            settings_.kv_tokens) {
      return;
    }
    queue_.erase(queue_.begin());
    running_.push_back(run);
    if (settings_.is_model) {
      MakeRoom(run->tokens() + run->tokens_to_generate);
      continue;
    }
    run->began = true;
    if (Crashes(*run)) {
      WriteEnd(*run, "crashed");
      crash_();
    }
  }
}

bool Engine::Crashes(const Run& run) const {
  const bool by_body =
      !settings_.crashing_body.empty() &&
      run.body.find(settings_.crashing_body) != std::string::npos;
  const auto crashes = [this](const auto& part) {
    return part.first.starts_with(settings_.crashing_part);
  };
  const bool by_part =
      !settings_.crashing_part.empty() && !run.parts.empty() &&
      std::any_of(run.parts.begin(), run.parts.end() - 1, crashes);
  return by_body || by_part;
}

void Engine::Drop(const RunHandle& run) {
  std::erase(queue_, run);
  std::erase(running_, run);
  FillSlots();
}

Awaitable<void> Engine::RunSteps() {
  base::Time due = clock_();
  while (true) {
    base::Duration took = Step();
    if (took == base::Duration::zero()) {
      co_await SleepFor(loop_, kIdlePoll);
      due = clock_();
      continue;
    }
    // Steps are timed from the end of the one before, so that late timers do
    // not slow the engine down.
    due = std::max(due + took, clock_() - kMaxStepLag);
    if (due > clock_()) {
      co_await SleepFor(loop_, due - clock_());
    }
  }
}

base::Duration Engine::Step() {
  const base::Time now = clock_();
  for (const auto* runs : {&queue_, &running_}) {
    for (const RunHandle& it : *runs) {
      if (!it->expired && now > it->deadline) {
        it->expired = true;
        it->changed.cancel();
      }
    }
  }
  double ms = PrefillChunk();
  std::size_t generating = 0;
  for (const RunHandle& it : running_) {
    if (it->prefilled() && !it->prefill_only && !it->done && !it->left) {
      Generate(*it);
      ++generating;
    }
  }
  if (generating > 0) {
    ms +=
        settings_.step_ms +
        settings_.step_ms_per_run * static_cast<double>(generating) +
        kStepMsPerThousandTokens * static_cast<double>(RunningTokens()) / 1000;
  }
  return ms > 0 ? Scaled(ms) : base::Duration::zero();
}

double Engine::PrefillChunk() {
  RunHandle next;
  for (const RunHandle& it : running_) {
    if (!it->prefilled() && !it->left && !it->expired &&
        (!next || it->priority < next->priority)) {
      next = it;
    }
  }
  if (!next) {
    return 0;
  }
  double ms = 0;
  if (!next->cache_used) {
    next->cache_used = true;
    UseCache(*next);
    ms += next->fetches_parts ? settings_.fetch_ms : 0;
  }
  const std::int64_t chunk =
      std::min(next->tokens_to_prefill,
               prefills_ ? settings_.chunk_tokens
                         : settings_.chunk_tokens / kDecodeChunkDivisor);
  next->tokens_to_prefill -= chunk;
  ms += static_cast<double>(chunk) / settings_.prefill_tokens_per_ms *
        (prefills_ ? 1 : kDecodePrefillSlowness);
  if (next->prefilled()) {
    ms += settings_.first_ms;
    KeepParts(*next);
    if (next->prefill_only) {
      // The answer is sent when the chunk has been read.
      next->done = true;
      asio::co_spawn(loop_, Announce(next, Scaled(ms)), asio::detached);
    }
  }
  return ms;
}

Awaitable<void> Engine::Announce(RunHandle run, base::Duration wait) {
  co_await SleepFor(loop_, wait);
  run->changed.cancel();
}

void Engine::Generate(Run& run) {
  if (!run.began) {
    run.began = true;
    if (Crashes(run)) {
      WriteEnd(run, "crashed");
      crash_();
      return;
    }
    WriteEnd(run, "ran");
  }
  // It goes on after the last event.
  if (run.generated >= run.tokens_to_generate) {
    run.done = true;
    run.changed.cancel();
    return;
  }
  ++run.generated;
  run.done = run.generated >= run.tokens_to_generate;
  if (run.done || run.generated == 1 ||
      run.generated % settings_.tokens_per_event == 0) {
    ++run.events;
    run.changed.cancel();
  }
}

void Engine::UseCache(Run& run) {
  for (const auto& [id, tokens] : run.parts) {
    const auto it = std::ranges::find(
        cache_, id, [](const auto& part) { return part.first; });
    // The last part belongs to the request itself.
    const bool fetched = run.fetches_parts && id != run.parts.back().first;
    if (it == cache_.end() && !fetched) {
      break;
    }
    run.tokens_to_prefill -= tokens;
    if (it != cache_.end()) {
      cache_.splice(cache_.begin(), cache_, it);
    }
  }
  // The end of a prompt is always read.
  run.tokens_to_prefill = std::max<std::int64_t>(run.tokens_to_prefill, 1);
}

void Engine::KeepParts(const Run& run) {
  for (std::size_t i = 0; i + 1 < run.parts.size(); ++i) {
    const auto& part = run.parts[i];
    if (std::ranges::find(cache_, part.first, [](const auto& it) {
          return it.first;
        }) == cache_.end()) {
      MakeRoom(part.second);
      cache_.push_front(part);
      cached_tokens_ += part.second;
    }
  }
}

void Engine::MakeRoom(std::int64_t tokens) {
  while (!cache_.empty() &&
         cached_tokens_ + RunningTokens() + tokens > settings_.kv_tokens) {
    cached_tokens_ -= cache_.back().second;
    cache_.pop_back();
  }
}

std::int64_t Engine::RunningTokens() const {
  std::int64_t tokens = 0;
  for (const RunHandle& it : running_) {
    tokens += it->tokens();
  }
  return tokens;
}

}  // namespace lynxglade::rig
