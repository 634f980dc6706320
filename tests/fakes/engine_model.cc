#include "fakes/engine_model.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>
#include <utility>

namespace lynxglade::fakes {

namespace {

// Maximum step over which the batch is assumed constant.
constexpr double kStepSeconds = 0.002;
constexpr double kEpsilon = 1e-9;

using request::EngineRole;

}  // namespace

EngineModel::EngineModel(EngineRates rates, EngineLimits limits)
    : rates_(rates), limits_(limits), cache_(limits.cache) {}

std::optional<RunId> EngineModel::Add(RunSpec spec) {
  if (Counts().waiting >= limits_.queue) {
    return std::nullopt;
  }
  const RunId id(next_id_++);
  const Order order(spec.priority, id);
  Run run;
  run.generated = spec.resume_from;
  run.spec = std::move(spec);
  runs_.emplace(order, std::move(run));
  order_.emplace(id, order);
  AdmitWaiting();
  return id;
}

void EngineModel::Remove(RunId id) {
  if (const auto it = order_.find(id); it != order_.end()) {
    runs_.erase(it->second);
    order_.erase(it);
  }
}

std::vector<RunId> EngineModel::Advance(base::Duration elapsed) {
  double remaining = std::chrono::duration<double>(elapsed).count();
  while (remaining > kEpsilon && !runs_.empty()) {
    const double step = std::min(remaining, kStepSeconds);
    Step(step);
    remaining -= step;
  }
  std::vector<RunId> progressed;
  for (auto& [order, run] : runs_) {
    if (std::exchange(run.progressed, false)) {
      progressed.push_back(order.second);
    }
  }
  return progressed;
}

void EngineModel::Reset() {
  runs_.clear();
  order_.clear();
  cache_.Clear();
}

RunProgress EngineModel::Progress(RunId id) const {
  const auto it = order_.find(id);
  if (it == order_.end()) {
    return {RunPhase::kDone, 0, base::Tokens(0)};
  }
  const Run& run = runs_.at(it->second);
  return {run.phase, run.generated, run.cached};
}

EngineCounts EngineModel::Counts() const {
  EngineCounts counts;
  for (const auto& [order, run] : runs_) {
    if (run.phase == RunPhase::kWaiting) {
      ++counts.waiting;
      counts.queued_prefill += run.spec.prompt_tokens;
      continue;
    }
    if (run.phase == RunPhase::kDone) {
      continue;
    }
    ++counts.running;
    counts.running_decode += base::Tokens(run.spec.max_tokens - run.generated);
    if (run.phase == RunPhase::kPrefill) {
      counts.queued_prefill += base::Tokens(std::llround(run.remaining));
    }
  }
  counts.kv_used = KvReserved() + cache_.used();
  return counts;
}

void EngineModel::Step(double seconds) {
  AdmitWaiting();
  Transfer(seconds);
  const bool prefilling = HasPhase(RunPhase::kPrefill);
  const bool decoding = HasPhase(RunPhase::kDecode);
  const bool mixed = prefilling && decoding;
  const double work =
      (mixed ? 1 - rates_.mix_penalty : 1) / std::max(slowness_, kEpsilon);
  const double share =
      mixed ? rates_.prefill_share : static_cast<double>(prefilling);
  const double prefill_rate =
      rates_.prefill * (role_ == EngineRole::kDecode ? rates_.off_role : 1);
  const double decode_rate =
      rates_.decode * (role_ == EngineRole::kPrefill ? rates_.off_role : 1);
  const double unused = Prefill(seconds * share * work, prefill_rate);
  Decode(seconds * (1 - share) * work + unused, decode_rate);
}

void EngineModel::AdmitWaiting() {
  const auto is_running = [](const auto& it) {
    return it.second.phase != RunPhase::kWaiting &&
           it.second.phase != RunPhase::kDone;
  };
  auto running = std::ranges::count_if(runs_, is_running);
  base::Tokens reserved = KvReserved();
  for (auto& [order, run] : runs_) {
    if (run.phase != RunPhase::kWaiting) {
      continue;
    }
    reserved += KvNeeded(run);
    // A request that exceeds the KV cache runs alone instead of waiting
    // forever.
    if (running >= limits_.batch || (reserved > limits_.kv && running > 0)) {
      return;
    }
    Admit(run);
    ++running;
  }
}

void EngineModel::Admit(Run& run) {
  const RunSpec& spec = run.spec;
  const auto prompt = static_cast<double>(spec.prompt_tokens.value());
  run.progressed = true;
  if (spec.imports_kv) {
    run.phase = RunPhase::kTransfer;
    run.remaining = prompt;
    return;
  }
  run.cached = cache_.Lookup(spec.prefix_hint, spec.prompt);
  run.phase = RunPhase::kPrefill;
  // The earlier tokens of a resumed response are prefilled too.
  run.remaining = prompt - static_cast<double>(run.cached.value()) +
                  static_cast<double>(spec.resume_from);
}

void EngineModel::Transfer(double seconds) {
  for (auto& [order, run] : runs_) {
    if (run.phase != RunPhase::kTransfer) {
      continue;
    }
    run.remaining -=
        rates_.kv_transfer * seconds / std::max(slowness_, kEpsilon);
    if (run.remaining <= kEpsilon) {
      StartDecode(run);
    }
  }
}

double EngineModel::Prefill(double seconds, double rate) {
  double budget = seconds * rate;
  for (auto& [order, run] : runs_) {
    if (run.phase != RunPhase::kPrefill) {
      continue;
    }
    const double done = std::min(budget, run.remaining);
    budget -= done;
    run.remaining -= done;
    if (run.remaining > kEpsilon) {
      break;
    }
    cache_.Store(run.spec.prefix_hint, run.spec.prompt);
    StartDecode(run);
    // The forward pass that completes the prefill produces the first token.
    Generate(run, 1);
  }
  return rate > 0 ? budget / rate : 0;
}

void EngineModel::Decode(double seconds, double rate) {
  const auto streams = std::ranges::count_if(runs_, [](const auto& it) {
    return it.second.phase == RunPhase::kDecode;
  });
  if (streams == 0) {
    return;
  }
  const double per_stream =
      std::min(rates_.per_stream, rate / static_cast<double>(streams));
  for (auto& [order, run] : runs_) {
    if (run.phase != RunPhase::kDecode) {
      continue;
    }
    run.credit += per_stream * seconds;
    const double whole = std::floor(run.credit + kEpsilon);
    run.credit -= whole;
    Generate(run, static_cast<std::int64_t>(whole));
  }
}

void EngineModel::Generate(Run& run, std::int64_t tokens) {
  const std::int64_t before = run.generated;
  run.generated = std::min(run.spec.max_tokens, before + tokens);
  run.progressed = run.progressed || run.generated != before;
  if (run.generated == run.spec.max_tokens) {
    run.phase = RunPhase::kDone;
    run.progressed = true;
  }
}

void EngineModel::StartDecode(Run& run) {
  run.phase = RunPhase::kDecode;
  run.remaining = 0;
  Generate(run, 0);
}

bool EngineModel::HasPhase(RunPhase phase) const {
  return std::ranges::any_of(
      runs_, [phase](const auto& it) { return it.second.phase == phase; });
}

base::Tokens EngineModel::KvNeeded(const Run& run) const {
  return run.spec.prompt_tokens + base::Tokens(run.spec.max_tokens);
}

base::Tokens EngineModel::KvReserved() const {
  return std::accumulate(runs_.begin(), runs_.end(), base::Tokens(0),
                         [this](base::Tokens sum, const auto& it) {
                           const Run& run = it.second;
                           return run.phase == RunPhase::kWaiting ||
                                          run.phase == RunPhase::kDone
                                      ? sum
                                      : sum + KvNeeded(run);
                         });
}

}  // namespace lynxglade::fakes
