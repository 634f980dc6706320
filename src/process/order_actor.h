// The CAF actor that runs the OrderCoordinator of one shard.
#ifndef LYNXGLADE_PROCESS_ORDER_ACTOR_H_
#define LYNXGLADE_PROCESS_ORDER_ACTOR_H_

#include <functional>
#include <future>
#include <memory>

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>

#include "base/snapshot.h"
#include "process/call_pool.h"
#include "process/order_coordinator.h"

namespace lynxglade::process {

struct OrderActorOptions {
  base::InstanceId instance;
  base::ZoneId zone;
  int shard = 0;
  OrderSettings settings;
  // All except the runners, which the actor creates from the pools.
  CoordinatorDependencies dependencies;
  // Must outlive the actor.
  CallPool* store_pool = nullptr;
  CallPool* engine_pool = nullptr;
  base::Snapshot<ShardStatus>* status = nullptr;
  // Fulfilled when the lease is released and no call is in flight.
  std::shared_ptr<std::promise<void>> stopped;
};

// Starts the actor. It ends after StopOrderActor() once the lease is released.
caf::actor SpawnOrderActor(caf::actor_system& system,
                           OrderActorOptions options);

// Asks the actor to release the lease and end. Returns immediately.
void StopOrderActor(const caf::actor& actor);

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_ORDER_ACTOR_H_
