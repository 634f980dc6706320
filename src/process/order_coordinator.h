// Competes for the lease of one shard and, while holding it, drives the engines
// of the shard to their desired states.
//
// Single-threaded. Blocking calls go out through CallRunners; their completions
// must run on the thread that calls Tick().
#ifndef LYNXGLADE_PROCESS_ORDER_COORDINATOR_H_
#define LYNXGLADE_PROCESS_ORDER_COORDINATOR_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/time.h"
#include "process/engine_driver.h"
#include "process/fleet_status.h"
#include "process/order_hooks.h"

namespace lynxglade::process {

std::string LeaseKey(const base::ZoneId& zone, int shard);
// Key under which an operator's drain of a target is stored.
std::string DrainKey(const base::TargetId& target);
// Index of the shard that a target belongs to, in 0 to `shards` - 1.
int ShardOf(const base::TargetId& target, int shards);

struct CoordinatorDependencies {
  std::shared_ptr<const OrderStore> store;
  std::shared_ptr<const connection::EngineAdmin> admin;
  // For calls to the key-value service and to engines.
  CallRunner run_store;
  CallRunner run_engine;
  base::Clock clock;
  base::RandomSource random;
  // Must outlive the coordinator.
  base::Metrics* metrics = nullptr;
  OrderHooks hooks;
};

// Not thread-safe. Must not be destroyed before stopped() while calls are in
// flight.
class OrderCoordinator {
 public:
  OrderCoordinator(base::InstanceId instance,
                   base::ZoneId zone,
                   int shard,
                   const OrderSettings& settings,
                   CoordinatorDependencies dependencies);
  OrderCoordinator(const OrderCoordinator&) = delete;
  OrderCoordinator& operator=(const OrderCoordinator&) = delete;

  // Advances the lease and all engines. Call every OrderSettings::tick.
  void Tick();
  // Starts no new steps and releases the lease once the calls in flight have
  // returned. Continue to call Tick() until stopped().
  void BeginStop() noexcept { stopping_ = true; }

  bool stopped() const noexcept;
  ShardStatus Status() const;
  const ShardLease& lease() const noexcept { return lease_; }

 private:
  using Drivers = std::map<base::TargetId, std::unique_ptr<EngineDriver>>;

  void AdvanceLease();
  void MakeLeaseCall(const LeaseCall& call);
  // Resets the state of the shard when the lease was acquired or lost. Returns
  // false without the lease and while calls of the previous authority are in
  // flight.
  bool UpdateAuthority();
  void RefreshRows();
  void RefreshDrains(base::Time now);
  void RefreshPermits(base::Time now);
  void ApplyPermits(const std::vector<Permit>& permits, base::Time now);
  void ReleaseOrphan(const Permit& permit);
  void SetDesired();
  void SetCapacity();
  void SetLoadRate();
  void PublishChanges(base::Time now);
  void Publish(const EngineStatus& status, base::Time now);
  bool DriversBusy() const;

  ShardContext context_;
  const base::ZoneId zone_;
  const int shard_;
  const OrderHooks hooks_;
  ShardLease lease_;
  LoadRateLimiter load_limiter_;
  Drivers drivers_;
  // All known engines of all zones, and the plain targets of this shard.
  std::vector<EngineRow> rows_;
  std::vector<EngineRow> plain_rows_;
  std::optional<base::FencingToken> authority_;
  bool lease_call_in_flight_ = false;
  bool drains_call_in_flight_ = false;
  bool permits_call_in_flight_ = false;
  bool stopping_ = false;
  bool drains_loaded_ = false;
  std::set<base::TargetId> drains_;
  base::Time drains_due_{};
  bool permits_loaded_ = false;
  base::Time permits_due_{};
  // Since when a permit's engine has been missing from the list of engines, by
  // permit key.
  std::map<std::string, base::Time> orphans_;
  // Last published status by target, without members that change continuously.
  std::map<base::TargetId, std::string> last_published_;
  std::uint64_t publish_count_ = 0;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_ORDER_COORDINATOR_H_
