// OrderService with its actor and HTTP calls, against fake engines.
#include "process/order_service.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "base/snapshot.h"
#include "fakes/engine_host.h"
#include "fakes/fake_kv.h"

namespace lynxglade::process {
namespace {

using Json = nlohmann::json;

// Longer than any step takes; reached only when a test fails.
constexpr base::Duration kTestTimeout = std::chrono::seconds(60);

// Last published item by target; tests wait for changes.
class PublishedStatuses {
 public:
  void Post(const ViewItem& item) {
    std::lock_guard lock(mutex_);
    last_[item.key] = Json::parse(item.body);
    wake_.notify_all();
  }

  bool Await(const std::string& id,
             const std::function<bool(const Json&)>& holds) {
    std::unique_lock lock(mutex_);
    return wake_.wait_for(lock, kTestTimeout, [&] {
      const auto it = last_.find(id);
      return it != last_.end() && holds(it->second);
    });
  }

 private:
  std::mutex mutex_;
  std::condition_variable wake_;
  std::map<std::string, Json> last_;
};

class OrderServiceTest : public testing::Test {
 protected:
  OrderServiceTest() {
    AddEngine("e0", true);
    AddEngine("e1", false);
    SetVersion("1");
  }

  void AddEngine(const std::string& id, bool fenced) {
    fakes::EngineHostSettings settings;
    settings.engine.id = id;
    settings.engine.orders.initial = {
        request::EngineRole::kMixed, "m", "1", {}};
    settings.engine.orders.fenced = fenced;
    settings.engine.orders.change_time = std::chrono::milliseconds(20);
    auto host = std::make_unique<fakes::EngineHost>(
        settings, base::SystemRandom(), blocks_);
    ASSERT_TRUE(host->Start());
    EngineRow row;
    row.id = base::TargetId(id);
    row.service = base::ServiceName("llm");
    row.zone = base::ZoneId("zone-a");
    row.endpoint = {"127.0.0.1", host->port()};
    row.fenced = fenced;
    rows_.push_back(row);
    hosts_.push_back(std::move(host));
  }

  void SetVersion(const std::string& version) {
    version::Configuration next;
    next.revision = base::Revision(1);
    version::Contract contract;
    contract.id = base::ContractId("c");
    version::Intent intent;
    intent.service = base::ServiceName("llm");
    intent.model = base::ModelName("m");
    intent.version = base::ModelVersion(version);
    intent.share = 0.5;
    contract.intents.push_back(intent);
    next.contracts.emplace(contract.id, contract);
    configuration_.Set(std::move(next));
  }

  std::unique_ptr<OrderService> MakeService() {
    OrderSettings settings;
    settings.tick = std::chrono::milliseconds(20);
    OrderHooks hooks;
    hooks.engines = [this] { return rows_; };
    hooks.configuration = [this] { return configuration_.Get(); };
    hooks.requested_roles = [] {
      return std::map<base::TargetId, request::EngineRole>();
    };
    hooks.weight_loads_per_minute = [] { return 60'000; };
    hooks.publish = [this](const ViewItem& item) { published_.Post(item); };
    return std::make_unique<OrderService>(
        control_, key_value_,
        connection::MakeHttpEngineAdmin(std::chrono::seconds(5)),
        base::BootClock::now, base::SystemRandom(), base::InstanceId("i1"),
        base::ZoneId("zone-a"), settings, hooks, metrics_);
  }

  bool AwaitSettled(const std::string& id, const std::string& version) {
    return published_.Await(id, [&](const Json& body) {
      return body["step"] == "done" && body["observed"]["version"] == version;
    });
  }

  bool AwaitState(const std::string& id, const std::string& state) {
    return published_.Await(
        id, [&](const Json& body) { return body["state"] == state; });
  }

  fakes::FakeKv kv_{base::BootClock::now};
  fakes::KvBlocks blocks_{base::BootClock::now, std::chrono::minutes(1)};
  std::vector<std::unique_ptr<fakes::EngineHost>> hosts_;
  std::vector<EngineRow> rows_;
  base::Snapshot<version::Configuration> configuration_;
  connection::KeyValue key_value_{fakes::MakeInProcessTransport(kv_),
                                  std::chrono::seconds(2)};
  base::Metrics metrics_;
  PublishedStatuses published_;
  ControlSystem control_;
};

TEST_F(OrderServiceTest, RollsOutANewVersionOneEngineAtATime) {
  const auto service = MakeService();
  SetVersion("2");
  EXPECT_TRUE(AwaitSettled("e0", "2"));
  EXPECT_TRUE(AwaitSettled("e1", "2"));
  for (const auto& host : hosts_) {
    const Json orders = host->JournalJson()["orders"];
    // Drain, change, return to service.
    ASSERT_EQ(orders.size(), 3u) << orders.dump(1);
    EXPECT_EQ(orders[0]["target"]["version"], "1");
    EXPECT_EQ(orders[1]["target"]["version"], "2");
    EXPECT_EQ(orders[1]["target"]["draining"], true);
    EXPECT_EQ(orders[2]["target"]["draining"], false);
  }
  service->Stop();
  connection::KvError error = connection::KvError::kNone;
  const auto lease = key_value_.Get("/lynxglade/lease/zone-a/0", &error);
  ASSERT_TRUE(lease);
  EXPECT_TRUE(lease->entries.empty()) << "lease key still exists after Stop()";
}

TEST_F(OrderServiceTest, DrainsAndUndrainsByAdminCall) {
  const auto service = MakeService();
  ASSERT_TRUE(AwaitState("e0", "serving"));
  connection::ApiCall call;
  call.method = "POST";
  call.path = "/v1/admin/targets/e0/drain";
  // The write takes effect but its answer is lost.
  kv_.ApplyFaults({{"lose_answer", 1}});
  EXPECT_EQ(service->Handle(call).status, 200);
  EXPECT_TRUE(AwaitState("e0", "draining"));
  call.path = "/v1/admin/targets/e0/undrain";
  EXPECT_EQ(service->Handle(call).status, 200);
  EXPECT_TRUE(AwaitState("e0", "serving"));
  call.path = "/v1/admin/targets/nobody/drain";
  EXPECT_EQ(service->Handle(call).status, 404);
  const Json fleet = Json::parse(service->FleetStatusJson());
  EXPECT_EQ(fleet["authority"][0]["holder"], "i1");
  EXPECT_EQ(fleet["engines"].size(), 2u);
}

}  // namespace
}  // namespace lynxglade::process
