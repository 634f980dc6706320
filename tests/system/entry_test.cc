// Tests `lynxgladed entry` as a separate process with a scripted store.
#include <csignal>
#include <filesystem>
#include <memory>
#include <string>

#include <gtest/gtest.h>

#include "connection/raw_client.h"
#include "connection/scripted_server.h"
#include "system/process.h"
#include "system/scripted_store.h"

namespace lynxglade::system_test {
namespace {

using connection::ScriptedServer;
using tests::RawClient;
using Reply = ScriptedServer::Reply;

constexpr char kRoute[] =
    R"({"name":"r","hostname":"h","pathPrefix":"/a/","type":"idempotent",)"
    R"("timeoutMs":5000,"backend":"s","maxAttempts":2})";

std::string Configuration(int version, const std::string& routes) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         routes + R"(],"services":[{"name":"s","healthPath":"/h"}]})";
}

// Returns a port that was free at the time of the call.
int FreePort() {
  return ScriptedServer([](const std::string&) { return Reply{}; }).port();
}

Reply Answer(const std::string& request) {
  const std::string name = "Lynxglade-Attempt-Id: ";
  const std::size_t at = request.find(name) + name.size();
  return {"HTTP/1.1 200 OK\r\n" + name +
          request.substr(at, request.find("\r\n", at) - at) +
          "\r\nLynxglade-Instance-Signature: s\r\nContent-Length: 4\r\n\r\n"
          "fine"};
}

class EntryTest : public testing::Test {
 protected:
  void Start() {
    process_ = std::make_unique<Process>(
        std::vector<std::string>{
            LYNXGLADED, "entry", "--instance-id", "i", "--zone", "a",
            "--listen", "127.0.0.1:" + std::to_string(port_), "--health-listen",
            "127.0.0.1:" + std::to_string(health_port_),
            "--store=127.0.0.1:" + std::to_string(store_.port())},
        std::filesystem::path(testing::TempDir()) /
            ("entry-" + std::to_string(port_)));
  }
  void AddTarget(const std::string& id, int port) {
    store_.Put("servers/" + id,
               R"({"backend":"s","address":"127.0.0.1:)" +
                   std::to_string(port) +
                   R"(","zone":"a","version":"v1","slots":4,"phase":"ready",)"
                   R"("coldRemainingMs":0,"sequence":1})");
  }
  // Returns an empty string if the connection is refused.
  static std::string Get(int port, const std::string& path) {
    try {
      RawClient client(port);
      client.Send("GET " + path +
                  " HTTP/1.1\r\nHost: h\r\nLynxglade-Attempt-Id: r1\r\n"
                  "Lynxglade-Deadline-Ms: 5000\r\nConnection: close\r\n\r\n");
      return client.ReadToEnd();
    } catch (const std::runtime_error&) {
      return {};
    }
  }
  bool Ready() {
    return Get(health_port_, "/readyz").starts_with("HTTP/1.1 200");
  }
  std::string Status(const std::string& path) {
    return Get(port_, path).substr(0, 12);
  }

  const int port_ = FreePort();
  const int health_port_ = FreePort();
  ScriptedStore store_;
  ScriptedServer target_{Answer};
  std::unique_ptr<Process> process_;
};

TEST_F(EntryTest, ServesWhatTheStoreTells) {
  Start();
  EXPECT_TRUE(WaitFor([this] { return Status("/a/x") == "HTTP/1.1 503"; }));
  EXPECT_FALSE(Ready());
  store_.Put("op/config", Configuration(1, kRoute));
  ASSERT_TRUE(WaitFor([this] { return Ready(); }));
  AddTarget("t1", target_.port());
  ASSERT_TRUE(WaitFor([this] { return Status("/a/x") == "HTTP/1.1 200"; }));
  EXPECT_EQ(Status("/b/x"), "HTTP/1.1 404");
  EXPECT_TRUE(store_.Has("lynxglade/instances/a/i"));
  const std::string page = Get(health_port_, "/metrics");
  for (const char* name :
       {"lynxglade_attempt_ends_total", "lynxglade_answer_seconds",
        "lynxglade_targets_known 1", "lynxglade_configuration_version 1"}) {
    EXPECT_NE(page.find(name), std::string::npos) << name << "\n" << page;
  }
}

TEST_F(EntryTest, TakesANewConfigurationAndRefusesABadOne) {
  store_.Put("op/config", Configuration(5, kRoute));
  AddTarget("t1", target_.port());
  Start();
  ASSERT_TRUE(WaitFor([this] { return Status("/a/x") == "HTTP/1.1 200"; }));
  store_.Put("op/config", R"({"version":6,"routes":"none"})");
  ASSERT_TRUE(WaitFor([this] {
    return process_->Output().find("configuration_refused") !=
           std::string::npos;
  }));
  EXPECT_EQ(Status("/a/x"), "HTTP/1.1 200");
  store_.Put("op/config", Configuration(7, ""));
  ASSERT_TRUE(WaitFor([this] { return Status("/a/x") == "HTTP/1.1 404"; }));
  // An older configuration is never applied again.
  store_.Put("op/config", Configuration(6, kRoute));
  ASSERT_TRUE(WaitFor([this] {
    return process_->Output().find("configuration_not_newer") !=
           std::string::npos;
  }));
  EXPECT_EQ(Status("/a/x"), "HTTP/1.1 404");
  store_.Put("op/config", Configuration(8, kRoute));
  ASSERT_TRUE(WaitFor([this] { return Status("/a/x") == "HTTP/1.1 200"; }));
}

TEST_F(EntryTest, ATargetThatIsGoneGetsNothingMore) {
  store_.Put("op/config", Configuration(1, kRoute));
  AddTarget("t1", target_.port());
  Start();
  ASSERT_TRUE(WaitFor([this] { return Status("/a/x") == "HTTP/1.1 200"; }));
  store_.Remove("servers/t1");
  ASSERT_TRUE(WaitFor([this] { return Status("/a/x") == "HTTP/1.1 503"; }));
}

TEST_F(EntryTest, APlannedStopAnswersWhatIsUnderWay) {
  store_.Put("op/config", Configuration(1, kRoute));
  AddTarget("t1", target_.port());
  Start();
  ASSERT_TRUE(WaitFor([this] { return Status("/a/x") == "HTTP/1.1 200"; }));
  process_->Send(SIGHUP);
  RawClient client(port_);
  client.Send(
      "GET /a/x HTTP/1.1\r\nHost: h\r\nLynxglade-Attempt-Id: r2\r\n\r\n");
  EXPECT_TRUE(client.ReadHead().starts_with("HTTP/1.1 200"));
  process_->Send(SIGTERM);
  ASSERT_TRUE(WaitFor([this] { return !Ready(); }));
  client.Send(
      "GET /a/x HTTP/1.1\r\nHost: h\r\nLynxglade-Attempt-Id: r3\r\n\r\n");
  const std::string rest = client.ReadToEnd();
  EXPECT_NE(rest.find("HTTP/1.1 200"), std::string::npos);
  EXPECT_NE(rest.find("Connection: close"), std::string::npos);
  EXPECT_EQ(process_->Terminate(), 0);
}

TEST_F(EntryTest, ABadSettingEndsWithItsName) {
  Process process({LYNXGLADED, "entry", "--zone", "a"},
                  std::filesystem::path(testing::TempDir()) / "entry-bad");
  ASSERT_TRUE(WaitFor([&] { return !process.running(); }));
  EXPECT_NE(process.Log().find("--store"), std::string::npos);
}

}  // namespace
}  // namespace lynxglade::system_test
