// Guards against BUDGET: a request that crashes the engines that run it, sent
// again under new ids. The relay on loopback, with targets that crash.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <thread>

#include <gtest/gtest.h>

#include "platform/relay_fixture.h"

namespace lynxglade::platform {
namespace {

using connection::ScriptedServer;
using request::ContentHash;
using request::passthrough::EngineStage;
using Reply = ScriptedServer::Reply;
using Then = ScriptedServer::Then;

constexpr char kCrashes[] = "crashes";

class CrashingContentTest : public RelayTest {
 protected:
  static std::string Message(const std::string& path,
                             const std::string& id,
                             const std::string& body,
                             const std::string& more = {}) {
    return "POST " + path +
           " HTTP/1.1\r\nHost: h\r\nLynxglade-Attempt-Id: " + id +
           "\r\nConnection: close\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  // Crashes when it gets the content; answers others.
  void AddCrashingTarget() {
    const std::size_t n = targets_.size();
    AddTarget([this, n](const std::string& request) {
      if (request.find(kCrashes) == std::string::npos) {
        return Ok(request);
      }
      ++crashed_;
      targets_[n]->Crash();
      return Reply{"", Then::kReset};
    });
  }
  // Polls the condition; false if it does not hold within 10 s.
  static bool Await(const std::function<bool()>& condition) {
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      std::this_thread::yield();
    }
    return true;
  }
  bool AwaitChecks(const std::string& finding, std::int64_t n) {
    return Await([&] {
      return metrics_
                 .GetCounter("lynxglade_crash_checks_total",
                             {{"finding", finding}})
                 .Get() >= n;
    });
  }
  std::int64_t Refused(const std::string& reason) {
    return metrics_.GetCounter("lynxglade_refusals_total", {{"reason", reason}})
        .Get();
  }
  request::QuarantineCounts Count() const {
    return quarantine_.Count(base::BootClock::now());
  }

  std::atomic<int> crashed_ = 0;
};

TEST_F(CrashingContentTest, CrashesAtMostTwoTargetsHoweverOftenItIsSent) {
  for (int i = 0; i < 6; ++i) {
    AddCrashingTarget();
  }
  for (int i = 1; i <= 2; ++i) {
    EXPECT_TRUE(IsStatus(
        Call(Message("/stream/x", "r" + std::to_string(i), kCrashes)), "502"));
    ASSERT_TRUE(AwaitChecks("crashed", i)) << metrics_.Render();
  }
  EXPECT_EQ(Count().quarantined, 1u);
  const std::size_t arrivals = Arrivals();
  for (int i = 3; i <= 10; ++i) {
    const std::string answer =
        Call(Message("/stream/x", "r" + std::to_string(i), kCrashes));
    EXPECT_TRUE(IsStatus(answer, "503")) << answer;
    EXPECT_NE(answer.find("Retry-After: "), std::string::npos) << answer;
  }
  EXPECT_EQ(Arrivals(), arrivals);
  EXPECT_EQ(crashed_, 2);
  EXPECT_EQ(Refused("quarantined"), 8);
  EXPECT_TRUE(IsStatus(Call(Message("/safe/x", "r11", "harmless")), "200"));
}

// Neither its id, nor its deadline, nor the framing of its body makes a copy
// another content; path and body do.
TEST_F(CrashingContentTest, CopiesAreRecognisedByWhatATargetWouldRun) {
  for (int i = 0; i < 5; ++i) {
    AddCrashingTarget();
  }
  Call(Message("/stream/x", "r1", kCrashes, "Lynxglade-Deadline-Ms: 900\r\n"));
  ASSERT_TRUE(AwaitChecks("crashed", 1));
  Call(
      "POST /stream/x HTTP/1.1\r\nHost: h\r\nLynxglade-Attempt-Id: r2\r\n"
      "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n" +
      Chunk("cra") + Chunk("shes") + "0\r\n\r\n");
  ASSERT_TRUE(AwaitChecks("crashed", 2));
  EXPECT_TRUE(IsStatus(Call(Message("/stream/x", "r3", kCrashes)), "503"));
  EXPECT_EQ(crashed_, 2);
  EXPECT_TRUE(IsStatus(Call(Message("/stream/y", "r4", kCrashes)), "502"));
  EXPECT_EQ(crashed_, 3);
}

TEST_F(CrashingContentTest, LostAnswersOfALiveTargetCondemnNothing) {
  std::atomic<int> resets = 4;
  for (int i = 0; i < 2; ++i) {
    AddTarget([&resets](const std::string& request) {
      return resets-- > 0 ? Reply{"", Then::kReset} : Ok(request);
    });
  }
  for (int i = 0; i < 4; ++i) {
    Call(Message("/safe/x", "r" + std::to_string(i), "harmless"));
    ASSERT_TRUE(AwaitChecks("alive", 1));
  }
  EXPECT_TRUE(Await([&] {
    return IsStatus(Call(Message("/safe/x", "r9", "harmless")), "200");
  }));
  EXPECT_EQ(Count().quarantined, 0u);
  EXPECT_EQ(Count().suspects, 0u);
}

TEST_F(CrashingContentTest, TargetThatLeavesIsNoEvidence) {
  AddTarget([this](const std::string&) {
    engines_.Find(base::TargetId("t0"))->entry.draining = true;
    targets_[0]->Crash();
    return Reply{"", Then::kReset};
  });
  EXPECT_TRUE(IsStatus(Call(Message("/stream/x", "r1", "harmless")), "502"));
  EXPECT_EQ(Count().suspects, 0u);
}

// The verdict comes from another instance while the prompt is prefilled.
TEST_F(CrashingContentTest, VerdictIsHeededBetweenPrefillAndRun) {
  const std::string body = "long prompt";
  const ContentHash content =
      request::HashContent({"POST", "h", "/stream/x", "", body});
  ScriptedServer& prefill = AddTarget(
      [&](const std::string& request) {
        if (request.starts_with("DELETE")) {
          return Answer(request, "200 OK", "", "");
        }
        request::Quarantine other(
            request::passthrough::FleetQuarantineOptions(),
            base::InstanceId("other"), {});
        request::QuarantineDenial denial{};
        for (const char* it : {"e1", "e2"}) {
          const base::Time now = base::BootClock::now();
          other.TryStart(content, base::TargetId(it), base::AttemptId(it), now,
                         &denial);
          other.OnLost(base::AttemptId(it), now);
          other.OnTargetCrashed(base::TargetId(it), now);
        }
        const base::Time now = base::BootClock::now();
        quarantine_.Merge(*other.Export(content, now), now);
        return PrefillDone(request);
      },
      EngineStage::kPrefill);
  ScriptedServer& runner = AddTarget(Ok);
  EXPECT_TRUE(
      IsStatus(Call(Message("/stream/x", "r1", body, kPromptLines)), "503"));
  EXPECT_EQ(runner.requests().size(), 0u);
  EXPECT_TRUE(Await([&] { return prefill.requests().size() == 2; }))
      << "the cache is freed";
  EXPECT_EQ(Refused("quarantined"), 1);
}

}  // namespace
}  // namespace lynxglade::platform
