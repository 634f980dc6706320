// First readings of prompts against the fleet's bound on arrivals beyond the
// first of each request.
#include <chrono>
#include <string>
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

// The load this answers: engines that crash in series and come back with
// another stage reject the prompts that they are to read. The first reading of
// a prompt is no arrival beyond the first if it is accepted, so it is charged
// only once it was rejected: 1,036 such arrivals in ten seconds, 1,035 allowed.
TEST_F(RelayTest, RejectedFirstReadingsKeepToTheBound) {
  constexpr int kReaders = 80;
  constexpr int kRequests = 40;
  std::vector<ScriptedServer*> readers;
  for (int i = 0; i < kReaders; ++i) {
    readers.push_back(&AddTarget(NotRun, EngineStage::kPrefill));
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
    // Whole, or refused once the share is used up.
    const std::string answer = Call(Request("/stream/x", prompt, "r" + number));
    EXPECT_TRUE(IsStatus(answer, "200") || IsStatus(answer, "503"));
    EXPECT_TRUE(answer.ends_with("0\r\n\r\n"));
  }
  std::size_t rejected = 0;
  for (const ScriptedServer* reader : readers) {
    rejected += reader->requests().size();
  }
  const SharedRetryBudgetOptions bound;
  EXPECT_LE(static_cast<double>(rejected),
            bound.ratio * kRequests + bound.allowance);
}

// An instance whose share of the retries is used up, and a loan that comes
// while a request waits for it.
class UsedUpShareTest : public RelayTest {
 protected:
  void LendLater() {
    timer_.expires_after(std::chrono::milliseconds(30));
    timer_.async_wait([this](const auto&) {
      allowance_.Borrow(kService, 1, base::BootClock::now());
    });
  }

  const base::ServiceName kService{"s"};
  connection::event::asio::steady_timer timer_{loop_};
};

TEST_F(UsedUpShareTest, AFirstReadingWaitsForALoan) {
  options_.budget_timeout = std::chrono::seconds(20);
  const ScriptedServer& reader = AddTarget(Read, EngineStage::kPrefill);
  AddTarget([](const std::string& request) {
    return Stream(request, 1, 2, Then::kKeep);
  });
  UseUpShare();
  LendLater();
  EXPECT_TRUE(Call(Request("/stream/x", kPromptLines)).ends_with("0\r\n\r\n"));
  EXPECT_EQ(reader.requests().size(), 1U);
  // It was accepted, so the loan is left.
  EXPECT_TRUE(allowance_.TryReserve(kService, 1, ArrivalPurpose::kFirstPrefill,
                                    /*instances=*/1, base::BootClock::now()));
}

TEST_F(UsedUpShareTest, ARetryWaitsForALoan) {
  options_.budget_timeout = std::chrono::seconds(20);
  bool rejected = false;
  const auto once = [&rejected](const std::string& request) {
    return std::exchange(rejected, true) ? Ok(request) : NotRun(request);
  };
  AddTarget(once);
  AddTarget(once);
  UseUpShare();
  LendLater();
  EXPECT_TRUE(IsStatus(Call(Request("/unsafe/x")), "200"));
}

// The load this answers: engines that crash in series use the fleet's retries
// up; long prompts read by engines that generate then made streams fail.
TEST_F(UsedUpShareTest, WithoutALoanALongPromptIsRefused) {
  options_.budget_timeout = base::Duration::zero();
  const ScriptedServer& reader = AddTarget(Read, EngineStage::kPrefill);
  const ScriptedServer& runner = AddTarget([](const std::string& request) {
    return Stream(request, 1, 2, Then::kKeep);
  });
  UseUpShare();
  const std::string answer = Call(Request("/stream/x", kPromptLines));
  EXPECT_TRUE(IsStatus(answer, "503"));
  EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
  EXPECT_EQ(reader.requests().size(), 0U);
  EXPECT_EQ(runner.requests().size(), 0U);
}

TEST_F(UsedUpShareTest, WithoutALoanAShortPromptIsReadByTheRunner) {
  options_.budget_timeout = base::Duration::zero();
  const ScriptedServer& reader = AddTarget(Read, EngineStage::kPrefill);
  const ScriptedServer& runner = AddTarget([](const std::string& request) {
    return Stream(request, 1, 2, Then::kKeep);
  });
  UseUpShare();
  const std::string lines =
      "Lynxglade-Model: m\r\nLynxglade-Token-Usage: 900,13\r\n"
      "Lynxglade-Prefix-Hash: aa:500,bb:400\r\n";
  EXPECT_TRUE(Call(Request("/stream/x", lines)).ends_with("0\r\n\r\n"));
  EXPECT_EQ(reader.requests().size(), 0U);
  EXPECT_EQ(runner.requests().size(), 1U);
}

}  // namespace
}  // namespace lynxglade::platform
