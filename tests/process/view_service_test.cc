// View services connected by real links on loopback.
#include "process/view_service.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "base/metrics.h"
#include "base/random.h"
#include "base/time.h"
#include "process/control_system.h"

namespace lynxglade::process {
namespace {

// Generous, so that only a real fault runs into it.
constexpr std::chrono::seconds kTimeout{30};

// The instance list shared by all instances of a test.
class RowList {
 public:
  void Add(const InstanceRow& row) {
    const std::lock_guard lock(mutex_);
    rows_.push_back(row);
  }
  std::vector<InstanceRow> Get() {
    const std::lock_guard lock(mutex_);
    return rows_;
  }

 private:
  std::mutex mutex_;
  std::vector<InstanceRow> rows_;
};

// One instance and the facts that its subscribers received.
class Node {
 public:
  Node(caf::actor_system& system,
       const std::string& id,
       const std::string& zone,
       RowList* rows)
      : service_(system,
                 {base::InstanceId(id), base::ZoneId(zone), "127.0.0.1", 0, {}},
                 {base::BootClock::now, base::SystemRandom(),
                  [rows] { return rows->Get(); }},
                 metrics_) {
    ViewServiceError ec = ViewServiceError::kNone;
    EXPECT_TRUE(service_.Start(&ec)) << ToString(ec);
    rows->Add({base::InstanceId(id), base::ZoneId(zone), "127.0.0.1",
               service_.port(), false});
    for (const ViewKind kind : {ViewKind::kInstance, ViewKind::kConfigDelta,
                                ViewKind::kTarget, ViewKind::kLoad}) {
      service_.Subscribe(kind, [this](const ViewItem& item) { OnItem(item); });
    }
  }

  ViewService& service() { return service_; }

  bool WaitFor(const std::function<bool(const ViewItem&)>& match) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(
        lock, kTimeout, [&] { return std::ranges::any_of(received_, match); });
  }

  bool WaitForState(const std::string& id, MemberState state) {
    return WaitFor([&](const ViewItem& item) {
      return item.kind == ViewKind::kInstance && item.key == id &&
             StateOf(item.version) == state;
    });
  }

 private:
  void OnItem(const ViewItem& item) {
    const std::lock_guard lock(mutex_);
    received_.push_back(item);
    changed_.notify_all();
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<ViewItem> received_;
  base::Metrics metrics_;
  ViewService service_;
};

class ViewServiceTest : public ::testing::Test {
 protected:
  Node& Add(const std::string& id, const std::string& zone) {
    nodes_.push_back(
        std::make_unique<Node>(system_.actors(), id, zone, &rows_));
    return *nodes_.back();
  }

  ControlSystem system_;
  RowList rows_;
  std::vector<std::unique_ptr<Node>> nodes_;
};

ViewItem Fact(ViewKind kind, const std::string& key, std::uint64_t epoch) {
  ViewItem item;
  item.kind = kind;
  item.key = key;
  item.version = {epoch, 0};
  item.body = "{}";
  return item;
}

TEST_F(ViewServiceTest, FactsReachEveryInstanceOfEveryZone) {
  for (int i = 0; i < 6; ++i) {
    Add("node-" + std::to_string(i), i % 2 == 0 ? "scl-a" : "scl-b");
  }
  nodes_[0]->service().Publish(Fact(ViewKind::kConfigDelta, "17", 17));
  for (const auto& node : nodes_) {
    EXPECT_TRUE(node->WaitFor([](const ViewItem& item) {
      return item.kind == ViewKind::kConfigDelta && item.key == "17";
    }));
  }
  // An instance that joins later receives earlier facts.
  Node& late = Add("late", "scl-a");
  EXPECT_TRUE(late.WaitFor([](const ViewItem& item) {
    return item.kind == ViewKind::kConfigDelta && item.key == "17" &&
           item.source.str() == "node-0";
  }));
}

TEST_F(ViewServiceTest, LeavingNoticeReachesThePeers) {
  Add("a", "scl-a");
  Add("b", "scl-a");
  Add("c", "scl-b");
  for (const auto& node : nodes_) {
    ASSERT_TRUE(node->WaitForState("a", MemberState::kLive));
    ASSERT_TRUE(node->WaitForState("b", MemberState::kLive));
    ASSERT_TRUE(node->WaitForState("c", MemberState::kLive));
  }
  nodes_[0]->service().Leave();
  EXPECT_TRUE(nodes_[1]->WaitForState("a", MemberState::kLeaving));
  EXPECT_TRUE(nodes_[2]->WaitForState("a", MemberState::kLeaving));
  const auto json = nlohmann::json::parse(nodes_[1]->service().InstancesJson());
  EXPECT_EQ(json["instances"].size(), 3u);
  EXPECT_GE(json["views"]["instance"]["count"], 3);
}

TEST_F(ViewServiceTest, VanishedInstanceBecomesSuspectEverywhere) {
  Add("a", "scl-a");
  Add("b", "scl-a");
  Add("c", "scl-a");
  for (const auto& node : nodes_) {
    ASSERT_TRUE(node->WaitForState("c", MemberState::kLive));
  }
  nodes_.pop_back();
  EXPECT_TRUE(nodes_[0]->WaitForState("c", MemberState::kSuspect));
  EXPECT_TRUE(nodes_[1]->WaitForState("c", MemberState::kSuspect));
}

}  // namespace
}  // namespace lynxglade::process
