// Tests the fake key-value service over HTTP with the production client.
#include <httplib.h>

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "connection/key_value.h"
#include "fakes/details/faulty_port.h"
#include "fakes/details/platform_routes.h"

namespace lynxglade::fakes {
namespace {

using base::Revision;
using connection::KeyValue;
using connection::KvError;
using connection::KvEvent;

constexpr base::Duration kTimeout = std::chrono::seconds(5);

class PlatformPortTest : public ::testing::Test {
 protected:
  PlatformPortTest()
      : kv_(&base::BootClock::now),
        port_(
            "127.0.0.1",
            0,
            [this](httplib::Server& server) {
              AddKvRoutes(server, kv_, [] { return false; });
            },
            [this](const nlohmann::json& f) { kv_.ApplyFaults(f); }) {
    EXPECT_TRUE(port_.Open());
  }

  KeyValue Client() const {
    const std::string url = "http://127.0.0.1:" + std::to_string(port_.port());
    return {connection::MakeHttpKvTransport(url, {}), kTimeout};
  }

  FakeKv kv_;
  FaultyPort port_;
};

TEST_F(PlatformPortTest, ClientReportsExpectedErrorForEachFault) {
  const KeyValue client = Client();
  KvError ec = KvError::kNone;
  const auto put = [&](const std::string& value) {
    ec = KvError::kNone;
    return client.Commit({}, {{"k", value, {}}}, &ec).has_value();
  };
  EXPECT_TRUE(put("1"));
  port_.ApplyFaults({{"lose_answer", 1}});
  EXPECT_FALSE(put("2"));
  EXPECT_EQ(ec, KvError::kAmbiguous);
  EXPECT_EQ(client.Get("k", &ec)->entries[0].value, "2");
  port_.ApplyFaults({{"lose_request", 1}});
  EXPECT_FALSE(put("3"));
  EXPECT_EQ(ec, KvError::kAmbiguous);
  EXPECT_EQ(client.Get("k", &ec)->entries[0].value, "2");
  port_.ApplyFaults({{"refuse", true}, {"reset_connections", true}});
  const KeyValue late = Client();
  EXPECT_FALSE(late.Get("k", &ec));
  EXPECT_EQ(ec, KvError::kUnreachable);
  port_.ApplyFaults({{"refuse", false}});
  EXPECT_EQ(late.Get("k", &ec)->entries[0].value, "2");
}

TEST_F(PlatformPortTest, WatchSeesChangesAndEndsWithTheConnection) {
  const KeyValue client = Client();
  KvError ec = KvError::kNone;
  ASSERT_TRUE(client.Commit({}, {{"p/1", "a", {}}}, &ec));
  ASSERT_TRUE(client.Commit({}, {{"p/2", "b", {}}}, &ec));
  std::vector<std::string> seen;
  const KvError ended = client.Watch(
      "p/", Revision(1), [&](const std::vector<KvEvent>& events, Revision) {
        for (const KvEvent& it : events) {
          seen.push_back(it.entry.key);
        }
        if (seen.size() == 2) {
          KvError write = KvError::kNone;
          client.Commit({}, {{"p/1", std::nullopt, {}}}, &write);
        }
        if (seen.size() == 3) {
          EXPECT_TRUE(events.back().deleted);
          port_.ApplyFaults({{"reset_connections", true}});
        }
        return true;
      });
  EXPECT_EQ(ended, KvError::kUnreachable);
  EXPECT_EQ(seen, (std::vector<std::string>{"p/1", "p/2", "p/1"}));
}

}  // namespace
}  // namespace lynxglade::fakes
