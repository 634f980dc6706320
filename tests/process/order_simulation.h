// Simulation for tests of orders: a key-value service, engines with the order
// model of the fake engine, and coordinators whose blocking calls and
// completions run when the test calls for it. Virtual time, single thread.
#ifndef LYNXGLADE_TESTS_PROCESS_ORDER_SIMULATION_H_
#define LYNXGLADE_TESTS_PROCESS_ORDER_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "base/random.h"
#include "fakes/engine_orders.h"
#include "process/order_coordinator.h"

namespace lynxglade::process {

// Outcome of the next write to the key-value service.
enum class WriteOutcome {
  kDone,
  kAnswerLost,
  kRequestLost,
  kLate,
  kUnreachable
};

// In-memory compare-and-swap store with leases.
class SimStore {
 public:
  explicit SimStore(base::Clock clock) : clock_(std::move(clock)) {}

  OrderStore Hooks();
  // Applies the writes whose senders timed out before they arrived.
  void ApplyLateWrites();
  std::optional<connection::KvEntry> Find(const std::string& key);
  void Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key) { entries_.erase(key); }
  // When the key is deleted unless its lease is renewed.
  std::optional<base::Time> ExpiryOf(const std::string& key);
  std::vector<connection::KvEntry> All(const std::string& prefix);

  std::deque<WriteOutcome> outcomes;
  bool down = false;
  // Called for every value that is stored.
  std::function<void(const std::string& key, const std::string& value)> on_put;

 private:
  struct Write {
    std::vector<connection::KvGuard> guards;
    std::vector<connection::KvWrite> writes;
  };

  void Expire();
  std::optional<connection::KvTxnResult> Apply(const Write& write);
  std::optional<connection::KvTxnResult> Commit(const Write& write,
                                                connection::KvError* error);

  base::Clock clock_;
  std::int64_t revision_ = 100;
  std::int64_t next_lease_ = 1;
  std::map<std::string, connection::KvEntry> entries_;
  struct Lease {
    base::Time expiry;
    base::Duration ttl;
  };
  std::map<std::int64_t, Lease> leases_;
  std::vector<Write> late_;
};

struct SimEngine {
  SimEngine(std::string name,
            bool fenced,
            fakes::EngineOrders::Settings settings)
      : id(std::move(name)), orders(std::move(settings)) {
    row.id = id;
    row.service = base::ServiceName("llm");
    row.endpoint.address = id.str();
    row.fenced = fenced;
  }

  base::TargetId id;
  EngineRow row;
  fakes::EngineOrders orders;
  int in_flight = 0;
  bool down = false;
};

// Outcome of the next order that is sent.
enum class OrderOutcome { kDone, kAnswerLost, kDelayed };

// An order whose sender is paused between its check and its write.
struct DelayedOrder {
  std::string engine;
  connection::EngineOrder order;
  base::Time connection_ends;
  std::int64_t incarnation = 0;
};

class OrderSimulation {
 public:
  struct Options {
    // Holders and engines are assigned to the zones round-robin.
    int zones = 1;
    int holders = 2;
    int fenced = 1;
    int unfenced = 2;
    base::Duration connection_bound = std::chrono::seconds(5);
    // Engines close idle connections after connection_bound.
    bool connections_end = true;
  };

  explicit OrderSimulation(Options options);

  // --- Actions of a schedule
  void Advance(base::Duration d);
  void TickHolder(std::size_t holder);
  // Calls run and complete in any order; `pick` selects one.
  void RunCall(std::size_t holder, std::size_t pick = 0);
  void Complete(std::size_t holder, std::size_t pick = 0);
  // Runs a tick of one holder, then calls and completions repeatedly.
  void Run(std::size_t holder);
  // Run() for all holders.
  void RunAll();
  // Makes the key-value service unreachable and advances time to `before` the
  // lease expires.
  void ApproachExpiry(base::Duration before);
  // Replaces a crashed instance by a new one.
  void Replace(std::size_t holder);
  void DeliverDelayedOrders();
  void StartRequest(std::size_t engine);
  void EndRequest(std::size_t engine);
  void Crash(std::size_t engine, bool half_changed);
  void SetModel(const std::string& version);

  // --- Results of the invariant checks
  // First invariant violation; empty if none.
  const std::string& violation() const noexcept { return violation_; }
  // Whether every engine is in its desired state and in service, and no permit
  // is held.
  bool Settled();

  SimStore& store() noexcept { return store_; }
  std::vector<std::unique_ptr<SimEngine>>& engines() noexcept {
    return engines_;
  }
  OrderCoordinator& holder(std::size_t n) { return *holders_[n]->coordinator; }
  std::deque<OrderOutcome> order_outcomes;
  int accepted_orders = 0;
  int late_orders = 0;

 private:
  struct Holder {
    base::ZoneId zone;
    std::deque<BlockingCall> calls;
    std::deque<Completion> completions;
    std::unique_ptr<OrderCoordinator> coordinator;
  };

  void Start(Holder& holder);
  base::ZoneId ZoneOf(std::size_t n) const;
  std::optional<connection::KvEntry> LeaseOf(const SimEngine& engine);
  connection::EngineAdmin Admin();
  SimEngine* FindUp(const std::string& id);
  connection::EngineState StateOf(const SimEngine& engine) const;
  connection::OrderAnswer Deliver(SimEngine& engine,
                                  const connection::EngineOrder& order);
  void CheckOrder(const SimEngine& engine,
                  const connection::EngineOrder& order);
  void CheckOutages();
  void CheckRecord(const std::string& key, const std::string& value);
  void Fail(const std::string& text);

  const Options options_;
  base::Time now_{std::chrono::hours(1)};
  SimStore store_;
  base::Metrics metrics_;
  base::RandomSource random_ = base::SeededRandom(7);
  std::shared_ptr<version::Configuration> configuration_;
  std::vector<std::unique_ptr<SimEngine>> engines_;
  std::vector<std::unique_ptr<Holder>> holders_;
  std::vector<DelayedOrder> delayed_;
  // Last accepted order, by engine.
  std::map<std::string, connection::EngineOrder> last_;
  int instances_ = 0;
  std::string violation_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_TESTS_PROCESS_ORDER_SIMULATION_H_
