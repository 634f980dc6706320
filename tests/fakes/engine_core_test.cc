#include "fakes/engine_core.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <tuple>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::fakes {
namespace {

constexpr base::Duration kTick = std::chrono::milliseconds(2);
constexpr base::Duration kChange = std::chrono::seconds(2);

EngineSetup Setup(request::EngineRole role) {
  return {role, "m", "v1", {}};
}

EngineOrder OrderOf(std::int64_t fence,
                    std::int64_t generation,
                    request::EngineRole role,
                    bool draining = false) {
  EngineOrder order;
  order.fence = base::FencingToken(fence);
  order.generation = base::Generation(generation);
  order.target = Setup(role);
  order.draining = draining;
  return order;
}

using request::EngineRole;

// Engines on a manual clock.
struct Fleet {
  base::Time now{std::chrono::seconds(1000)};
  KvBlocks blocks{[this] { return now; }, std::chrono::seconds(30)};
  EngineCore a{Settings("a"), [this] { return now; }, base::SeededRandom(1),
               blocks};
  EngineCore b{Settings("b"), [this] { return now; }, base::SeededRandom(2),
               blocks};

  static EngineSettings Settings(const std::string& id) {
    EngineSettings settings;
    settings.id = id;
    settings.orders.initial = Setup(EngineRole::kMixed);
    settings.orders.change_time = kChange;
    settings.load_lag = std::chrono::seconds(1);
    settings.event_lag = std::chrono::seconds(1);
    settings.event_loss = 0.5;
    return settings;
  }

  void Pass(base::Duration d) {
    for (base::Duration passed{}; passed < d; passed += kTick) {
      now += kTick;
      a.Tick();
      b.Tick();
    }
  }
};

ChatRequest Chat(std::int64_t max_tokens, std::int64_t resume_from = 0) {
  std::string why;
  ChatRequest chat = *ParseChatBody(
      R"({"messages":[{"role":"user","content":"restore this scan"}]})", &why);
  chat.attempt_id = std::to_string(resume_from);
  chat.max_tokens = max_tokens;
  chat.resume_from = resume_from;
  return chat;
}

std::string PhaseOf(const EngineCore& core, std::size_t run) {
  return core.RunsJson()[run]["phase"];
}

// An engine crashes in mid-stream; the stream resumed on another engine yields
// each remaining token exactly once.
RC_GTEST_PROP(EngineCoreTest, ResumedResponseContinuesTheSameText, ()) {
  const auto total = *rc::gen::inRange<std::int64_t>(2, 60);
  const auto cut = *rc::gen::inRange<std::int64_t>(1, total);
  Fleet fleet;
  fleet.a.ApplyFaults({{"crash_after_tokens", cut}});
  EngineRefusal refusal;
  const ChatRequest chat = Chat(total);
  const SessionPtr first = fleet.a.Begin(chat, &refusal);
  fleet.Pass(std::chrono::seconds(2));
  const std::int64_t got = fleet.a.Await(*first, 0, {});
  RC_ASSERT(got == cut);
  const auto plan = fleet.a.TakeCrash();
  RC_ASSERT(plan.has_value());
  fleet.a.Crash(*plan);
  RC_ASSERT(PhaseOf(fleet.a, 0) == "crashed");

  const SessionPtr second = fleet.b.Begin(Chat(total, got), &refusal);
  fleet.Pass(std::chrono::seconds(2));
  RunState end_state = RunState::kStarted;
  RC_ASSERT(fleet.b.Ended(*second, &end_state));
  RC_ASSERT(end_state == RunState::kFinished);
  const std::int64_t end = fleet.b.Await(*second, got, {});
  RC_ASSERT(AnswerText(chat.prompt_hash, 0, got) +
                AnswerText(chat.prompt_hash, got, end) ==
            AnswerText(chat.prompt_hash, 0, total));
}

TEST(EngineCoreTest, RefusedWorkNeverRunsAndCancelledWorkStops) {
  Fleet fleet;
  EngineRefusal refusal;
  ChatRequest other = Chat(4);
  other.model = "unknown";
  EXPECT_FALSE(fleet.a.Begin(other, &refusal));
  EXPECT_EQ(refusal.code, "not_loaded");
  fleet.a.Order(OrderOf(1, 1, EngineRole::kMixed, true));
  EXPECT_FALSE(fleet.a.Begin(Chat(4), &refusal));
  EXPECT_EQ(refusal.code, "draining");
  EXPECT_TRUE(fleet.a.RunsJson().empty());
  EXPECT_EQ(fleet.a.RefusalsJson().size(), 2u);

  const SessionPtr run = fleet.b.Begin(Chat(1000), &refusal);
  fleet.Pass(std::chrono::milliseconds(500));
  EXPECT_TRUE(fleet.b.Cancel(run->attempt_id));
  const auto generated = fleet.b.RunsJson()[0]["generated"];
  fleet.Pass(std::chrono::milliseconds(500));
  EXPECT_EQ(fleet.b.RunsJson()[0]["generated"], generated);
  EXPECT_EQ(PhaseOf(fleet.b, 0), "cancelled");
  EXPECT_EQ(fleet.b.StateJson()["in_flight"], 0);
}

TEST(EngineCoreTest,
     ChangeIsRejectedWhileRunsAreInFlightAndTakesEngineOutOfService) {
  Fleet fleet;
  EngineRefusal refusal;
  const SessionPtr run = fleet.a.Begin(Chat(10), &refusal);
  const EngineOrder order = OrderOf(1, 1, EngineRole::kDecode);
  EXPECT_EQ(fleet.a.Order(order), OrderVerdict::kInFlight);
  fleet.a.End(*run, RunState::kCancelled);
  EXPECT_EQ(fleet.a.Order(order), OrderVerdict::kStarted);
  EXPECT_FALSE(fleet.a.Begin(Chat(10), &refusal));
  EXPECT_EQ(refusal.code, "changing");
  EXPECT_EQ(fleet.a.Order(OrderOf(2, 2, EngineRole::kPrefill)),
            OrderVerdict::kBusy);
  // The same order repeated by the next holder does not start another change.
  EXPECT_EQ(fleet.a.Order(OrderOf(2, 1, EngineRole::kDecode)),
            OrderVerdict::kStarted);
  fleet.Pass(kChange);
  EXPECT_EQ(fleet.a.StateJson()["role"], "decode");
  EXPECT_TRUE(fleet.a.Begin(Chat(10), &refusal));
  EXPECT_TRUE(fleet.a.OrdersJson()[1]["in_effect_ms"].is_number());
}

TEST(EngineCoreTest,
     CrashDuringOrderLeavesHalfChangedEngineThatSameOrderRepairs) {
  Fleet fleet;
  fleet.a.ApplyFaults(
      {{"crash_on_order", {{"half_changed", true}, {"after_ms", 100}}}});
  EngineOrder order = OrderOf(1, 1, EngineRole::kDecode);
  order.target.version = "v2";
  fleet.a.Order(order);
  fleet.Pass(std::chrono::milliseconds(200));
  fleet.a.Crash(*fleet.a.TakeCrash());
  EXPECT_EQ(fleet.a.StateJson()["phase"], "half_changed");
  EXPECT_EQ(fleet.a.StateJson()["role"], "decode");
  EXPECT_EQ(fleet.a.StateJson()["version"], "v1");
  EngineRefusal refusal;
  EXPECT_FALSE(fleet.a.Begin(Chat(1), &refusal));
  EXPECT_EQ(fleet.a.Order(order), OrderVerdict::kStarted);
  fleet.Pass(kChange);
  EXPECT_EQ(fleet.a.StateJson()["version"], "v2");
  EXPECT_EQ(fleet.a.OrdersJson()[0]["interrupted"], true);
}

struct SentOrder {
  EngineOrder order;
  int in_flight = 0;
};

rc::Gen<SentOrder> AnyOrder() {
  return rc::gen::apply(
      [](int fence, int generation, bool draining, bool decode, int in_flight) {
        const EngineRole role =
            decode ? EngineRole::kDecode : EngineRole::kMixed;
        return SentOrder{OrderOf(fence, generation, role, draining), in_flight};
      },
      rc::gen::inRange(1, 6), rc::gen::inRange(1, 6),
      rc::gen::arbitrary<bool>(), rc::gen::arbitrary<bool>(),
      rc::gen::inRange(0, 2));
}

// Orders of several holders in random sequence, some rejected for other
// reasons: a fenced engine never applies an order with a fence lower than the
// highest seen, which includes fences of rejected orders; an unfenced engine
// never rejects an order for its fence. Rejected orders change nothing.
RC_GTEST_PROP(EngineOrdersTest, StaleFencesHaveNoEffect, (bool fenced)) {
  EngineOrders::Settings settings;
  settings.initial = Setup(EngineRole::kMixed);
  settings.fenced = fenced;
  settings.change_time = kTick;
  EngineOrders orders(settings);
  base::Time now{};
  base::FencingToken highest;
  for (const auto& [order, in_flight] :
       *rc::gen::container<std::vector<SentOrder>>(AnyOrder())) {
    const auto before = std::tuple(orders.draining(), orders.desired(),
                                   orders.generation(), orders.fence());
    const OrderVerdict verdict = orders.Handle(order, in_flight, now);
    RC_ASSERT((verdict == OrderVerdict::kStaleFence) ==
              (fenced && order.fence < highest));
    const auto after = std::tuple(orders.draining(), orders.desired(),
                                  orders.generation(), orders.fence());
    const auto ordered =
        std::tuple(order.draining, order.target, order.generation, order.fence);
    RC_ASSERT(after == (IsAccepted(verdict) ? ordered : before));
    highest = std::max(highest, order.fence);
    now += *rc::gen::element(base::Duration{}, kTick);
    orders.Advance(now);
  }
}

TEST(EngineCoreTest, ImportNeedsABlockThatStillExists) {
  Fleet fleet;
  EngineRefusal refusal;
  ChatRequest chat = Chat(2);
  const nlohmann::json params = fleet.a.ExportKv(chat);
  chat.imports_kv = params["do_remote_prefill"];
  chat.remote_engine = params["remote_engine"];
  chat.remote_block = params["remote_block_id"];
  fleet.b.Begin(chat, &refusal);
  fleet.a.Crash({});
  fleet.b.Begin(chat, &refusal);
  EXPECT_EQ(fleet.b.RunsJson()[0]["kv_imported"], true);
  EXPECT_EQ(fleet.b.RunsJson()[1]["kv_imported"], false);
}

TEST(EngineCoreTest, LoadReportsLagAndCacheEventsHaveGaps) {
  Fleet fleet;
  EngineRefusal refusal;
  fleet.Pass(std::chrono::seconds(2));
  fleet.a.Begin(Chat(1000), &refusal);
  fleet.Pass(std::chrono::milliseconds(500));
  EXPECT_EQ(fleet.a.LoadJson()["running"], 0);
  fleet.Pass(std::chrono::milliseconds(700));
  EXPECT_EQ(fleet.a.LoadJson()["running"], 1);

  for (int i = 0; i < 40; ++i) {
    ChatRequest chat = Chat(1);
    chat.prompt = std::string(256, 'p');
    chat.prefix_hint = std::to_string(i);
    fleet.b.Begin(chat, &refusal);
  }
  fleet.Pass(std::chrono::milliseconds(500));
  EXPECT_TRUE(fleet.b.EventsJson(0)["events"].empty());
  fleet.Pass(std::chrono::seconds(1));
  const nlohmann::json late = fleet.b.EventsJson(0);
  EXPECT_EQ(late["gap"], true);
  EXPECT_GT(late["events"].size(), 5u);
  EXPECT_LT(late["events"].size(), 35u);
  EXPECT_TRUE(fleet.b.EventsJson(late["next"])["events"].empty());
}

}  // namespace
}  // namespace lynxglade::fakes
