// Holds the lease of one shard and, while it is held, drives the orders of the
// shard's engines.
//
// Single-threaded and without I/O of its own: blocking calls go out through a
// CallRunner and their completions must come back on the caller of Tick().
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

// Key of the lease of one shard of a zone.
std::string LeaseKey(const base::ZoneId& zone, int shard);
// Key under which an operator's drain of a target is kept.
std::string DrainKey(const base::TargetId& target);
// The shard of a zone that a target belongs to.
int ShardOf(const base::TargetId& target, int shards);

struct CoordinatorDependencies {
  std::shared_ptr<const OrderStore> store;
  std::shared_ptr<const connection::EngineAdmin> admin;
  // Calls to the key-value service, and to engines.
  CallRunner run_store;
  CallRunner run_engine;
  base::Clock clock;
  base::RandomSource random;
  // Must outlive the coordinator.
  base::Metrics* metrics = nullptr;
  OrderHooks hooks;
};

// Not thread-safe. Must live until stopped() when calls are under way.
class OrderCoordinator {
 public:
  OrderCoordinator(base::InstanceId instance,
                   base::ZoneId zone,
                   int shard,
                   const OrderSettings& settings,
                   CoordinatorDependencies dependencies);
  OrderCoordinator(const OrderCoordinator&) = delete;
  OrderCoordinator& operator=(const OrderCoordinator&) = delete;

  // Goes on with whatever is due. Call every OrderSettings::tick.
  void Tick();
  // Starts no further step; once those under way have ended, the lease is
  // given back. Tick() has to go on until stopped().
  void BeginStop() noexcept { stopping_ = true; }

  bool stopped() const noexcept;
  ShardStatus Status() const;
  const LeaseKeeper& lease() const noexcept { return lease_; }

 private:
  using Drivers = std::map<base::TargetId, std::unique_ptr<EngineDriver>>;

  void DriveLease();
  void MakeLeaseCall(const LeaseCall& call);
  // Starts afresh when the lease was taken, lost or taken again. False while
  // calls of an earlier authority are under way.
  bool FollowAuthority();
  void RefreshRows();
  void RefreshDrains(base::Time now);
  void RefreshPermits(base::Time now);
  void TakeOverPermits(const std::vector<Permit>& permits, base::Time now);
  void FreeOrphan(const Permit& permit);
  void SetDesired();
  void SetCapacity();
  void SetPace();
  void PublishChanges(base::Time now);
  void Publish(const EngineStatus& status, base::Time now);
  bool DriversBusy() const;

  ShardContext context_;
  const base::ZoneId zone_;
  const int shard_;
  const OrderHooks hooks_;
  LeaseKeeper lease_;
  LoadPacer pacer_;
  Drivers drivers_;
  // Every engine in view, and the plain targets of this shard.
  std::vector<EngineRow> rows_;
  std::vector<EngineRow> plain_rows_;
  std::optional<base::FencingToken> authority_;
  bool lease_call_ = false;
  bool drains_call_ = false;
  bool permits_call_ = false;
  bool stopping_ = false;
  bool drains_loaded_ = false;
  std::set<base::TargetId> drains_;
  base::Time drains_due_{};
  bool permits_loaded_ = false;
  base::Time permits_due_{};
  // Since when a permit's engine is in nobody's view, by key.
  std::map<std::string, base::Time> orphans_;
  // What was last told to the views, without what changes by itself.
  std::map<base::TargetId, std::string> published_;
  std::uint64_t publish_count_ = 0;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_ORDER_COORDINATOR_H_
