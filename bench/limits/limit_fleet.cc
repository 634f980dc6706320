#include "bench/limits/limit_fleet.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "base/random.h"
#include "request/passthrough/send_limits.h"

namespace lynxglade::bench {

namespace {

using request::passthrough::AnswerTimes;
using request::passthrough::Engine;
using request::passthrough::FleetMember;
using request::passthrough::FleetView;
using request::passthrough::LimitShare;
using request::passthrough::LimitStatement;
using request::passthrough::SendLimits;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kNamedAfter = seconds(20);
constexpr base::Duration kLimitTime = seconds(40);
constexpr base::Duration kEndTime = seconds(120);
constexpr base::Duration kSettleTime = seconds(3);
constexpr base::Duration kWindow = request::passthrough::kLimitWindow;
constexpr base::Duration kAnswerTime = milliseconds(50);
// Until all instances of a zone know what an instance has told them.
constexpr base::Duration kToldAfter = milliseconds(110);
// Longest time until an instance knows that another one joined or left.
constexpr base::Duration kMaxViewDelay = seconds(3);

double Seconds(base::Duration d) {
  return std::chrono::duration<double>(d).count();
}

double Allowed(base::PerSecond limit) {
  constexpr double kExcess = 1.5;
  constexpr double kBurst = 5;
  return kExcess * Seconds(kWindow) * limit.value() + kBurst;
}

int MostInWindow(const std::vector<base::Time>& arrivals,
                 base::Time begin,
                 base::Time end) {
  std::ptrdiff_t most = 0;
  for (auto first = std::ranges::lower_bound(arrivals, begin);
       first != arrivals.end() && *first + kWindow <= end; ++first) {
    const auto last = std::lower_bound(first, arrivals.end(), *first + kWindow);
    most = std::max(most, last - first);
  }
  return static_cast<int>(most);
}

class Fleet {
 public:
  explicit Fleet(const LimitFleetSettings& settings)
      : settings_(settings), random_(base::SeededRandom(settings.seed)) {
    for (int i = 0; i < settings.instances; ++i) {
      AddInstance(start_ - seconds(60));
    }
    for (const auto& it : instances_) {
      it->view = Members();
    }
  }

  LimitFleetResult Run() {
    PlanReplacements();
    ScheduleCall();
    while (!events_.empty() && events_.begin()->first < start_ + kEndTime) {
      const auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    return Summarize();
  }

 private:
  struct Instance {
    FleetMember member;
    // Relative number of calls.
    double weight = 1;
    bool is_up = true;
    std::vector<FleetMember> view;
    std::uint64_t view_version = 1;
    base::Metrics metrics;
    Engine engine;
    std::unique_ptr<SendLimits> limits;
  };

  void At(base::Time time, std::function<void()> action) {
    events_.emplace(time, std::move(action));
  }

  // An instance whose process started at `started`.
  Instance& AddInstance(base::Time started) {
    const int n = static_cast<int>(instances_.size());
    instances_.push_back(std::make_unique<Instance>());
    Instance& it = *instances_.back();
    it.member = {base::InstanceId("i" + std::to_string(n)),
                 base::ZoneId("z" + std::to_string(n % settings_.zones))};
    it.weight = 0.5 + base::UniformReal(random_);
    it.engine.entry.id = base::TargetId("t" + std::to_string(settings_.seed));
    it.engine.entry.zone = base::ZoneId("z0");
    now_ = started;
    it.limits = std::make_unique<SendLimits>(
        request::passthrough::SendLimitsOptions{.instance = it.member.instance},
        request::passthrough::SendLimitsHooks{
            .members = [&it] { return it.view; },
            .members_version = [&it] { return it.view_version; },
            .instance_count =
                [&it] { return static_cast<int>(it.view.size()); },
            .view_age = [] { return base::Duration(seconds(1)); },
            .on_own_change =
                [this, &it](const Engine& engine, const AnswerTimes& times) {
                  TellOthers(it, engine.limit.named.rate(), times);
                },
            .select_share = settings_.select_share},
        [this] { return now_; }, it.metrics);
    return it;
  }

  std::vector<FleetMember> Members() const {
    std::vector<FleetMember> members;
    for (const auto& it : instances_) {
      if (it->is_up) {
        members.push_back(it->member);
      }
    }
    return members;
  }

  // Each instance learns of the fleet as it is now after a delay of its own.
  void AnnounceFleet() {
    const auto members = Members();
    for (const auto& it : instances_) {
      const base::Duration delay(static_cast<base::Duration::rep>(
          base::UniformReal(random_) *
          static_cast<double>(kMaxViewDelay.count())));
      At(now_ + delay, [&instance = *it, members] {
        instance.view = members;
        ++instance.view_version;
      });
    }
  }

  void PlanReplacements() {
    for (int i = 0; i < settings_.replaced; ++i) {
      const base::Time time = start_ + kNamedAfter +
                              kLimitTime * (i + 1) / (settings_.replaced + 2);
      At(time, [this, i, time] {
        instances_[static_cast<std::size_t>(i)]->is_up = false;
        AddInstance(time);
        now_ = time;
        instances_.back()->view = Members();
        AnnounceFleet();
      });
    }
  }

  void ScheduleCall() {
    const double gap =
        -std::log(1 - base::UniformReal(random_)) / settings_.offered;
    At(now_ + base::FromFineMillis(gap * 1000), [this] {
      Call();
      ScheduleCall();
    });
  }

  void Call() {
    double total = 0;
    for (const auto& it : instances_) {
      total += it->is_up ? it->weight : 0;
    }
    double at = base::UniformReal(random_) * total;
    for (const auto& it : instances_) {
      at -= it->is_up ? it->weight : 0;
      if (it->is_up && at <= 0) {
        CallFrom(*it);
        return;
      }
    }
  }

  void CallFrom(Instance& instance) {
    if (!instance.limits->MaySend(instance.engine, now_)) {
      return;
    }
    instance.limits->OnSend(instance.engine, now_);
    arrivals_.push_back(now_);
    LimitStatement statement;
    if (const auto limit = LimitAt(now_)) {
      statement = {.kind = LimitStatement::Kind::kNamed, .rate = *limit};
    }
    At(now_ + kAnswerTime, [this, &instance, statement, sent = now_] {
      instance.limits->Observe(instance.engine, statement, {sent, now_}, "r");
    });
  }

  void TellOthers(const Instance& from,
                  std::optional<base::PerSecond> rate,
                  const AnswerTimes& times) {
    LimitStatement statement;
    if (rate) {
      statement = {.kind = LimitStatement::Kind::kNamed, .rate = *rate};
    }
    At(now_ + kToldAfter, [this, &from, statement, times] {
      for (const auto& it : instances_) {
        if (it.get() != &from && it->is_up) {
          it->limits->Observe(it->engine, statement, times,
                              from.member.instance);
        }
      }
    });
  }

  std::optional<base::PerSecond> LimitAt(base::Time time) const {
    const base::Duration since = time - start_ - kNamedAfter;
    if (since < base::Duration::zero() || since >= kLimitTime) {
      return std::nullopt;
    }
    return since < kLimitTime / 2 ? settings_.limit : settings_.later_limit;
  }

  LimitFleetResult Summarize() const {
    const base::Time named = start_ + kNamedAfter;
    const base::Time changed = named + kLimitTime / 2;
    const base::Time ended = named + kLimitTime;
    LimitFleetResult result;
    result.allowed = Allowed(settings_.limit);
    result.later_allowed = Allowed(settings_.later_limit);
    result.most_in_window =
        MostInWindow(arrivals_, named + kSettleTime, changed);
    result.most_in_later_window =
        MostInWindow(arrivals_, changed + kSettleTime, ended);
    const auto count = [this](base::Time begin, base::Time end) {
      return std::ranges::lower_bound(arrivals_, end) -
             std::ranges::lower_bound(arrivals_, begin);
    };
    const double limit_sum =
        Seconds(kLimitTime / 2 - kSettleTime) *
        (settings_.limit.value() + settings_.later_limit.value());
    result.used = static_cast<double>(count(named + kSettleTime, changed) +
                                      count(changed + kSettleTime, ended)) /
                  limit_sum;
    for (int s = 0; s < 60 - 4; ++s) {
      const base::Time begin = ended + seconds(s);
      if (static_cast<double>(count(begin, begin + kWindow)) >=
          settings_.offered / 2 * Seconds(kWindow)) {
        result.recovery_seconds = s;
        break;
      }
    }
    return result;
  }

  const LimitFleetSettings settings_;
  const base::RandomSource random_;
  const base::Time start_ = base::Time() + std::chrono::hours(1);
  base::Time now_ = start_;
  std::multimap<base::Time, std::function<void()>> events_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<base::Time> arrivals_;
};

LimitShare Sender(base::PerSecond rate, int instances) {
  return {.is_sender = true,
          .senders = instances,
          .instances = instances,
          .rate = rate};
}

}  // namespace

LimitShare SelectWholeLimit(base::PerSecond limit,
                            const base::TargetId& /*target*/,
                            const base::ZoneId& /*zone*/,
                            const base::InstanceId& /*self*/,
                            const FleetView& fleet) {
  return Sender(limit, fleet.instance_count);
}

LimitShare SelectEqualShare(base::PerSecond limit,
                            const base::TargetId& /*target*/,
                            const base::ZoneId& /*zone*/,
                            const base::InstanceId& /*self*/,
                            const FleetView& fleet) {
  return Sender(base::PerSecond(limit.value() / fleet.instance_count),
                fleet.instance_count);
}

LimitFleetResult RunLimitFleet(const LimitFleetSettings& settings) {
  return Fleet(settings).Run();
}

}  // namespace lynxglade::bench
