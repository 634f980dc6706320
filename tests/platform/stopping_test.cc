// Guards against LOST: near the end of a planned stop requests were taken,
// passed on and cut with no answer, among them some that may run once only.
#include <functional>
#include <string>
#include <thread>

#include <gtest/gtest.h>

#include "connection/raw_client.h"
#include "platform/relay_fixture.h"

namespace lynxglade::platform {
namespace {

using connection::ScriptedServer;
using Reply = ScriptedServer::Reply;
using Then = ScriptedServer::Then;

class StoppingTest : public RelayTest {
 protected:
  void Do(const std::function<void()>& change) {
    thread_->Do([&change] {
      change();
      return true;
    });
  }
  // Ends all requests once `n` have reached a target.
  void EndAllAfter(std::size_t n) {
    while (Arrivals() < n) {
      std::this_thread::yield();
    }
    Do([this] {
      accepts_ = false;
      relay_->EndAll();
    });
  }
};

TEST_F(StoppingTest, WhatIsAtWorkAtTheEndIsAnswered) {
  AddTarget([](const std::string&) { return Reply{"", Then::kHang}; });
  StartRelay();
  std::thread end([this] { EndAllAfter(1); });
  const std::string answer = Call(Request("/unsafe/x"));
  end.join();
  // It may have run.
  EXPECT_TRUE(IsStatus(answer, "504")) << answer;
}

TEST_F(StoppingTest, AStreamThatHasBegunIsReset) {
  AddTarget([](const std::string& it) {
    return Reply{StreamHead(it) + Chunk(Event(1)), Then::kHang};
  });
  StartRelay();
  tests::RawClient client(server_->port());
  client.Send(Request("/stream/x"));
  EXPECT_TRUE(IsStatus(client.ReadHead(), "200"));
  EndAllAfter(1);
  client.ReadToEnd();
  EXPECT_TRUE(client.reset());
}

TEST_F(StoppingTest, NoAttemptBeginsAfterTheEndOfAcceptance) {
  const auto reject = [this](const std::string& it) {
    Do([this] { accepts_ = false; });
    return NotRun(it);
  };
  AddTarget(reject);
  AddTarget(reject);
  const std::string answer = Call(Request("/unsafe/x"));
  EXPECT_TRUE(IsStatus(answer, "503")) << answer;
  EXPECT_EQ(Arrivals(), 1U);
}

TEST_F(StoppingTest, ARequestThatWouldOutlastTheStopIsRejectedAtOnce) {
  AddTarget(Ok);
  run_times_.Record(base::ServiceName("s"), std::chrono::milliseconds(6500));
  time_to_stop_ = std::chrono::milliseconds(6499);
  const std::string answer = Call(Request("/unsafe/x"));
  EXPECT_TRUE(IsStatus(answer, "503")) << answer;
  EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
  EXPECT_EQ(Arrivals(), 0U);
  Do([this] { time_to_stop_ = std::chrono::milliseconds(6500); });
  EXPECT_TRUE(IsStatus(Call(Request("/unsafe/x")), "200"));
}

// Targets end their work with the process, too.
TEST_F(StoppingTest, TargetsAreToldTheTimeThatIsLeft) {
  std::string deadline;
  AddTarget([&deadline](const std::string& it) {
    deadline = Header(it, "Lynxglade-Deadline-Ms");
    return Ok(it);
  });
  time_to_stop_ = std::chrono::milliseconds(700);
  EXPECT_TRUE(IsStatus(Call(Request("/unsafe/x")), "200"));
  EXPECT_LE(std::stoi(deadline), 700);
}

}  // namespace
}  // namespace lynxglade::platform
