#include "bench/retries/retry_fleet.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "base/random.h"

namespace lynxglade::bench {

namespace {

using request::passthrough::ArrivalPurpose;
using request::passthrough::ReservedArrivals;
using request::passthrough::SharedRetryBudget;
using std::chrono::milliseconds;

const base::ServiceName kService("llm");
const base::Time kStart = base::Time() + std::chrono::hours(1);

// As the relay and the exchange of loans have them.
constexpr base::Duration kBudgetTimeout = milliseconds(500);
constexpr base::Duration kBudgetPoll = milliseconds(10);
constexpr base::Duration kRejectionWindow = milliseconds(50);
constexpr base::Duration kMarkPoll = milliseconds(250);
constexpr base::Duration kStoreDelay = milliseconds(10);
constexpr base::Duration kLoanDelay = milliseconds(4);
constexpr base::Duration kMinLoanInterval = milliseconds(20);
constexpr base::Duration kMaxLoanInterval = milliseconds(160);
constexpr std::size_t kLenders = 2;
// Peers that an instance can borrow from.
constexpr std::size_t kMaxGroup = 60;
constexpr int kMaxPrefillTries = 2;
constexpr int kMaxRejections = 2;

struct Instance {
  std::unique_ptr<SharedRetryBudget> budget;
  // Part of the requests.
  double weight = 1;
  // Increases with each kill; what belongs to an earlier lifetime is dropped.
  int lifetime = 0;
  bool up = true;
  base::Time started_at{};
  // In the store.
  bool marked = false;
  bool mark_requested = false;
  base::Time asked_at{};
  base::Duration ask_interval = kMinLoanInterval;
  bool answered = true;
};

struct Request {
  std::size_t instance = 0;
  int lifetime = 0;
  int prefill_tries = 0;
  int rejections = 0;
  bool prefilled = false;
};

class Fleet {
 public:
  explicit Fleet(const RetryFleetSettings& settings)
      : settings_(settings),
        random_(base::SeededRandom(settings.seed)),
        bound_({settings.budget.ratio, settings.budget.allowance,
                settings.budget.window}) {
    instances_.resize(static_cast<std::size_t>(settings.instances));
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      instances_[i].weight = 0.4 + 1.2 * base::UniformReal(random_);
      total_weight_ += instances_[i].weight;
      // Before the run, all have been up for long.
      instances_[i].budget = MakeBudget(i, base::Time());
    }
  }

  RetryFleetResult Run() {
    for (const FleetKill& it : settings_.kills) {
      At(kStart + it.at, [this, it] { Kill(it); });
    }
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      ScheduleRequest(i);
    }
    while (!events_.empty() &&
           events_.begin()->first < kStart + settings_.length) {
      auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    result_.most = bound_.MostUsed();
    return result_;
  }

 private:
  void At(base::Time at, std::function<void()> event) {
    events_.emplace(std::max(at, now_), std::move(event));
  }

  std::unique_ptr<SharedRetryBudget> MakeBudget(std::size_t i,
                                                base::Time started_at) {
    return std::make_unique<SharedRetryBudget>(
        settings_.budget,
        [this, i](const base::ServiceName&, double missing) {
          RequestMark(i);
          RequestLoan(i, missing);
        },
        started_at);
  }

  void Kill(const FleetKill& kill) {
    const auto n = static_cast<std::size_t>(std::max<long>(
        1, std::lround(kill.share * static_cast<double>(instances_.size()))));
    std::vector<std::size_t> order(instances_.size());
    for (std::size_t i = 0; i < order.size(); ++i) {
      order[i] = i;
    }
    for (std::size_t i = 0; i < n; ++i) {
      std::swap(order[i],
                order[i + base::UniformBelow(random_, order.size() - i)]);
      Instance& it = instances_[order[i]];
      ++it.lifetime;
      it.up = false;
      At(now_ + kill.down, [this, i = order[i], lifetime = it.lifetime] {
        if (instances_[i].lifetime == lifetime) {
          Restart(i);
        }
      });
    }
  }

  void Restart(std::size_t i) {
    instances_[i].up = true;
    instances_[i].started_at = now_;
    if (settings_.remembers) {
      return;
    }
    instances_[i].budget = MakeBudget(i, now_);
    At(now_ + kStoreDelay, [this, i, lifetime = instances_[i].lifetime] {
      MarkStart(i, lifetime);
    });
  }

  // Marks as process/peers/spending_mark keeps them.
  void MarkStart(std::size_t i, int lifetime) {
    Instance& self = instances_[i];
    if (self.lifetime != lifetime) {
      return;
    }
    if (!self.marked) {
      self.marked = true;
      self.budget->ConfirmStart();
    }
    At(self.started_at + self.budget->StartPhase(), [this, i, lifetime] {
      if (instances_[i].lifetime == lifetime) {
        instances_[i].budget->SetMarked(true);
        PollMark(i, lifetime);
      }
    });
  }
  void PollMark(std::size_t i, int lifetime) {
    Instance& self = instances_[i];
    if (self.lifetime != lifetime || !self.marked) {
      return;
    }
    if (self.budget->NeedsMark(settings_.instances, now_)) {
      At(now_ + kMarkPoll, [this, i, lifetime] { PollMark(i, lifetime); });
    } else {
      self.budget->SetMarked(false);
      self.marked = false;
    }
  }
  void RequestMark(std::size_t i) {
    Instance& self = instances_[i];
    if (self.marked || self.mark_requested || self.budget->IsStarting(now_)) {
      return;
    }
    self.mark_requested = true;
    At(now_ + kStoreDelay, [this, i, lifetime = self.lifetime] {
      Instance& it = instances_[i];
      it.mark_requested = false;
      if (it.lifetime == lifetime) {
        it.marked = true;
        it.budget->SetMarked(true);
        At(now_ + kMarkPoll, [this, i, lifetime] { PollMark(i, lifetime); });
      }
    });
  }

  void ScheduleRequest(std::size_t i) {
    const double per_second =
        settings_.offered * instances_[i].weight / total_weight_;
    const double seconds =
        -std::log(1 - base::UniformReal(random_)) / per_second;
    At(now_ + base::FromFineMillis(1000 * seconds), [this, i] {
      Arrive(i);
      ScheduleRequest(i);
    });
  }

  void Arrive(std::size_t i) {
    // Counts in the bound whether or not it is served.
    bound_.OnRequest(now_);
    if (!instances_[i].up) {
      return;
    }
    ++result_.requests;
    instances_[i].budget->OnRequest(kService, now_);
    Prefill(std::make_shared<Request>(i, instances_[i].lifetime));
  }

  bool Lives(const Request& request) const {
    const Instance& it = instances_[request.instance];
    return it.up && it.lifetime == request.lifetime;
  }
  SharedRetryBudget& BudgetOf(const Request& request) {
    return *instances_[request.instance].budget;
  }

  // Polls until the arrivals are reserved, then calls `then`; `denied` if they
  // are not in time.
  void Reserve(const std::shared_ptr<Request>& request,
               int arrivals,
               ArrivalPurpose purpose,
               base::Time until,
               std::function<void(ReservedArrivals)> then,
               std::function<void()> denied) {
    if (!Lives(*request)) {
      return;
    }
    const auto reserved = BudgetOf(*request).TryReserve(
        kService, arrivals, purpose, settings_.instances, now_);
    if (reserved) {
      then(*reserved);
    } else if (now_ >= until) {
      denied();
    } else {
      At(now_ + kBudgetPoll, [=, this] {
        Reserve(request, arrivals, purpose, until, then, denied);
      });
    }
  }

  bool IsRejected() {
    const base::Duration at = now_ - kStart;
    return at >= settings_.fail_from && at < settings_.fail_until &&
           base::UniformReal(random_) < settings_.rejected;
  }

  void Prefill(const std::shared_ptr<Request>& request) {
    if (request->prefill_tries >= kMaxPrefillTries) {
      // The target that runs the request prefills it.
      Send(request);
      return;
    }
    Reserve(
        request, 1, ArrivalPurpose::kFirstPrefill, now_ + kBudgetTimeout,
        [this, request](ReservedArrivals reserved) {
          SendPrefill(request, reserved);
        },
        [this, request] { OnPrefillDenied(request); });
  }

  void OnPrefillDenied(const std::shared_ptr<Request>& request) {
    const base::Duration age = now_ - instances_[request->instance].started_at;
    if (settings_.runner_prefills &&
        age < settings_.budget.window + settings_.budget.loan_ttl) {
      ++result_.runner_prefills;
      Send(request);
    } else {
      ++result_.prefills_denied;
    }
  }

  void SendPrefill(const std::shared_ptr<Request>& request,
                   ReservedArrivals reserved) {
    ++request->prefill_tries;
    if (IsRejected()) {
      bound_.OnExtra(now_);
      At(now_ + settings_.reject, [=, this] {
        if (Lives(*request)) {
          BudgetOf(*request).Charge(kService, reserved);
          Prefill(request);
        }
      });
      return;
    }
    At(now_ + kRejectionWindow, [=, this] {
      if (Lives(*request)) {
        BudgetOf(*request).Release(kService, reserved, now_);
      }
    });
    At(now_ + settings_.prefill, [=, this] {
      request->prefilled = true;
      Send(request);
    });
  }

  void Send(const std::shared_ptr<Request>& request) {
    if (!Lives(*request) || !IsRejected()) {
      return;
    }
    ++request->rejections;
    if (request->rejections > kMaxRejections) {
      return;
    }
    // The prompt has to be prefilled again.
    const int arrivals = request->prefilled ? 2 : 1;
    Reserve(
        request, arrivals, ArrivalPurpose::kRetry, now_ + kBudgetTimeout,
        [=, this](ReservedArrivals reserved) {
          BudgetOf(*request).Charge(kService, reserved);
          for (int i = 0; i < arrivals; ++i) {
            bound_.OnExtra(now_);
          }
          Send(request);
        },
        [this] { ++result_.retries_denied; });
  }

  void RequestLoan(std::size_t i, double missing) {
    Instance& self = instances_[i];
    if (now_ < self.asked_at + self.ask_interval) {
      return;
    }
    self.ask_interval = self.answered
                            ? kMinLoanInterval
                            : std::min(2 * self.ask_interval, kMaxLoanInterval);
    self.answered = false;
    self.asked_at = now_;
    const std::size_t n = instances_.size();
    const std::size_t group = std::min(n, kMaxGroup);
    const std::size_t first = i / group * group;
    for (std::size_t k = 0; k < kLenders && n > 1; ++k) {
      const std::size_t lender =
          std::min(first + base::UniformBelow(random_, group), n - 1);
      if (lender != i && instances_[lender].up) {
        Lend(lender, i, missing);
      }
    }
  }

  void Lend(std::size_t from, std::size_t to, double missing) {
    const double lent = instances_[from].budget->Lend(
        kService, missing, settings_.instances, now_);
    if (lent <= 0) {
      return;
    }
    At(now_ + kLoanDelay,
       [this, to, lent, asked_at = now_, lifetime = instances_[to].lifetime] {
         if (instances_[to].up && instances_[to].lifetime == lifetime) {
           instances_[to].answered = true;
           instances_[to].budget->Borrow(kService, lent, asked_at);
         }
       });
  }

  const RetryFleetSettings settings_;
  const base::RandomSource random_;
  RetryBound bound_;
  std::vector<Instance> instances_;
  double total_weight_ = 0;
  std::multimap<base::Time, std::function<void()>> events_;
  base::Time now_ = kStart;
  RetryFleetResult result_;
};

}  // namespace

RetryFleetResult RunRetryFleet(const RetryFleetSettings& settings) {
  return Fleet(settings).Run();
}

}  // namespace lynxglade::bench
