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
  // All but the runners, which the actor makes from the pools.
  CoordinatorDependencies dependencies;
  // Outlive the actor.
  CallPool* store_pool = nullptr;
  CallPool* engine_pool = nullptr;
  base::Snapshot<ShardStatus>* status = nullptr;
  // Fulfilled when the lease is given back and nothing is under way.
  std::shared_ptr<std::promise<void>> stopped;
};

// Starts the actor; it ends by itself after StopOrderActor().
caf::actor SpawnOrderActor(caf::actor_system& system,
                           OrderActorOptions options);

// Asks it to give the lease back and to end. Returns at once.
void StopOrderActor(const caf::actor& actor);

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_ORDER_ACTOR_H_
