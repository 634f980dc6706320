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

struct Offer {
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
      shares[Line(it.name)] += it.share;
      // Each contract draws from its own source, so that its requests are the
      // same whoever else is there.
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
      Pump();
    }
    return result_;
  }

 private:
  void At(base::Time at, std::function<void()> run) {
    events_.push({at, next_order_++, std::move(run)});
  }

  base::ContractId Line(const std::string& contract) const {
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
    Offer offer;
    offer.contract = contract.name;
    offer.work = MeanWork() * (0.5 + base::UniformReal(random));
    offer.actual = CostOf(offer.work, contract.prefill_part);
    offer.worth = contract.worth;
    offer.deadline = now_ + contract.deadline;
    const double off =
        std::pow(options_.estimate_error, 2 * base::UniformReal(random) - 1);
    const QueueItem item{Line(contract.name), Priority(5),
                         base::Worth(offer.worth), offer.deadline,
                         CostOf(offer.work * off, contract.prefill_part)};
    ContractResult& result = result_.contracts[contract.name];
    ++result.offered;
    result.offered_worth += offer.worth;
    Refusal refusal;
    std::vector<DroppedRequest> dropped;
    const auto id = queue_.Enqueue(item, now_, &refusal, &dropped);
    if (id) {
      offers_.emplace(*id, offer);
    } else {
      ++result.refused[std::string(ToString(refusal.reason))];
    }
    Take(dropped);
  }

  void Take(const std::vector<DroppedRequest>& dropped) {
    for (const DroppedRequest& it : dropped) {
      const Offer& offer = offers_.at(it.id);
      ++result_.contracts[offer.contract]
            .refused[std::string(ToString(it.refusal.reason))];
      offers_.erase(it.id);
    }
  }

  void Pump() {
    std::vector<DroppedRequest> dropped;
    queue_.Expire(now_, &dropped);
    Take(dropped);
    while (const auto id = queue_.Dequeue(now_)) {
      const Offer offer = offers_.at(*id);
      offers_.erase(*id);
      const base::Time done =
          now_ + FromSeconds(offer.work * options_.concurrency);
      At(done, [this, offer, id] { Finish(*id, offer); });
    }
    if (queue_.waiting() > 0 && queue_.running() < options_.concurrency) {
      ++result_.idle_while_waiting;
    }
  }

  void Finish(EntryId id, const Offer& offer) {
    queue_.Complete(id, offer.actual, now_);
    ContractResult& result = result_.contracts[offer.contract];
    result.work += offer.work;
    if (now_ > offer.deadline) {
      ++result.late;
      return;
    }
    ++result.in_time;
    result.goodput += offer.worth;
  }

  const AdmissionModelOptions options_;
  base::Time now_;
  base::Time end_;
  std::vector<base::RandomSource> random_;
  FairQueue queue_;
  std::map<EntryId, Offer> offers_;
  std::uint64_t next_order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  AdmissionModelResult result_;
};

}  // namespace

AdmissionModelResult RunAdmissionModel(const AdmissionModelOptions& options) {
  return Model(options).Run();
}

}  // namespace lynxglade::request
