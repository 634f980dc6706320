#include "request/fleet_model.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <numbers>
#include <numeric>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "request/in_flight.h"

namespace lynxglade::request {

namespace {

constexpr double kPrefillRate = 8000;
constexpr double kDecodeRate = 800;
// Mean work of a request, in seconds of one target.
constexpr double kMeanWork = 0.4;

double Seconds(base::Duration d) {
  return std::chrono::duration<double>(d).count();
}

base::Duration FromSeconds(double s) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(s));
}

struct ModelTarget {
  base::Time free_at{};
  double prefill = 0;  // tokens not finished
  double decode = 0;
  int running = 0;
  std::deque<std::uint64_t> cache;  // newest first
};

struct ModelRouter {
  base::ZoneId zone;
  std::unique_ptr<Router> router;
  TargetTable table;  // with this router's LocalLoad; loads as reported
  TargetIndex index;
  bool stale = true;
};

struct Event {
  base::Time at;
  std::uint64_t order;
  std::function<void()> run;
  bool operator>(const Event& other) const {
    return std::pair(at, order) > std::pair(other.at, other.order);
  }
};

class Model {
 public:
  explicit Model(const FleetModelOptions& options)
      : options_(options),
        random_(base::SeededRandom(options.seed)),
        router_random_(base::SeededRandom(options.seed + 1000003)),
        targets_(options.targets),
        end_(base::Time() + std::chrono::hours(1) + options.run_for),
        now_(base::Time() + std::chrono::hours(1)) {
    start_ = now_;
    for (std::size_t i = 0; i < options.routers; ++i) {
      routers_.push_back(MakeRouter(i));
    }
  }

  FleetModelResult Run() {
    At(now_, [this] { Arrive(); });
    At(now_, [this] { Report(); });
    if (options_.zone_lost_at > base::Duration::zero()) {
      At(start_ + options_.zone_lost_at, [this] { LoseZone(); });
    }
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    return Summarize();
  }

 private:
  void At(base::Time at, std::function<void()> run) {
    events_.push({at, next_order_++, std::move(run)});
  }

  base::ZoneId ZoneOf(std::size_t i) const {
    return base::ZoneId("zone-" + std::to_string(i % options_.zones));
  }

  ModelRouter MakeRouter(std::size_t i) {
    ModelRouter it;
    it.zone = ZoneOf(i);
    it.router = std::make_unique<Router>(options_.router, router_random_);
    for (std::size_t n = 0; n < options_.targets; ++n) {
      Target target;
      target.id = base::TargetId("engine-" + std::to_string(n));
      target.service = base::ServiceName("llm");
      target.model = base::ModelName("m");
      target.zone = ZoneOf(n);
      target.load.prefill_tokens_per_s = kPrefillRate;
      target.load.decode_tokens_per_s = kDecodeRate;
      target.load.as_of = start_;
      it.table.targets.push_back(std::move(target));
    }
    return it;
  }

  double Exponential(double mean) {
    return -mean * std::log(1.0 - base::UniformReal(random_));
  }

  double PrefillPart() const {
    if (options_.swing == base::Duration::zero()) {
      return 0.5;
    }
    const double phase = Seconds(now_ - start_) / Seconds(options_.swing);
    return 0.5 + 0.25 * std::cos(std::numbers::pi * phase);
  }

  void Arrive() {
    const double rate = static_cast<double>(options_.targets) *
                        options_.utilization / kMeanWork;
    const base::Time next = now_ + FromSeconds(Exponential(1 / rate));
    if (next < end_) {
      At(next, [this] { Arrive(); });
    }
    const double work = Exponential(kMeanWork);
    const double part = PrefillPart();
    RouteQuery query;
    query.service = base::ServiceName("llm");
    query.model = base::ModelName("m");
    query.cost = {
        base::Tokens(static_cast<std::int64_t>(work * part * kPrefillRate)),
        base::Tokens(
            static_cast<std::int64_t>(work * (1 - part) * kDecodeRate))};
    if (options_.prefixes > 0) {
      query.prefix_hash = 1 + base::UniformBelow(random_, options_.prefixes);
    }
    ModelRouter& router =
        routers_[base::UniformBelow(random_, routers_.size())];
    query.local_zone = router.zone;
    query.now = now_;
    if (std::exchange(router.stale, false)) {
      router.index =
          TargetIndex(std::make_shared<const TargetTable>(router.table));
    }
    ++result_.requests;
    RouteError error{};
    const auto choice = router.router->Pick(router.index, query, &error);
    if (!choice) {
      ++result_.unrouted;
      return;
    }
    left_zone_ += choice->target->zone == router.zone ? 0 : 1;
    Serve(*choice->target, query);
  }

  void Serve(const Target& chosen, const RouteQuery& query) {
    const std::size_t n = std::stoul(chosen.id.str().substr(7));
    ModelTarget& target = targets_[n];
    auto prefill = static_cast<double>(query.cost.prefill.value());
    const auto decode = static_cast<double>(query.cost.decode.value());
    if (query.prefix_hash != 0 && AccessCache(target, query.prefix_hash)) {
      prefill *= 1 - options_.cached_part;
      ++hits_;
    }
    const base::Time begin = std::max(now_, target.free_at);
    const double pace = n < options_.slow_targets ? 0.5 : 1;
    const base::Time first =
        begin + FromSeconds(prefill / (kPrefillRate * pace));
    const base::Time done = first + FromSeconds(decode / (kDecodeRate * pace));
    target.free_at = done;
    target.prefill += prefill;
    target.decode += decode;
    ++target.running;
    first_tokens_.push_back(Seconds(first - now_));
    result_.max_backlog = std::max(result_.max_backlog, Seconds(done - now_));
    auto in_flight = std::make_shared<InFlight>(chosen, query.cost, now_);
    At(first, [&target, prefill, in_flight] {
      target.prefill -= prefill;
      in_flight->OnPrefillDone();
    });
    At(done, [&target, decode, in_flight] {
      target.decode -= decode;
      --target.running;
    });
  }

  // Returns whether the prefix was cached, and caches it (LRU).
  bool AccessCache(ModelTarget& target, std::uint64_t prefix) const {
    const auto it = std::ranges::find(target.cache, prefix);
    const bool hit = it != target.cache.end();
    if (hit) {
      target.cache.erase(it);
    }
    target.cache.push_front(prefix);
    if (target.cache.size() > options_.cached_prefixes) {
      target.cache.pop_back();
    }
    return hit;
  }

  void Report() {
    std::vector<TargetLoad> loads;
    for (const ModelTarget& it : targets_) {
      TargetLoad load;
      load.running = it.running;
      load.queued_prefill = base::Tokens(static_cast<std::int64_t>(it.prefill));
      load.running_decode = base::Tokens(static_cast<std::int64_t>(it.decode));
      load.prefill_tokens_per_s = kPrefillRate;
      load.decode_tokens_per_s = kDecodeRate;
      load.as_of = now_;
      loads.push_back(load);
    }
    At(now_ + options_.report_lag, [this, loads] {
      for (ModelRouter& router : routers_) {
        for (std::size_t i = 0; i < loads.size(); ++i) {
          router.table.targets[i].load = loads[i];
        }
        router.stale = true;
      }
    });
    if (now_ + options_.report_every < end_) {
      At(now_ + options_.report_every, [this] { Report(); });
    }
  }

  void LoseZone() {
    for (ModelRouter& router : routers_) {
      for (Target& it : router.table.targets) {
        if (it.zone == ZoneOf(0)) {
          it.state = TargetState::kLeaving;
        }
      }
      router.stale = true;
    }
  }

  FleetModelResult Summarize() {
    std::ranges::sort(first_tokens_);
    const auto n = static_cast<double>(first_tokens_.size());
    if (!first_tokens_.empty()) {
      result_.mean_first_token =
          std::accumulate(first_tokens_.begin(), first_tokens_.end(), 0.0) / n;
      result_.p95_first_token =
          first_tokens_[static_cast<std::size_t>(0.95 * n)];
      result_.max_first_token = first_tokens_.back();
      result_.cache_hits = hits_ / n;
      result_.left_zone = left_zone_ / n;
    }
    return result_;
  }

  const FleetModelOptions options_;
  // Separate sources, so that arrivals are the same for every router variant.
  const base::RandomSource random_;
  const base::RandomSource router_random_;
  std::vector<ModelTarget> targets_;
  std::vector<ModelRouter> routers_;
  base::Time start_;
  base::Time end_;
  base::Time now_;
  std::uint64_t next_order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<double> first_tokens_;
  double hits_ = 0;
  double left_zone_ = 0;
  FleetModelResult result_;
};

}  // namespace

FleetModelResult RunFleetModel(const FleetModelOptions& options) {
  return Model(options).Run();
}

}  // namespace lynxglade::request
