#include "process/order_actor.h"

#include <utility>

#include <caf/atom.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/send.hpp>
#include <caf/stateful_actor.hpp>

namespace lynxglade::process {

namespace {

using TickAtom = caf::atom_constant<caf::atom("tick")>;
using StopAtom = caf::atom_constant<caf::atom("stop")>;

}  // namespace

// Passes a completion from a pool thread to the actor, within the process only.
struct CompletionMessage {
  Completion run;
};

}  // namespace lynxglade::process

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lynxglade::process::CompletionMessage)

namespace lynxglade::process {

namespace {

struct OrderActorState {
  std::unique_ptr<OrderCoordinator> coordinator;
};

using OrderActor = caf::stateful_actor<OrderActorState>;

CallRunner MakeRunner(OrderActor* self, CallPool* pool) {
  const auto actor = caf::actor_cast<caf::actor>(self);
  return [actor, pool](BlockingCall call) {
    pool->Run([actor, call = std::move(call)] {
      caf::anon_send(actor, CompletionMessage{call()});
    });
  };
}

caf::behavior RunOrders(OrderActor* self, OrderActorOptions options) {
  options.dependencies.run_store = MakeRunner(self, options.store_pool);
  options.dependencies.run_engine = MakeRunner(self, options.engine_pool);
  self->state.coordinator = std::make_unique<OrderCoordinator>(
      options.instance, options.zone, options.shard, options.settings,
      std::move(options.dependencies));
  const base::Duration tick = options.settings.tick;
  self->send(self, TickAtom::value);
  return {
      [self, tick, status = options.status,
       stopped = options.stopped](TickAtom) {
        OrderCoordinator& coordinator = *self->state.coordinator;
        coordinator.Tick();
        status->Set(coordinator.Status());
        if (!coordinator.stopped()) {
          self->delayed_send(self, tick, TickAtom::value);
          return;
        }
        // Destroys the runners, which hold references to this actor.
        self->state.coordinator.reset();
        stopped->set_value();
        self->quit();
      },
      [self](StopAtom) { self->state.coordinator->BeginStop(); },
      [](const CompletionMessage& message) { message.run(); },
  };
}

}  // namespace

caf::actor SpawnOrderActor(caf::actor_system& system,
                           OrderActorOptions options) {
  return system.spawn(RunOrders, std::move(options));
}

void StopOrderActor(const caf::actor& actor) {
  caf::anon_send(actor, StopAtom::value);
}

}  // namespace lynxglade::process
