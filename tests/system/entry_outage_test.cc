// Guards against CONFIG and DRAIN: a short outage of the store swallowed the
// watch of each instance, and all went on with an old view for seconds.
#include <chrono>
#include <optional>
#include <string>

#include <gtest/gtest.h>

#include "connection/scripted_server.h"
#include "system/entry_process.h"
#include "system/process.h"
#include "system/scripted_store.h"

namespace lynxglade::system_test {
namespace {

using connection::ScriptedServer;
using Reply = ScriptedServer::Reply;
using Clock = std::chrono::steady_clock;

// After the end of an outage of the store, and after the acknowledgement of a
// change that the store makes while it is stable.
constexpr auto kStableWindow = std::chrono::seconds(3);
constexpr auto kDrainTime = std::chrono::seconds(2);

std::string Configuration(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r","hostname":"h","pathPrefix":"/a/",)"
         R"("type":"idempotent","timeoutMs":5000,"backend":"s",)"
         R"("maxAttempts":2}],"services":[{"name":"s","healthPath":"/h"}]})";
}

class EntryOutageTest : public testing::Test {
 protected:
  void SetUp() override {
    store_.Put("op/config", Configuration(1));
    store_.Put("servers/t0", TargetEntry(target_.port()));
    store_.Put("servers/t1", TargetEntry(target_.port()));
    entry_.emplace(0, store_.port());
    ASSERT_TRUE(WaitFor([&] { return IsStatus(entry_->Get("/a/x"), "200"); }));
    ASSERT_TRUE(WaitFor([&] { return store_.Has(entry_->Key()); }));
    store_.SwallowNextWatch();
    ASSERT_TRUE(WaitFor([&] { return store_.SwallowedAt().has_value(); }));
  }

  ScriptedStore store_;
  ScriptedServer target_{[](const std::string& it) {
    return Reply{"HTTP/1.1 200 OK\r\n" + AnswerLines(it) +
                 "Content-Length: 4\r\n\r\nfine"};
  }};
  std::optional<EntryProcess> entry_;
};

TEST_F(EntryOutageTest, ANewConfigurationIsInForceWithinTheStableWindow) {
  store_.Put("op/config", Configuration(2));
  ASSERT_TRUE(WaitFor(
      [&] { return entry_->Shows("lynxglade_configuration_version 2"); }));
  EXPECT_LT(Clock::now() - *store_.SwallowedAt(), kStableWindow);
}

TEST_F(EntryOutageTest, ATargetThatLeftGetsNothingAfterTheDrainTime) {
  store_.Remove("servers/t1");
  ASSERT_TRUE(
      WaitFor([&] { return entry_->Shows("lynxglade_targets_known 1"); }));
  EXPECT_LT(Clock::now() - *store_.SwallowedAt(), kDrainTime);
}

}  // namespace
}  // namespace lynxglade::system_test
