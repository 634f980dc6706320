// Guards against LOST: a planned stop cut what was still being read or served
// near its end, with no answer, and ended by a signal.
#include <atomic>
#include <csignal>
#include <optional>
#include <string>

#include <gtest/gtest.h>

#include "connection/raw_client.h"
#include "connection/scripted_server.h"
#include "system/entry_process.h"
#include "system/process.h"
#include "system/scripted_store.h"

namespace lynxglade::system_test {
namespace {

using connection::ScriptedServer;
using tests::RawClient;
using Reply = ScriptedServer::Reply;
using Then = ScriptedServer::Then;

constexpr char kConfiguration[] =
    R"({"version":1,"routes":[{"name":"r","hostname":"h","pathPrefix":"/a/",)"
    R"("type":"non_idempotent","timeoutMs":20000,"backend":"s",)"
    R"("maxAttempts":1}],"services":[{"name":"s","healthPath":"/h"}]})";

class EntryStopTest : public testing::Test {
 protected:
  void SetUp() override {
    store_.Put("op/config", kConfiguration);
    store_.Put("servers/t0", TargetEntry(target_.port()));
    EntryProcessSettings settings;
    settings.name = "stopping";
    settings.store_port = store_.port();
    settings.port = FreePort();
    settings.health_port = FreePort();
    settings.peer_port = FreePort();
    settings.folder = testing::TempDir();
    settings.flags = {"--stop-grace=2"};
    entry_.emplace(settings);
    ASSERT_TRUE(WaitFor(
        [&] { return IsStatus(entry_->Post("/a/x", "first", "b"), "200"); }));
  }
  static std::string Head(const std::string& path, std::size_t length) {
    return "POST " + path +
           " HTTP/1.1\r\nHost: h\r\nLynxglade-Attempt-Id: slow\r\n"
           "Lynxglade-Deadline-Ms: 20000\r\nContent-Length: " +
           std::to_string(length) + "\r\n\r\n";
  }

  std::atomic<int> slow_ = 0;
  ScriptedStore store_;
  ScriptedServer target_{[this](const std::string& it) {
    if (it.starts_with("POST /a/slow")) {
      ++slow_;
      return Reply{"", Then::kHang};
    }
    return Reply{"HTTP/1.1 200 OK\r\n" + AnswerLines(it) +
                 "Content-Length: 4\r\n\r\nfine"};
  }};
  std::optional<EntryProcess> entry_;
};

TEST_F(EntryStopTest, WhatIsAtWorkAtTheEndIsAnsweredAndTheProcessExits) {
  RawClient client(entry_->port());
  client.Send(Head("/a/slow", 1) + "b");
  ASSERT_TRUE(WaitFor([this] { return slow_ == 1; }));
  entry_->process().Send(SIGTERM);
  const std::string answer = client.ReadToEnd();
  EXPECT_TRUE(IsStatus(answer, "504")) << answer;
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
  EXPECT_EQ(entry_->process().Terminate(), 0);
}

TEST_F(EntryStopTest, WhatIsStillArrivingAtTheEndIsRejected) {
  RawClient client(entry_->port());
  client.Send(Head("/a/x", 1000) + std::string(500, 'b'));
  entry_->process().Send(SIGTERM);
  const std::string answer = client.ReadToEnd();
  EXPECT_TRUE(IsStatus(answer, "503")) << answer;
  EXPECT_FALSE(client.reset());
  EXPECT_EQ(entry_->process().Terminate(), 0);
}

}  // namespace
}  // namespace lynxglade::system_test
