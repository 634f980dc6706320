#include "bench/quarantine/quarantine_fleet.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "bench/quarantine/drawn_prompts.h"
#include "bench/quarantine/part_tally.h"

namespace lynxglade::bench {

namespace {

using request::ContentHash;
using request::Quarantine;
using request::QuarantineChange;
using request::QuarantineDenial;
using request::RunIdentity;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kLength = seconds(60);
constexpr base::Duration kSeriesLength = seconds(15);
constexpr base::Duration kDownTime = seconds(4);
constexpr base::Duration kStreamTime = milliseconds(1200);
constexpr base::Duration kCallTime = milliseconds(30);
// From the start of a run to the first event, and to the crash.
constexpr base::Duration kFirstEvent = milliseconds(150);
constexpr base::Duration kCrashTime = milliseconds(80);
constexpr base::Duration kCheckTime = milliseconds(2);
constexpr base::Duration kReturnTime = milliseconds(400);
constexpr std::uint64_t kCommonContents = 20;
constexpr double kCallsPerSecond = 20;
constexpr int kMaxTries = 4;
constexpr int kMaxReturns = 3;

// Contents by the high half of their hash.
enum Kind : std::uint64_t {
  kStream = 1,
  kCall = 2,
  kCrashing = 3,
  kWithCrashingPart = 4
};

struct Request {
  RunIdentity identity;
  bool resumable = false;
  int returns_left = kMaxReturns;
  // Of kWithCrashingPart.
  const CrashingPart* crashing = nullptr;

  std::uint64_t kind() const { return identity.content.high(); }
  bool is_sound() const { return kind() == kStream || kind() == kCall; }
};

class Fleet {
 public:
  explicit Fleet(const QuarantineFleetSettings& settings)
      : settings_(settings),
        random_(base::SeededRandom(settings.seed)),
        prompts_({.crashing_parts = settings.crashing_parts,
                  .part_requests_per_second = settings.part_requests_per_second,
                  .vary = settings.vary_parts,
                  .length = kLength,
                  .seed = settings.seed}),
        engines_(static_cast<std::size_t>(settings.engines)),
        read_(static_cast<std::size_t>(settings.instances)) {
    request::QuarantineOptions options =
        settings_.options.value_or(request::QuarantineOptions{});
    options.instances = [this] { return read_.size(); };
    for (int i = 0; settings_.options && i < settings_.instances; ++i) {
      instances_.push_back(std::make_unique<Quarantine>(
          options, base::InstanceId("i" + std::to_string(i)),
          [this, i](const process::ViewItem& it) { Publish(i, it); },
          [this](const request::QuarantineEvent& it) { Observe(it); }));
    }
  }

  QuarantineFleetResult Run() {
    Repeat(settings_.streams_per_second, [this] { SendStream(); });
    Repeat(kCallsPerSecond, [this] {
      const std::uint64_t n = base::UniformBelow(random_, kCommonContents);
      ++result_.harmless;
      Send({.identity = {ContentHash(kCall, n)}, .resumable = true});
    });
    Repeat(settings_.other_crashes_per_second,
           [this] { Crash(RandomEngine(), std::nullopt); });
    for (int i = 0; i < settings_.mass_crashes; ++i) {
      At(kLength * (i + 1) / (settings_.mass_crashes + 1), [this] {
        for (std::size_t e = 0; e < engines_.size() / 2; ++e) {
          Crash(e, std::nullopt);
        }
      });
    }
    for (int i = 0; i < settings_.crashing_contents; ++i) {
      const base::Duration start =
          kLength * i / std::max(settings_.crashing_contents, 1);
      At(start, [this, i] {
        SendCrashing(static_cast<std::uint64_t>(i), now_ + kSeriesLength);
      });
    }
    for (const CrashingPart& it : prompts_.crashing()) {
      At(it.begin, [this, &it] { SendWithCrashingPart(it); });
    }
    while (!events_.empty() && events_.top().at < Start() + kLength) {
      now_ = events_.top().at;
      const auto action = events_.top().action;
      events_.pop();
      action();
    }
    for (const auto& [content, n] : losses_) {
      result_.most_engines_lost = std::max(result_.most_engines_lost, n);
    }
    result_.harmless_quarantined = static_cast<int>(condemned_.size());
    result_.parts_condemned_wrongly = static_cast<int>(condemned_parts_.size());
    for (const CrashingPart& it : prompts_.crashing()) {
      const base::Time first =
          Start() +
          std::ranges::min(prompts_.crashing(), {}, &CrashingPart::begin).begin;
      result_.most_sent_late =
          std::max(result_.most_sent_late, parts_.SentLate(it.part));
      result_.least_begun_ratio = std::min(
          result_.least_begun_ratio, parts_.BegunRatio(it, Start(), first));
    }
    return result_;
  }

 private:
  struct Event {
    base::Time at;
    std::uint64_t number;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };
  struct Running {
    Request request;
    std::size_t instance = 0;
    base::Time started{};
  };
  struct Engine {
    base::Time up_at{};
    std::map<std::uint64_t, Running> runs;
  };
  struct Message {
    base::Time at;
    int from = 0;
    process::ViewItem item;
  };

  static base::Time Start() { return base::Time() + std::chrono::hours(1); }

  void At(base::Duration after_start, std::function<void()> action) {
    events_.push({Start() + after_start, next_++, std::move(action)});
  }
  void In(base::Duration wait, std::function<void()> action) {
    events_.push({now_ + wait, next_++, std::move(action)});
  }
  base::Duration RandomGap(double per_second) {
    return std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(
            -std::log(1 - base::UniformReal(random_)) / per_second));
  }
  void Repeat(double per_second, std::function<void()> action) {
    if (per_second > 0) {
      In(RandomGap(per_second), [this, per_second, action] {
        action();
        Repeat(per_second, action);
      });
    }
  }
  std::size_t RandomEngine() {
    return base::UniformBelow(random_, engines_.size());
  }

  void SendStream() {
    ++result_.harmless;
    const auto parts = prompts_.DrawSound();
    const bool begun = Send({.identity = {ContentHash(kStream, next_), parts},
                             .resumable = base::UniformReal(random_) <
                                          settings_.resumable_fraction});
    parts_.OnSound(parts.front(), begun, now_);
  }
  void SendWithCrashingPart(const CrashingPart& part) {
    if (now_ < Start() + part.end) {
      Send({.identity = {ContentHash(kWithCrashingPart, next_),
                         prompts_.DrawCrashing(part)},
            .resumable =
                base::UniformReal(random_) < settings_.resumable_fraction,
            .crashing = &part});
      In(RandomGap(part.per_second),
         [this, &part] { SendWithCrashingPart(part); });
    }
  }
  void SendCrashing(std::uint64_t n, base::Time until) {
    if (now_ < until) {
      Send({.identity = {ContentHash(kCrashing, n)}});
      In(RandomGap(settings_.copies_per_second),
         [this, n, until] { SendCrashing(n, until); });
    }
  }

  // Sends the request through an instance, which tries several engines. Returns
  // whether it began at one.
  bool Send(const Request& request) {
    return SendThrough(base::UniformBelow(random_, static_cast<std::size_t>(
                                                       settings_.instances)),
                       request);
  }
  bool SendThrough(std::size_t instance, const Request& request) {
    Receive(instance);
    bool denied = false;
    for (int i = 0; i < kMaxTries; ++i) {
      const std::size_t engine = RandomEngine();
      if (engines_[engine].up_at > now_) {
        continue;
      }
      const std::uint64_t number = next_++;
      QuarantineDenial denial{};
      if (settings_.options &&
          !instances_[instance]->TryStart(request.identity, IdOf(engine),
                                          AttemptOf(number), now_, &denial)) {
        denied = true;
        if (CanTryOtherTarget(denial)) {
          continue;
        }
        break;
      }
      Begin(engine, number, {request, instance, now_});
      return true;
    }
    if (denied && request.is_sound()) {
      Refuse(request);
    }
    return false;
  }
  void Refuse(Request request) {
    const auto [it, is_first] =
        first_refused_.emplace(request.identity.content, now_);
    result_.longest_refused_seconds =
        std::max(result_.longest_refused_seconds,
                 std::chrono::duration<double>(now_ - it->second).count());
    if (--request.returns_left > 0) {
      In(kReturnTime, [this, request] { Send(request); });
    } else {
      ++result_.harmless_refused;
    }
  }

  void Begin(std::size_t engine, std::uint64_t number, Running run) {
    const std::uint64_t kind = run.request.kind();
    engines_[engine].runs.emplace(number, run);
    if (kind == kCrashing) {
      CrashLater(engine, number, kCrashTime, run.request.identity.content);
      return;
    }
    if (const CrashingPart* part = run.request.crashing) {
      parts_.OnSent(part->part, now_);
      if (now_ >= Start() + part->crashes_from &&
          base::UniformReal(random_) < part->probability) {
        CrashLater(engine, number, part->crash_time, part->part);
      }
    }
    if (kind != kCall && settings_.options) {
      In(kFirstEvent, [this, number, instance = run.instance] {
        instances_[instance]->OnAnswering(AttemptOf(number), now_);
      });
    }
    In(kind == kCall ? kCallTime : kStreamTime, [this, engine, number] {
      const auto it = engines_[engine].runs.find(number);
      if (it == engines_[engine].runs.end()) {
        return;
      }
      const Running done = it->second;
      engines_[engine].runs.erase(it);
      first_refused_.erase(done.request.identity.content);
      if (settings_.options) {
        Receive(done.instance);
        instances_[done.instance]->OnDelivered(AttemptOf(number), now_);
      }
    });
  }

  // Crashes the engine if the run is still there then.
  void CrashLater(std::size_t engine,
                  std::uint64_t number,
                  base::Duration wait,
                  ContentHash by) {
    In(wait, [this, engine, number, by] {
      if (engines_[engine].runs.contains(number)) {
        Crash(engine, by);
      }
    });
  }
  void Crash(std::size_t engine, std::optional<ContentHash> by) {
    if (engines_[engine].up_at > now_) {
      return;
    }
    engines_[engine].up_at = now_ + kDownTime;
    if (by) {
      ++losses_[*by];
      ++result_.engines_lost;
      parts_.OnCrash(*by, now_);
    }
    std::set<std::size_t> observers;
    const auto runs = std::exchange(engines_[engine].runs, {});
    for (const auto& [number, run] : runs) {
      observers.insert(run.instance);
      if (settings_.options) {
        Receive(run.instance);
        instances_[run.instance]->OnLost(AttemptOf(number), now_,
                                         now_ - run.started > kFirstEvent);
      }
      const Request retry = Retried(run);
      if (retry.resumable && retry.returns_left > 0) {
        In(2 * kCheckTime, [this, retry, instance = run.instance] {
          SendThrough(instance, retry);
        });
      }
    }
    In(kCheckTime, [this, observers, engine] {
      for (const std::size_t it : observers) {
        if (settings_.options) {
          instances_[it]->OnTargetCrashed(IdOf(engine), now_);
        }
      }
    });
  }
  static Request Retried(const Running& run) {
    Request request = run.request;
    --request.returns_left;
    return request;
  }

  void Publish(int from, const process::ViewItem& item) {
    // Instances join what they receive; they do not pass it on.
    if (settings_.shares && !receiving_) {
      log_.push_back({now_ + settings_.delay, from, item});
      result_.marks_received += 1;
    }
  }
  // Merges what has arrived at the instance since it was last used.
  void Receive(std::size_t instance) {
    if (!settings_.options) {
      return;
    }
    std::size_t& read = read_[instance];
    receiving_ = true;
    for (; read < log_.size() && log_[read].at <= now_; ++read) {
      if (log_[read].from != static_cast<int>(instance) &&
          base::UniformReal(random_) >= settings_.loss) {
        const process::ViewItem item = log_[read].item;
        instances_[instance]->Merge(item, now_);
      }
    }
    receiving_ = false;
  }
  void Observe(const request::QuarantineEvent& event) {
    const std::uint64_t kind = event.content.high();
    if (event.change != QuarantineChange::kQuarantined) {
      return;
    }
    if (kind == kStream || kind == kCall) {
      condemned_.insert(event.content);
    }
    if (kind >= kFirstPart && kind < kCrashingPart) {
      condemned_parts_.insert(event.content);
    }
  }
  static base::TargetId IdOf(std::size_t engine) {
    return base::TargetId("e" + std::to_string(engine));
  }
  static base::AttemptId AttemptOf(std::uint64_t number) {
    return base::AttemptId(std::to_string(number));
  }

  const QuarantineFleetSettings settings_;
  const base::RandomSource random_;
  DrawnPrompts prompts_;
  base::Time now_ = Start();
  std::uint64_t next_ = 1;
  std::priority_queue<Event> events_;
  std::vector<Engine> engines_;
  std::vector<std::unique_ptr<Quarantine>> instances_;
  std::vector<Message> log_;
  // Messages of the log that each instance has read.
  std::vector<std::size_t> read_;
  bool receiving_ = false;
  std::map<ContentHash, int> losses_;
  std::map<ContentHash, base::Time> first_refused_;
  std::set<ContentHash> condemned_;
  std::set<ContentHash> condemned_parts_;
  PartTally parts_;
  QuarantineFleetResult result_;
};

}  // namespace

QuarantineFleetResult RunQuarantineFleet(
    const QuarantineFleetSettings& settings) {
  return Fleet(settings).Run();
}

}  // namespace lynxglade::bench
