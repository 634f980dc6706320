// Random interleavings of holders, faults and requests. OrderWorld checks the
// invariants whenever an engine accepts an order.

#include <tuple>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "process/order_world.h"

namespace lynxglade::process {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class ActionKind {
  kTick,
  kCall,
  kComplete,
  kRunAll,
  kShortTime,
  kLongTime,
  kNearExpiry,
  kReplace,
  kWriteOutcome,
  kOrderOutcome,
  kApplyLateWrites,
  kDeliverDelayed,
  kStartRequest,
  kEndRequest,
  kCrash,
  kOutage,
  kNewModel,
};

struct Action {
  ActionKind kind = ActionKind::kTick;
  unsigned arg = 0;
};

std::ostream& operator<<(std::ostream& out, const Action& action) {
  return out << static_cast<int>(action.kind) << ":" << action.arg;
}

rc::Gen<Action> AnyAction() {
  return rc::gen::map(rc::gen::pair(rc::gen::weightedElement<ActionKind>(
                                        {{8, ActionKind::kTick},
                                         {14, ActionKind::kCall},
                                         {14, ActionKind::kComplete},
                                         {12, ActionKind::kRunAll},
                                         {14, ActionKind::kShortTime},
                                         {2, ActionKind::kLongTime},
                                         {3, ActionKind::kNearExpiry},
                                         {1, ActionKind::kReplace},
                                         {3, ActionKind::kWriteOutcome},
                                         {4, ActionKind::kOrderOutcome},
                                         {3, ActionKind::kApplyLateWrites},
                                         {4, ActionKind::kDeliverDelayed},
                                         {4, ActionKind::kStartRequest},
                                         {6, ActionKind::kEndRequest},
                                         {2, ActionKind::kCrash},
                                         {6, ActionKind::kOutage},
                                         {4, ActionKind::kNewModel}}),
                                    rc::gen::inRange(0u, 1000u)),
                      [](const std::pair<ActionKind, unsigned>& it) {
                        return Action{it.first, it.second};
                      });
}

void Apply(const Action& action, std::size_t holders, OrderWorld* world) {
  const unsigned arg = action.arg;
  const std::size_t holder = arg % holders;
  const std::size_t engine = arg % world->engines().size();
  constexpr int kWriteOutcomes = 5;
  constexpr int kOrderOutcomes = 3;
  switch (action.kind) {
    case ActionKind::kTick:
      return world->TickHolder(holder);
    case ActionKind::kCall:
      return world->RunCall(holder, arg / holders);
    case ActionKind::kComplete:
      return world->Complete(holder, arg / holders);
    case ActionKind::kRunAll:
      return world->RunAll();
    case ActionKind::kShortTime:
      return world->Advance(milliseconds(arg));
    case ActionKind::kLongTime:
      return world->Advance(seconds(arg % 60));
    case ActionKind::kNearExpiry:
      return world->ApproachExpiry(milliseconds(arg * 8) - seconds(2));
    case ActionKind::kReplace:
      return world->Replace(holder);
    case ActionKind::kWriteOutcome:
      world->store().outcomes.push_back(
          static_cast<WriteOutcome>(arg % kWriteOutcomes));
      return;
    case ActionKind::kOrderOutcome:
      world->order_outcomes.push_back(
          static_cast<OrderOutcome>(arg % kOrderOutcomes));
      return;
    case ActionKind::kApplyLateWrites:
      return world->store().ApplyLateWrites();
    case ActionKind::kDeliverDelayed:
      return world->DeliverDelayedOrders();
    case ActionKind::kStartRequest:
      return world->StartRequest(engine);
    case ActionKind::kEndRequest:
      return world->EndRequest(engine);
    case ActionKind::kCrash:
      world->Crash(engine, arg % 2 == 0);
      // After a crash the engine is no longer draining and accepts work at
      // once.
      return world->StartRequest(engine);
    case ActionKind::kOutage:
      world->store().down = arg % 4 == 0;
      return;
    case ActionKind::kNewModel:
      return world->SetModel(std::to_string(1 + arg % 3));
  }
}

// Ends all faults and runs the holders until every engine is in its desired
// state.
bool SettlesWithin(base::Duration limit, OrderWorld* world) {
  world->store().down = false;
  world->store().outcomes.clear();
  world->order_outcomes.clear();
  for (base::Duration spent{}; spent < limit; spent += milliseconds(250)) {
    world->Advance(milliseconds(250));
    world->DeliverDelayedOrders();
    world->store().ApplyLateWrites();
    for (std::size_t i = 0; i < world->engines().size(); ++i) {
      world->EndRequest(i);
    }
    world->RunAll();
    if (spent == limit / 2) {
      // Restart isolated engines, as an operator would.
      for (std::size_t i = 0; i < world->engines().size(); ++i) {
        world->Crash(i, false);
      }
    }
    if (world->Settled()) {
      return true;
    }
  }
  return false;
}

RC_GTEST_PROP(OrderInterleavingTest,
              OrdersNeedAValidLeaseAndEnginesConverge,
              ()) {
  constexpr int kActions = 400;
  OrderWorld::Options options;
  options.zones = *rc::gen::inRange(1, 3);
  options.holders = *rc::gen::inRange(2, 5);
  options.fenced = *rc::gen::inRange(0, 3);
  options.unfenced = 2;
  const auto actions =
      *rc::gen::container<std::vector<Action>>(kActions, AnyAction());
  OrderWorld world(options);
  world.SetModel("2");
  for (const Action& action : actions) {
    Apply(action, static_cast<std::size_t>(options.holders), &world);
    if (!world.violation().empty()) {
      RC_FAIL(world.violation());
    }
  }
  const bool settled = SettlesWithin(std::chrono::minutes(20), &world);
  if (!world.violation().empty()) {
    RC_FAIL(world.violation());
  }
  RC_ASSERT(settled);
  RC_TAG(world.late_orders > 0, world.accepted_orders > 4);
}

// Runs one holder for `time` while the others are paused.
void RunAlone(std::size_t holder, base::Duration time, OrderWorld* world) {
  for (base::Duration spent{}; spent < time; spent += milliseconds(250)) {
    world->Advance(milliseconds(250));
    world->Run(holder);
  }
}

// A holder pauses between its last check and its write, the next holder changes
// the engine, and then the delayed order arrives.
std::string DelayedOrderViolation(bool fenced, bool connections_end) {
  OrderWorld::Options options;
  options.fenced = fenced ? 1 : 0;
  options.unfenced = fenced ? 0 : 1;
  options.connections_end = connections_end;
  OrderWorld world(options);
  RunAlone(0, seconds(5), &world);
  world.order_outcomes.push_back(OrderOutcome::kDelayed);
  world.SetModel("2");
  RunAlone(0, seconds(1), &world);
  EXPECT_EQ(world.accepted_orders, 0);
  RunAlone(1, std::chrono::minutes(3), &world);
  EXPECT_TRUE(world.Settled());
  EXPECT_GT(world.accepted_orders, 0);
  world.DeliverDelayedOrders();
  world.RunAll();
  return world.violation();
}

TEST(OrderAuthorityTest, ClosedConnectionDropsDelayedOrder) {
  EXPECT_EQ(DelayedOrderViolation(/*fenced=*/false, /*connections_end=*/true),
            "");
  EXPECT_EQ(DelayedOrderViolation(/*fenced=*/true, /*connections_end=*/true),
            "");
}

TEST(OrderAuthorityTest, FencedEngineRejectsDelayedOrderWithoutIdleTimeout) {
  EXPECT_EQ(DelayedOrderViolation(/*fenced=*/true, /*connections_end=*/false),
            "");
}

// A drain order is delayed on its connection, sent again and observed. The next
// order has to wait until the delayed copy has arrived or its connection
// closed.
TEST(OrderAuthorityTest, DifferentOrderWaitsForDelayedCopies) {
  OrderWorld::Options options;
  options.fenced = 0;
  options.unfenced = 1;
  OrderWorld world(options);
  RunAlone(0, seconds(5), &world);
  world.order_outcomes.push_back(OrderOutcome::kDelayed);
  world.SetModel("2");
  RunAlone(0, seconds(4), &world);
  EXPECT_EQ(world.accepted_orders, 1);
  RunAlone(0, seconds(30), &world);
  world.DeliverDelayedOrders();
  EXPECT_TRUE(world.Settled());
  EXPECT_EQ(world.accepted_orders, 3);
  EXPECT_EQ(world.violation(), "");
}

// Known limit, see docs/notes/authority.md: an engine that accepts old fencing
// tokens and never closes idle connections can accept a late order.
TEST(OrderAuthorityTest, UnfencedEngineWithoutIdleTimeoutAcceptsDelayedOrder) {
  EXPECT_NE(DelayedOrderViolation(/*fenced=*/false, /*connections_end=*/false),
            "");
}

}  // namespace
}  // namespace lynxglade::process
