// Model of a fleet whose instances share a quarantine, and random traffic.
#ifndef LYNXGLADE_TESTS_REQUEST_QUARANTINE_WORLD_H_
#define LYNXGLADE_TESTS_REQUEST_QUARANTINE_WORLD_H_

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <numeric>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "request/quarantine.h"

namespace lynxglade::request {

inline constexpr base::Time kNow = base::Time() + std::chrono::hours(1);
inline constexpr ContentHash kPoison(666);
inline constexpr std::size_t kUnstable = 0;

// Model of instances, targets and callers, stepped in a random order. Target
// kUnstable crashes by itself; kPoison crashes every target that runs it.
class World {
 public:
  World(std::size_t instances,
        std::size_t targets,
        const QuarantineOptions& options = {})
      : targets_(targets), inbox_(instances) {
    for (std::size_t i = 0; i < instances; ++i) {
      instances_.push_back(std::make_unique<Quarantine>(
          options, base::InstanceId("i" + std::to_string(i)),
          [this, i](const process::ViewItem& item) { Broadcast(i, item); }));
    }
  }

  // Sends the content through an instance, which tries the targets in turn from
  // a random one on. Returns whether an attempt started.
  bool Send(std::size_t instance, ContentHash content) {
    std::vector<std::size_t> order(targets_);
    std::iota(order.begin(), order.end(), 0);
    const auto first = *rc::gen::inRange<std::size_t>(0, targets_);
    std::ranges::rotate(order,
                        order.begin() + static_cast<std::ptrdiff_t>(first));
    for (const std::size_t target : order) {
      const base::AttemptId attempt("a" + std::to_string(next_attempt_++));
      QuarantineDenial denial{};
      if (instances_[instance]->TryStart(content, IdOf(target), attempt, now,
                                         &denial)) {
        runs_.push_back({attempt, instance, target, content});
        return true;
      }
      if (!CanTryOtherTarget(denial)) {
        return false;
      }
    }
    return false;
  }

  // Ends the n-th run: poison crashes its target, other contents are delivered.
  void Finish(std::size_t n) {
    const Run run = runs_[n];
    if (run.content == kPoison) {
      Crash(run.target);
      return;
    }
    runs_.erase(runs_.begin() + static_cast<std::ptrdiff_t>(n));
    instances_[run.instance]->OnDelivered(run.attempt, now);
  }

  void Crash(std::size_t target) {
    std::set<std::size_t> observers;
    std::set<ContentHash> contents;
    for (const Run& it : runs_) {
      if (it.target == target) {
        instances_[it.instance]->OnLost(it.attempt, now);
        observers.insert(it.instance);
        contents.insert(it.content);
      }
    }
    std::erase_if(runs_, [&](const Run& it) { return it.target == target; });
    for (const std::size_t it : observers) {
      instances_[it]->OnTargetCrashed(IdOf(target), now);
    }
    for (const ContentHash it : contents) {
      ++crashes_[it];
    }
  }

  // Delivers up to `max_items` marks in random order, some of them repeatedly.
  void Deliver(std::size_t instance, std::size_t max_items) {
    auto& inbox = inbox_[instance];
    for (std::size_t i = 0; i < max_items && !inbox.empty(); ++i) {
      const auto n = *rc::gen::inRange<std::size_t>(0, inbox.size());
      const process::ViewItem item = inbox[n];
      if (*rc::gen::inRange(0, 5) < 4) {
        inbox.erase(inbox.begin() + static_cast<std::ptrdiff_t>(n));
      }
      instances_[instance]->Merge(item, now);
    }
  }
  void DeliverAll() {
    const auto is_waiting = [](const auto& it) { return !it.empty(); };
    while (std::ranges::any_of(inbox_, is_waiting)) {
      for (std::size_t i = 0; i < instances_.size(); ++i) {
        Deliver(i, inbox_[i].size());
      }
    }
  }

  bool IsQuarantinedAnywhere(ContentHash content) {
    return std::ranges::any_of(instances_, [&](const auto& it) {
      return it->IsQuarantined(content, now);
    });
  }

  void Tick() {
    for (const auto& it : instances_) {
      it->Tick(now);
    }
  }

  std::size_t running() const { return runs_.size(); }
  std::size_t running(ContentHash content) const {
    return static_cast<std::size_t>(
        std::ranges::count(runs_, content, &Run::content));
  }
  std::size_t instances() const { return instances_.size(); }
  Quarantine& at(std::size_t i) { return *instances_[i]; }
  // Number of crashes in which the content was in flight.
  std::size_t crashes(ContentHash content) { return crashes_[content]; }

  base::Time now = kNow;

 private:
  struct Run {
    base::AttemptId attempt;
    std::size_t instance = 0;
    std::size_t target = 0;
    ContentHash content;
  };

  static base::TargetId IdOf(std::size_t target) {
    return base::TargetId("t" + std::to_string(target));
  }

  void Broadcast(std::size_t from, const process::ViewItem& item) {
    for (std::size_t i = 0; i < inbox_.size(); ++i) {
      if (i != from) {
        inbox_[i].push_back(item);
      }
    }
  }

  const std::size_t targets_;
  std::vector<std::unique_ptr<Quarantine>> instances_;
  std::vector<std::deque<process::ViewItem>> inbox_;
  std::vector<Run> runs_;
  std::map<ContentHash, std::size_t> crashes_;
  int next_attempt_ = 0;
};

inline constexpr std::uint64_t kHarmless = 8;

// Random traffic with at most `poison_at_once` concurrent runs of the poison.
// Marks are delivered after each step if `spread_at_once`, else with delay.
inline void RunTraffic(World& world,
                       std::size_t poison_at_once,
                       bool spread_at_once) {
  const int steps = *rc::gen::inRange(20, 250);
  for (int step = 0; step < steps; ++step) {
    world.now += std::chrono::milliseconds(*rc::gen::inRange(0, 300));
    world.Tick();
    const auto instance = *rc::gen::inRange<std::size_t>(0, world.instances());
    const int action = *rc::gen::inRange(0, 20);
    if (action < 8) {
      const ContentHash content(1 +
                                *rc::gen::inRange<std::uint64_t>(0, kHarmless));
      world.Send(instance, content);
    } else if (action < 10) {
      // A caller keeps sending the poison.
      if (world.running(kPoison) < poison_at_once) {
        world.Send(instance, kPoison);
      }
    } else if (action < 17 && world.running() > 0) {
      world.Finish(*rc::gen::inRange<std::size_t>(0, world.running()));
    } else if (action == 18) {
      world.Crash(kUnstable);
    }
    if (spread_at_once) {
      world.DeliverAll();
    } else {
      world.Deliver(instance, 3);
    }
  }
}

}  // namespace lynxglade::request

#endif  // LYNXGLADE_TESTS_REQUEST_QUARANTINE_WORLD_H_
