// First prefills of prompts and the retry budget, which limits the arrivals
// beyond the first of each request.
#include <chrono>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "platform/relay_fixture.h"

namespace lynxglade::platform {
namespace {

using connection::ScriptedServer;
using request::passthrough::ArrivalPurpose;
using request::passthrough::EngineStage;
using request::passthrough::SharedRetryBudgetOptions;
using Then = ScriptedServer::Then;

// An accepted first prefill does not count as an additional arrival, so it is
// charged only after a rejection. Engines that restart with another stage
// reject many prefills; these must not exceed the budget.
TEST_F(RelayTest, RejectedFirstPrefillsStayWithinTheBudget) {
  constexpr int kPrefillEngines = 80;
  constexpr int kRequests = 40;
  std::vector<ScriptedServer*> prefill_engines;
  for (int i = 0; i < kPrefillEngines; ++i) {
    prefill_engines.push_back(&AddTarget(NotRun, EngineStage::kPrefill));
  }
  AddTarget([](const std::string& request) {
    return Stream(request, 1, 2, Then::kKeep);
  });
  for (int i = 0; i < kRequests; ++i) {
    const std::string number = std::to_string(i);
    const std::string prompt =
        "Lynxglade-Model: m\r\nLynxglade-Token-Usage: 17020,13\r\n"
        "Lynxglade-Prefix-Hash: a" +
        number + ":13300,b" + number + ":3720\r\n";
    // Complete, or rejected once the retry budget is spent.
    const std::string answer = Call(Request("/stream/x", prompt, "r" + number));
    EXPECT_TRUE(IsStatus(answer, "200") || IsStatus(answer, "503"));
    EXPECT_TRUE(answer.ends_with("0\r\n\r\n"));
  }
  std::size_t rejected = 0;
  for (const ScriptedServer* prefill_engine : prefill_engines) {
    rejected += prefill_engine->requests().size();
  }
  const SharedRetryBudgetOptions bound;
  EXPECT_LE(static_cast<double>(rejected),
            bound.ratio * kRequests + bound.allowance);
}

// The instance has spent its part of the retry budget; a loan may arrive while
// a request waits for it.
class ExhaustedRetryBudgetTest : public RelayTest {
 protected:
  void ScheduleLoan() {
    timer_.expires_after(std::chrono::milliseconds(30));
    timer_.async_wait([this](const auto&) {
      retry_budget_.Borrow(kService, 1, base::BootClock::now());
    });
  }

  const base::ServiceName kService{"s"};
  connection::event::asio::steady_timer timer_{loop_};
};

TEST_F(ExhaustedRetryBudgetTest, AFirstPrefillWaitsForALoan) {
  options_.budget_timeout = std::chrono::seconds(20);
  const ScriptedServer& prefill_engine =
      AddTarget(PrefillDone, EngineStage::kPrefill);
  AddTarget([](const std::string& request) {
    return Stream(request, 1, 2, Then::kKeep);
  });
  ExhaustRetryBudget();
  ScheduleLoan();
  EXPECT_TRUE(Call(Request("/stream/x", kPromptLines)).ends_with("0\r\n\r\n"));
  EXPECT_EQ(prefill_engine.requests().size(), 1U);
  // It was accepted, so the loan was not spent.
  EXPECT_TRUE(
      retry_budget_.TryReserve(kService, 1, ArrivalPurpose::kFirstPrefill,
                               /*instances=*/1, base::BootClock::now()));
}

TEST_F(ExhaustedRetryBudgetTest, ARetryWaitsForALoan) {
  options_.budget_timeout = std::chrono::seconds(20);
  bool rejected = false;
  const auto once = [&rejected](const std::string& request) {
    return std::exchange(rejected, true) ? Ok(request) : NotRun(request);
  };
  AddTarget(once);
  AddTarget(once);
  ExhaustRetryBudget();
  ScheduleLoan();
  EXPECT_TRUE(IsStatus(Call(Request("/unsafe/x")), "200"));
}

// Guards against callers that leave early and use up the retry budget: the
// first arrival of a request does not count if no other one follows.
TEST_F(ExhaustedRetryBudgetTest, AnUnansweredFirstPrefillAloneIsNotCharged) {
  const ScriptedServer& prefill_engine = AddTarget(
      [](const std::string&) { return ScriptedServer::Reply{"", Then::kHang}; },
      EngineStage::kPrefill);
  AddTarget([](const std::string& request) {
    return Stream(request, 1, 2, Then::kKeep);
  });
  std::string request = Request("/stream/x", kPromptLines);
  constexpr std::string_view kTimeout = "5000";
  request.replace(request.find(kTimeout), kTimeout.size(), "300");
  EXPECT_FALSE(IsStatus(Call(request), "200"));
  EXPECT_EQ(prefill_engine.requests().size(), 1U);
  EXPECT_EQ(retry_budget_.Use(kService, 1, base::BootClock::now()).spent, 0);
}

// Prefilling a long prompt on a decode engine would delay that engine's
// streams.
TEST_F(ExhaustedRetryBudgetTest, WithoutALoanALongPromptIsRejected) {
  options_.budget_timeout = base::Duration::zero();
  const ScriptedServer& prefill_engine =
      AddTarget(PrefillDone, EngineStage::kPrefill);
  const ScriptedServer& decode_engine =
      AddTarget([](const std::string& request) {
        return Stream(request, 1, 2, Then::kKeep);
      });
  ExhaustRetryBudget();
  const std::string answer = Call(Request("/stream/x", kPromptLines));
  EXPECT_TRUE(IsStatus(answer, "503"));
  EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
  EXPECT_EQ(prefill_engine.requests().size(), 0U);
  EXPECT_EQ(decode_engine.requests().size(), 0U);
}

TEST_F(ExhaustedRetryBudgetTest,
       WithoutALoanAShortPromptIsPrefilledByTheDecodeEngine) {
  options_.budget_timeout = base::Duration::zero();
  const ScriptedServer& prefill_engine =
      AddTarget(PrefillDone, EngineStage::kPrefill);
  const ScriptedServer& decode_engine =
      AddTarget([](const std::string& request) {
        return Stream(request, 1, 2, Then::kKeep);
      });
  ExhaustRetryBudget();
  const std::string lines =
      "Lynxglade-Model: m\r\nLynxglade-Token-Usage: 900,13\r\n"
      "Lynxglade-Prefix-Hash: aa:500,bb:400\r\n";
  EXPECT_TRUE(Call(Request("/stream/x", lines)).ends_with("0\r\n\r\n"));
  EXPECT_EQ(prefill_engine.requests().size(), 0U);
  EXPECT_EQ(decode_engine.requests().size(), 1U);
}

}  // namespace
}  // namespace lynxglade::platform
