#include "connection/engine_admin.h"

#include <atomic>
#include <thread>

#include <gtest/gtest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace lynxglade::connection {
namespace {

constexpr const char* kState =
    R"({"engine":"e","incarnation":"1","fenced":true,"phase":"ready",
        "draining":false,"in_flight":0,"role":"mixed","model":"m",
        "version":"1","adapters":["b","a"],"generation":4,"fence":9,
        "order_id":"o","seq":2})";

// Minimal engine that counts received orders.
class TinyEngine {
 public:
  explicit TinyEngine(std::size_t requests_a_connection) {
    server_.set_keep_alive_max_count(requests_a_connection);
    server_.Get("/v1/state", [](const auto&, httplib::Response& res) {
      res.set_content(kState, "application/json");
    });
    server_.Post("/v1/orders", [this](const auto&, httplib::Response& res) {
      ++orders_;
      res.status = status_;
      res.set_content(answer_, "application/json");
    });
    port_ = server_.bind_to_any_port("127.0.0.1");
    thread_ = std::jthread([this] { server_.listen_after_bind(); });
  }
  ~TinyEngine() { server_.stop(); }
  TinyEngine(const TinyEngine&) = delete;
  TinyEngine& operator=(const TinyEngine&) = delete;

  void Answer(int status, std::string body) {
    status_ = status;
    answer_ = std::move(body);
  }
  EngineEndpoint endpoint() const { return {"127.0.0.1", port_}; }
  int orders() const { return orders_; }

 private:
  httplib::Server server_;
  int port_ = 0;
  std::atomic<int> orders_{0};
  int status_ = 200;
  std::string answer_ = R"({"accepted":true,"state":{}})";
  std::jthread thread_;
};

constexpr base::Duration kTimeout = std::chrono::seconds(5);
const MaySend kAlways = [](const EngineState&) { return true; };

TEST(EngineAdminTest, ReadsStateAndSendsOrderOnOneConnection) {
  TinyEngine engine(5);
  const EngineAdmin admin = MakeHttpEngineAdmin(kTimeout);
  EngineAdminError error = EngineAdminError::kNone;
  EngineState seen;
  const auto answer = admin.send_order(
      engine.endpoint(), {},
      [&](const EngineState& state) {
        seen = state;
        return true;
      },
      &error);
  ASSERT_TRUE(answer);
  EXPECT_TRUE(answer->accepted);
  EXPECT_EQ(engine.orders(), 1);
  EXPECT_EQ(seen.fence, base::FencingToken(9));
  EXPECT_EQ(seen.current.adapters, (std::vector<std::string>{"a", "b"}));
}

TEST(EngineAdminTest, SendsNoOrderIfTheCheckFails) {
  TinyEngine engine(5);
  const EngineAdmin admin = MakeHttpEngineAdmin(kTimeout);
  EngineAdminError error = EngineAdminError::kNone;
  EXPECT_FALSE(admin.send_order(
      engine.endpoint(), {}, [](const EngineState&) { return false; }, &error));
  EXPECT_EQ(error, EngineAdminError::kNotAllowed);
  EXPECT_EQ(engine.orders(), 0);
}

// The engine closes the connection after the state was read, as for a suspended
// sender. The HTTP library would reconnect and send the order.
TEST(EngineAdminTest, NeverReconnectsForAnOrder) {
  TinyEngine engine(1);
  const EngineAdmin admin = MakeHttpEngineAdmin(kTimeout);
  EngineAdminError error = EngineAdminError::kNone;
  EXPECT_FALSE(admin.send_order(engine.endpoint(), {}, kAlways, &error));
  EXPECT_EQ(error, EngineAdminError::kUnreachable);
  EXPECT_EQ(engine.orders(), 0);
}

TEST(EngineAdminTest, DistinguishesRejectionFromUnknownOutcome) {
  TinyEngine engine(5);
  const EngineAdmin admin = MakeHttpEngineAdmin(kTimeout);
  EngineAdminError error = EngineAdminError::kNone;
  engine.Answer(409, R"({"error":{"code":"stale_fence"}})");
  const auto refused = admin.send_order(engine.endpoint(), {}, kAlways, &error);
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->refusal, OrderRefusal::kStaleFence);
  engine.Answer(500, "");
  EXPECT_FALSE(admin.send_order(engine.endpoint(), {}, kAlways, &error));
  EXPECT_EQ(error, EngineAdminError::kBadAnswer);
}

}  // namespace
}  // namespace lynxglade::connection
