#include "bench/sizes/size_fleet.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <iterator>
#include <memory>

#include "base/random.h"
#include "bench/sizes/fleet_traffic.h"
#include "request/passthrough/answer_admission.h"
#include "request/passthrough/engine_table.h"
#include "request/passthrough/forecast_errors.h"
#include "request/passthrough/generation_times.h"
#include "request/passthrough/latency_admission.h"
#include "request/passthrough/prefill_times.h"
#include "request/passthrough/served_shares.h"

namespace lynxglade::bench {

namespace {

using namespace request::passthrough;
using std::chrono::milliseconds;

const base::ServiceName kService("llm");
constexpr milliseconds kTick{10};
constexpr base::Duration kSharePeriod = std::chrono::seconds(1);
constexpr std::size_t kMaxReceivers = 16;
constexpr base::Duration kFirstByteTimeout = std::chrono::seconds(2);
constexpr double kFirstMs = 16;
constexpr double kHandoverMs = 20;
constexpr int kTokensPerEvent = 9;

// What an instance knows and has learned.
struct Instance {
  Instance(std::size_t engines, std::uint64_t seed)
      : answers(times, base::SeededRandom(seed)),
        shares(base::SeededRandom(seed + 1)),
        engines(engines) {}

  GenerationTimes times;
  AnswerAdmission answers;
  PrefillTimes prefills;
  ForecastErrors errors;
  ServedShares shares;
  // Its view of the engines that generate, then of those that prefill.
  std::vector<Engine> engines;
};

struct PrefillEngine {
  std::deque<JobHandle> queue;
  // Of the first in the queue.
  double ms_left = 0;
  base::Time began{};
  bool alone = false;

  // Tokens of jobs that are as urgent, and of the one that is prefilled.
  double Backlog(int priority) const {
    double tokens = 0;
    for (const JobHandle& it : queue) {
      if (it->priority <= priority || it == queue.front()) {
        tokens += it->prefill_tokens;
      }
    }
    return tokens;
  }
  void Push(const JobHandle& job) {
    auto it = queue.empty() ? queue.begin() : std::next(queue.begin());
    it = std::find_if(it, queue.end(), [&](const JobHandle& other) {
      return other->priority > job->priority;
    });
    queue.insert(it, job);
  }
};

struct DecodeEngine {
  std::vector<JobHandle> running;
  std::deque<JobHandle> waiting;
};

class Fleet {
 public:
  explicit Fleet(const SizeFleetSettings& settings)
      : settings_(settings),
        traffic_(settings),
        random_(base::SeededRandom(settings.seed + 1)),
        prefill_engines_(static_cast<std::size_t>(settings.prefill_engines)),
        decode_engines_(static_cast<std::size_t>(settings.decode_engines)) {
    const std::size_t engines =
        prefill_engines_.size() + decode_engines_.size();
    for (int i = 0; i < settings.instances; ++i) {
      instances_.push_back(std::make_unique<Instance>(
          engines, 1000 * settings.seed + 2 * static_cast<std::uint64_t>(i)));
      for (Engine& it : instances_.back()->engines) {
        it.entry.service = kService;
        it.entry.slots = settings.slots;
      }
    }
  }

  SizeFleetResult Run() {
    const base::Time end = now_ + settings_.length;
    while (now_ < end) {
      now_ += kTick;
      ShareCounts();
      for (const JobHandle& it : traffic_.Arrivals(now_, kTick)) {
        Arrive(it);
      }
      for (PrefillEngine& it : prefill_engines_) {
        Prefill(it);
      }
      for (std::size_t i = 0; i < decode_engines_.size(); ++i) {
        Generate(i);
      }
    }
    return Summarise(settings_.kinds, traffic_.jobs(), now_);
  }

 private:
  // Each instance tells some others what it has served.
  void ShareCounts() {
    if (now_ - shared_at_ < kSharePeriod) {
      return;
    }
    shared_at_ = now_;
    const std::size_t n = instances_.size();
    for (std::size_t i = 0; i < n; ++i) {
      const base::InstanceId from("i" + std::to_string(i));
      const auto own = instances_[i]->shares.Own(now_);
      for (std::size_t k = 1; k <= std::min(n - 1, kMaxReceivers); ++k) {
        const std::size_t to =
            n <= kMaxReceivers + 1
                ? (i + k) % n
                : (i + 1 + base::UniformBelow(random_, n - 1)) % n;
        instances_[to]->shares.Put(from, own, now_);
      }
    }
  }

  Engine& DecodeView(Instance& instance, std::size_t i) {
    Engine& view = instance.engines[i];
    const DecodeEngine& it = decode_engines_[i];
    view.reported = {.running = static_cast<int>(it.running.size()),
                     .waiting = static_cast<int>(it.waiting.size()),
                     .slots = settings_.slots};
    view.reported_at = now_;
    return view;
  }

  std::int64_t StatedSize(const Job& job) const {
    return RequestSize(std::llround(job.prompt_tokens), job.expected_tokens);
  }

  void Arrive(const JobHandle& job) {
    Instance& instance = *instances_[job->instance];
    const SizedKind& kind = settings_.kinds[job->kind];
    const ShareStanding standing =
        settings_.by_size ? instance.shares.Classify(kService, kind.name,
                                                     StatedSize(*job), now_)
                          : ShareStanding();
    if (standing.guaranteed) {
      job->priority = 0;
    }
    // The least loaded engines, as the picker would choose them.
    std::size_t prefill = 0;
    for (std::size_t i = 1; i < prefill_engines_.size(); ++i) {
      if (prefill_engines_[i].Backlog(job->priority) <
          prefill_engines_[prefill].Backlog(job->priority)) {
        prefill = i;
      }
    }
    const std::size_t decode = LeastLoaded();
    Engine& prefill_view = instance.engines[decode_engines_.size() + prefill];
    const double wait_ms = prefill_engines_[prefill].Backlog(job->priority) /
                           instance.prefills.TokensPerMs(prefill_view);
    const double prefill_ms = instance.prefills.PrefillMs(
        prefill_view, std::llround(job->prefill_tokens));
    const double expected_ms = wait_ms + prefill_ms + kHandoverMs;
    const LatencyForecast forecast{
        base::FromFineMillis(wait_ms),
        base::FromFineMillis(
            instance.errors.Factor(kService, job->priority, now_) *
            expected_ms)};
    const bool hopeless = ExceedsCallerTimeout(forecast, kFirstByteTimeout,
                                               LatencyAdmissionOptions(),
                                               standing.capacity_fraction);
    const bool admitted =
        !hopeless &&
        instance.answers.Admit(DecodeView(instance, decode), kind.name,
                               {.expected_tokens = job->expected_tokens,
                                .max_tokens = job->max_tokens,
                                .timeout = kind.timeout,
                                .capacity_fraction = standing.capacity_fraction,
                                .arriving = ArrivingPerRunner(),
                                .deviations = standing.deviations,
                                .yields_to = standing.yields_to,
                                .yield = standing.yield},
                               now_);
    if (!admitted) {
      End(job, false);
      return;
    }
    job->admitted = true;
    job->foreseen = base::FromFineMillis(expected_ms);
    PrefillEngine& engine = prefill_engines_[prefill];
    engine.Push(job);
    if (engine.queue.size() == 1) {
      BeginPrefill(engine);
    }
  }

  double Load(std::size_t i) const {
    return static_cast<double>(decode_engines_[i].running.size() +
                               decode_engines_[i].waiting.size());
  }

  std::size_t LeastLoaded() const {
    std::size_t least = 0;
    for (std::size_t i = 1; i < decode_engines_.size(); ++i) {
      if (Load(i) < Load(least)) {
        least = i;
      }
    }
    return least;
  }

  double ArrivingPerRunner() const {
    std::size_t n = 0;
    for (const PrefillEngine& it : prefill_engines_) {
      n += it.queue.size();
    }
    return static_cast<double>(n) / static_cast<double>(decode_engines_.size());
  }

  void BeginPrefill(PrefillEngine& engine) {
    engine.began = now_;
    engine.ms_left =
        settings_.slowness * (kFirstMs + engine.queue.front()->prefill_tokens /
                                             settings_.prefill_tokens_per_ms);
    engine.alone = engine.queue.size() == 1;
  }

  // Requests whose callers have left are cancelled, wherever they wait.
  void Cancel(PrefillEngine& engine) {
    if (engine.queue.empty()) {
      return;
    }
    const JobHandle first = engine.queue.front();
    std::erase_if(engine.queue,
                  [this](const JobHandle& it) { return HasEnded(it); });
    if (!engine.queue.empty() && engine.queue.front() != first) {
      BeginPrefill(engine);
    }
  }

  void Prefill(PrefillEngine& engine) {
    Cancel(engine);
    double ms = base::ToFineMillis(kTick);
    while (!engine.queue.empty() && ms > 0) {
      const JobHandle job = engine.queue.front();
      const double used = std::min(ms, engine.ms_left);
      engine.ms_left -= used;
      ms -= used;
      if (engine.ms_left > 0) {
        return;
      }
      engine.queue.pop_front();
      FinishPrefill(engine, job);
      if (!engine.queue.empty()) {
        BeginPrefill(engine);
      }
    }
  }

  void FinishPrefill(PrefillEngine& engine, const JobHandle& job) {
    Instance& instance = *instances_[job->instance];
    if (engine.alone) {
      const auto at = static_cast<std::size_t>(&engine - &prefill_engines_[0]);
      instance.prefills.RecordPrefill(
          instance.engines[decode_engines_.size() + at],
          std::llround(job->prefill_tokens), now_ - engine.began);
    }
    job->event_at = now_;
    decode_engines_[LeastLoaded()].waiting.push_back(job);
  }

  void Generate(std::size_t i) {
    DecodeEngine& engine = decode_engines_[i];
    while (!engine.waiting.empty() &&
           engine.running.size() < static_cast<std::size_t>(settings_.slots)) {
      engine.running.push_back(engine.waiting.front());
      engine.waiting.pop_front();
    }
    const double step_ms =
        settings_.slowness *
        (settings_.step_ms + settings_.step_ms_per_request *
                                 static_cast<double>(engine.running.size()));
    const double tokens = base::ToFineMillis(kTick) / step_ms;
    for (const JobHandle& job : engine.running) {
      job->generated += tokens;
      if (!job->has_bytes && job->generated >= 1) {
        job->has_bytes = true;
        RecordForecast(*job);
        job->event_at = now_;
        job->event_from = job->generated;
      } else if (job->generated - job->event_from >= kTokensPerEvent) {
        Instance& instance = *instances_[job->instance];
        instance.times.RecordEvent(DecodeView(instance, i),
                                   static_cast<int>(engine.running.size()),
                                   now_ - job->event_at);
        job->event_at = now_;
        job->event_from = job->generated;
      }
    }
    std::erase_if(engine.running,
                  [this](const JobHandle& it) { return HasEnded(it); });
    std::erase_if(engine.waiting,
                  [this](const JobHandle& it) { return HasEnded(it); });
  }

  bool HasEnded(const JobHandle& job) {
    if (job->generated >= job->answer_tokens) {
      End(job, true);
      return true;
    }
    const base::Duration age = now_ - job->arrived;
    if (age > settings_.kinds[job->kind].timeout ||
        (!job->has_bytes && age > kFirstByteTimeout)) {
      End(job, false);
      return true;
    }
    return false;
  }

  void RecordForecast(const Job& job) {
    instances_[job.instance]->errors.Record(kService, job.priority,
                                            {.foreseen = job.foreseen,
                                             .took = now_ - job.arrived,
                                             .given_up = !job.has_bytes,
                                             .time_limit = kFirstByteTimeout},
                                            now_);
  }

  void End(const JobHandle& job, bool served) {
    if (job->admitted && !job->has_bytes) {
      RecordForecast(*job);
    }
    job->served = served;
    Instance& instance = *instances_[job->instance];
    const SizedKind& kind = settings_.kinds[job->kind];
    const std::int64_t tokens =
        served ? std::llround(job->answer_tokens)
               : std::max<std::int64_t>(job->expected_tokens,
                                        std::llround(job->generated));
    instance.shares.RecordEnd(
        kService, kind.name,
        RequestSize(std::llround(job->prompt_tokens), tokens), served, now_);
    if (served) {
      instance.times.RecordAnswerSize(
          kService, job->expected_tokens,
          static_cast<int>(job->answer_tokens / kTokensPerEvent));
    }
  }

  const SizeFleetSettings settings_;
  FleetTraffic traffic_;
  const base::RandomSource random_;
  base::Time shared_at_{};
  base::Time now_ = base::Time() + std::chrono::hours(1);
  std::vector<PrefillEngine> prefill_engines_;
  std::vector<DecodeEngine> decode_engines_;
  std::vector<std::unique_ptr<Instance>> instances_;
};

}  // namespace

SizeFleetResult RunSizeFleet(const SizeFleetSettings& settings) {
  return Fleet(settings).Run();
}

}  // namespace lynxglade::bench
