#include "request/admission_model.h"

#include <cmath>
#include <functional>
#include <queue>
#include <utility>

#include "base/hash.h"
#include "base/random.h"

namespace lynxglade::request {

namespace {

double Seconds(base::Duration d) {
  return std::chrono::duration<double>(d).count();
}

base::Duration FromSeconds(double s) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(s));
}

struct Event {
  base::Time at;
  std::uint64_t order;
  std::function<void()> run;
  bool operator>(const Event& other) const {
    return std::pair(at, order) > std::pair(other.at, other.order);
  }
};

struct ModelRequest {
  std::string contract;
  double work = 0;
  Cost actual;
  double worth = 0;
  base::Time deadline{};
};

class Model {
 public:
  explicit Model(const AdmissionModelOptions& options)
      : options_(options),
        now_(base::Time() + std::chrono::hours(1)),
        end_(now_ + options.run_for) {
    queue_.SetCapacity({options.concurrency, options.rates});
    std::map<base::ContractId, double> shares;
    for (const ModelContract& it : options.contracts) {
      shares[FlowOf(it.name)] += it.share;
      // A separate source per contract, so that its requests do not depend on
      // the other contracts.
      random_.push_back(base::SeededRandom(options.seed * 1000 +
                                           base::Hash64(it.name) % 1000));
    }
    queue_.SetShares(std::move(shares));
  }

  AdmissionModelResult Run() {
    for (std::size_t i = 0; i < options_.contracts.size(); ++i) {
      At(now_ + NextGap(i), [this, i] { Arrive(i); });
    }
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
      Dispatch();
    }
    return result_;
  }

 private:
  void At(base::Time at, std::function<void()> run) {
    events_.push({at, next_order_++, std::move(run)});
  }

  base::ContractId FlowOf(const std::string& contract) const {
    return base::ContractId(options_.fair ? contract : "all");
  }

  double MeanWork() const {
    return Seconds(options_.run_time) / options_.concurrency;
  }

  base::Duration NextGap(std::size_t i) {
    const double mean = MeanWork() / options_.contracts[i].load;
    return FromSeconds(-mean * std::log(1 - base::UniformReal(random_[i])));
  }

  Cost CostOf(double work, double prefill_part) const {
    return {
        base::Tokens(static_cast<std::int64_t>(
            work * prefill_part * options_.rates.prefill_tokens_per_s)),
        base::Tokens(static_cast<std::int64_t>(
            work * (1 - prefill_part) * options_.rates.decode_tokens_per_s))};
  }

  void Arrive(std::size_t i) {
    const base::RandomSource& random = random_[i];
    const ModelContract& contract = options_.contracts[i];
    const base::Time next = now_ + NextGap(i);
    if (next < end_) {
      At(next, [this, i] { Arrive(i); });
    }
    ModelRequest request;
    request.contract = contract.name;
    request.work = MeanWork() * (0.5 + base::UniformReal(random));
    request.actual = CostOf(request.work, contract.prefill_part);
    request.worth = contract.worth;
    request.deadline = now_ + contract.deadline;
    const double off =
        std::pow(options_.estimate_error, 2 * base::UniformReal(random) - 1);
    const QueueItem item{FlowOf(contract.name), Priority(5),
                         base::Worth(request.worth), request.deadline,
                         CostOf(request.work * off, contract.prefill_part)};
    ContractResult& result = result_.contracts[contract.name];
    ++result.offered;
    result.offered_worth += request.worth;
    Refusal refusal;
    std::vector<DroppedRequest> dropped;
    const auto id = queue_.Enqueue(item, now_, &refusal, &dropped);
    if (id) {
      requests_.emplace(*id, request);
    } else {
      ++result.refused[std::string(ToString(refusal.reason))];
    }
    CountRefused(dropped);
  }

  void CountRefused(const std::vector<DroppedRequest>& dropped) {
    for (const DroppedRequest& it : dropped) {
      const ModelRequest& request = requests_.at(it.id);
      ++result_.contracts[request.contract]
            .refused[std::string(ToString(it.refusal.reason))];
      requests_.erase(it.id);
    }
  }

  void Dispatch() {
    std::vector<DroppedRequest> dropped;
    queue_.Expire(now_, &dropped);
    CountRefused(dropped);
    while (const auto id = queue_.Dequeue(now_)) {
      const ModelRequest request = requests_.at(*id);
      requests_.erase(*id);
      const base::Time done =
          now_ + FromSeconds(request.work * options_.concurrency);
      At(done, [this, request, id] { Finish(*id, request); });
    }
    if (queue_.waiting() > 0 && queue_.running() < options_.concurrency) {
      ++result_.idle_while_waiting;
    }
  }

  void Finish(EntryId id, const ModelRequest& request) {
    queue_.Complete(id, request.actual, now_);
    ContractResult& result = result_.contracts[request.contract];
    result.work += request.work;
    if (now_ > request.deadline) {
      ++result.late;
      return;
    }
    ++result.in_time;
    result.goodput += request.worth;
  }

  const AdmissionModelOptions options_;
  base::Time now_;
  base::Time end_;
  std::vector<base::RandomSource> random_;
  FairQueue queue_;
  std::map<EntryId, ModelRequest> requests_;
  std::uint64_t next_order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  AdmissionModelResult result_;
};

}  // namespace

AdmissionModelResult RunAdmissionModel(const AdmissionModelOptions& options) {
  return Model(options).Run();
}

}  // namespace lynxglade::request
