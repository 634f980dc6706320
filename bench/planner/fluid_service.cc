#include "planner/fluid_service.h"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <utility>

namespace lynxglade::bench {

namespace {

using request::EngineRole;

constexpr double kEpsilon = 1e-9;
// Averaging period of the decode capacity of mixed engines, similar to the
// information that a router has from load reports.
constexpr double kCapacityAveragingSeconds = 2;
// Lower bound of the assumed decode capacity of a mixed engine.
constexpr double kMinDecodeCapacity = 0.05;

double Seconds(base::Duration d) {
  return std::chrono::duration<double>(d).count();
}

}  // namespace

FluidService::FluidService(const FluidOptions& options,
                           const std::vector<TraceItem>& trace)
    : options_(options), trace_(trace), counts_(options.initial) {}

Offered FluidService::Step(double seconds) {
  EndChange();
  const Offered offered = TakeArrivals(now_s_ + seconds);
  now_s_ += seconds;
  DropMissedDeadlines(&waiting_);
  DropMissedDeadlines(&decode_engines_.jobs);
  DropMissedDeadlines(&mixed_engines_.jobs);

  const process::EngineRates& rates = options_.rates;
  const double own_prefill =
      counts_.prefill * rates.prefill_tokens_per_s * seconds;
  const double prefill_total = std::accumulate(
      waiting_.begin(), waiting_.end(), 0.0,
      [](double sum, const Job& job) { return sum + job.prefill_left; });
  const double mixed_time = counts_.mixed * seconds;
  const double stream_budget = options_.per_stream_tokens_per_s * seconds;
  MixedShares parts;
  if (mixed_time > 0) {
    parts = DivideMixed(std::max(0.0, prefill_total - own_prefill) /
                            (mixed_time * rates.prefill_tokens_per_s),
                        DecodeDemand(mixed_engines_, stream_budget) /
                            (mixed_time * rates.decode_tokens_per_s));
  }
  Decode(&decode_engines_, counts_.decode * rates.decode_tokens_per_s * seconds,
         stream_budget);
  // A stream on a mixed engine stalls while the engine prefills.
  const double room = process::MixedDecodeCapacity(rates, parts.prefill);
  mixed_decode_capacity_ += (room - mixed_decode_capacity_) *
                            std::min(1.0, seconds / kCapacityAveragingSeconds);
  Decode(&mixed_engines_, parts.decode * mixed_time * rates.decode_tokens_per_s,
         stream_budget * room);
  Prefill(own_prefill +
          parts.prefill * mixed_time * rates.prefill_tokens_per_s);
  return offered;
}

void FluidService::StartChange(EngineRole from, EngineRole to) {
  --counts_.Of(from);
  change_to_ = to;
  change_ends_s_ = now_s_ + options_.out_of_service_s;
  ++changes_;
}

bool FluidService::idle() const noexcept {
  return next_ >= trace_.size() && waiting_.empty() &&
         decode_engines_.jobs.empty() && mixed_engines_.jobs.empty();
}

double FluidService::Goodput() const noexcept {
  return worth_offered_ > 0 ? worth_delivered_ / worth_offered_ : 0;
}

Offered FluidService::TakeArrivals(double until_s) {
  Offered offered;
  for (; next_ < trace_.size() && Seconds(trace_[next_].at) < until_s;
       ++next_) {
    const TraceItem& item = trace_[next_];
    if (item.kind != CallKind::kChat) {
      continue;
    }
    const double at_s = Seconds(item.at);
    const auto prompt = static_cast<double>(item.prompt.value());
    const auto output = static_cast<double>(item.output.value());
    waiting_.push_back({at_s, at_s + Seconds(item.deadline), item.worth.value(),
                        prompt, output, prompt});
    offered.prefill_tokens += prompt;
    offered.decode_tokens += output;
    offered.worth += item.worth.value();
  }
  worth_offered_ += offered.worth;
  return offered;
}

void FluidService::EndChange() {
  if (change_to_ && now_s_ >= change_ends_s_ - kEpsilon) {
    ++counts_.Of(*change_to_);
    change_to_.reset();
  }
  // Moves streams when the last engine of their kind is gone.
  const auto move_all = [](Pool* from, Pool* to) {
    std::ranges::move(from->jobs, std::back_inserter(to->jobs));
    from->jobs.clear();
  };
  if (counts_.decode == 0) {
    move_all(&decode_engines_, &mixed_engines_);
  } else if (counts_.mixed == 0) {
    move_all(&mixed_engines_, &decode_engines_);
  }
}

void FluidService::DropMissedDeadlines(std::deque<Job>* jobs) const {
  std::erase_if(*jobs, [&](const Job& job) {
    return now_s_ + job.decode_left / options_.per_stream_tokens_per_s >
           job.deadline_s + kEpsilon;
  });
}

FluidService::MixedShares FluidService::DivideMixed(double prefill_want,
                                                    double decode_want) const {
  const process::EngineRates& rates = options_.rates;
  const double both_prefill =
      rates.mixed_prefill_share * (1 - rates.mixed_penalty);
  const double prefill = std::min(prefill_want, both_prefill);
  const double decode =
      std::min(decode_want, process::MixedDecodeCapacity(rates, prefill));
  if (prefill_want <= both_prefill) {
    return {prefill, decode};
  }
  // Prefill takes what decode leaves, on the far side of the bend.
  const double both_decode = process::MixedDecodeCapacity(rates, both_prefill);
  const double free_part =
      1 - std::min(1.0, decode / both_decode) * (1 - both_prefill);
  return {std::min(prefill_want, free_part), decode};
}

void FluidService::Prefill(double budget) {
  while (budget > kEpsilon && !waiting_.empty()) {
    Job& job = waiting_.front();
    const double done = std::min(budget, job.prefill_left);
    budget -= done;
    job.prefill_left -= done;
    if (job.prefill_left > kEpsilon) {
      return;
    }
    StartDecode(std::move(job));
    waiting_.pop_front();
  }
}

void FluidService::StartDecode(Job job) {
  const auto backlog = [](const Pool& pool, double capacity) {
    return capacity <= 0 ? -1.0
                         : static_cast<double>(pool.jobs.size()) / capacity;
  };
  const double at_decode = backlog(decode_engines_, counts_.decode);
  const double at_mixed = backlog(
      mixed_engines_,
      counts_.mixed * std::max(kMinDecodeCapacity, mixed_decode_capacity_));
  const bool to_decode =
      at_decode >= 0 && (at_mixed < 0 || at_decode <= at_mixed);
  job.ready_s = now_s_;
  if (to_decode) {
    job.ready_s += job.prompt / options_.kv_tokens_per_s;
    decode_engines_.jobs.push_back(std::move(job));
  } else {
    mixed_engines_.jobs.push_back(std::move(job));
  }
}

double FluidService::DecodeDemand(const Pool& pool,
                                  double stream_budget) const {
  return std::accumulate(
      pool.jobs.begin(), pool.jobs.end(), 0.0, [&](double sum, const Job& job) {
        return sum + std::min(job.decode_left, stream_budget);
      });
}

void FluidService::Decode(Pool* pool, double budget, double stream_budget) {
  for (Job& job : pool->jobs) {
    if (budget <= kEpsilon) {
      break;
    }
    if (job.ready_s > now_s_) {
      continue;
    }
    const double done = std::min({budget, job.decode_left, stream_budget});
    budget -= done;
    job.decode_left -= done;
    if (job.decode_left <= kEpsilon && now_s_ <= job.deadline_s) {
      worth_delivered_ += job.worth;
    }
  }
  std::erase_if(pool->jobs,
                [](const Job& job) { return job.decode_left <= kEpsilon; });
}

}  // namespace lynxglade::bench
