// Guards against RECOVER: an instance that cannot reach the targets itself,
// while other instances can, serves its callers far worse than the others.
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "connection/event/loop_thread.h"
#include "connection/scripted_server.h"
#include "rig/link_proxy.h"
#include "system/entry_process.h"
#include "system/scripted_store.h"
#include "system/store_view.h"

namespace lynxglade::system_test {
namespace {

using connection::ScriptedServer;
using connection::event::LoopThread;
using rig::LinkCut;
using rig::LinkProxy;
namespace asio = connection::event::asio;

constexpr char kConfiguration[] =
    R"({"version":1,"routes":[)"
    R"({"name":"safe","hostname":"h","pathPrefix":"/safe/",)"
    R"("type":"idempotent","timeoutMs":3000,"backend":"s","maxAttempts":2},)"
    R"({"name":"unsafe","hostname":"h","pathPrefix":"/unsafe/",)"
    R"("type":"non_idempotent","timeoutMs":3000,"backend":"s",)"
    R"("maxAttempts":1}],"services":[{"name":"s","healthPath":"/h"}]})";

ScriptedServer::Reply Serve(const std::string& request) {
  return {"HTTP/1.1 200 OK\r\n" + AnswerLines(request) +
          "Content-Length: 4\r\n\r\nfine"};
}

// Three instances; the first has links of its own to the targets.
class EntryCutOffTest : public testing::Test {
 protected:
  static constexpr int kTargets = 6;
  static constexpr int kEntries = 3;
  // Requests that may find the cut out, and those that must be served after.
  static constexpr int kFindingRequests = 6;
  static constexpr int kRequests = 10;

  void SetUp() override {
    store_.Put("op/config", kConfiguration);
    for (int i = 0; i < kTargets; ++i) {
      targets_.push_back(std::make_unique<ScriptedServer>(Serve));
      store_.Put("servers/t" + std::to_string(i),
                 TargetEntry(targets_.back()->port()));
      links_.push_back(std::make_unique<LinkProxy>(
          loop_, static_cast<std::uint16_t>(FreePort()),
          static_cast<std::uint16_t>(targets_.back()->port())));
      asio::co_spawn(loop_, links_.back()->Run(), asio::detached);
    }
    view_.emplace(store_, WithPorts([this](const std::string& id) {
                    return links_.at(std::stoul(id.substr(1)))->port();
                  }));
    thread_.emplace(loop_);
    for (int i = 0; i < kEntries; ++i) {
      entries_.push_back(std::make_unique<EntryProcess>(
          i, i == 0 ? view_->port() : store_.port()));
    }
    const std::string targets =
        "lynxglade_targets_known " + std::to_string(kTargets);
    for (const auto& it : entries_) {
      ASSERT_TRUE(
          WaitFor([&] { return it->Shows("lynxglade_instances_assumed 3"); }));
      ASSERT_TRUE(WaitFor(
          [&] { return it->Shows("lynxglade_configuration_version 1"); }));
      ASSERT_TRUE(WaitFor([&] { return it->Shows(targets); }));
    }
  }
  ~EntryCutOffTest() override { thread_.reset(); }

  void Cut(LinkCut cut) {
    thread_->Do([&] {
      for (const auto& it : links_) {
        it->SetCut(cut);
      }
      return true;
    });
  }
  // Number of answers with status 200 to `n` requests at the first instance.
  int CountServed(const std::string& path, int n) {
    int served = 0;
    for (int i = 0; i < n; ++i) {
      const std::string id = "r" + std::to_string(sent_++);
      served += IsStatus(entries_[0]->Post(path, id, "abc"), "200") ? 1 : 0;
    }
    return served;
  }

  ScriptedStore store_;
  std::vector<std::unique_ptr<ScriptedServer>> targets_;
  asio::io_context loop_{1};
  std::vector<std::unique_ptr<LinkProxy>> links_;
  std::optional<StoreView> view_;
  std::optional<LoopThread> thread_;
  std::vector<std::unique_ptr<EntryProcess>> entries_;
  int sent_ = 0;
};

TEST_F(EntryCutOffTest, ServesThroughOthersWhileTargetsRefuseIt) {
  Cut(LinkCut::kReset);
  CountServed("/safe/x", kFindingRequests);
  EXPECT_EQ(CountServed("/safe/x", kRequests), kRequests);
  EXPECT_EQ(CountServed("/unsafe/x", kRequests), kRequests);
}

TEST_F(EntryCutOffTest, ServesThroughOthersWhileTargetsDoNotAnswerIt) {
  Cut(LinkCut::kSilentToNew);
  CountServed("/safe/x", kFindingRequests);
  EXPECT_EQ(CountServed("/safe/x", kRequests), kRequests);
  EXPECT_EQ(CountServed("/unsafe/x", kRequests), kRequests);
}

// The request that finds the cut out is not lost either: nothing was sent.
TEST_F(EntryCutOffTest, LosesNoRequestThatWasNotSent) {
  Cut(LinkCut::kReset);
  EXPECT_EQ(CountServed("/unsafe/x", kRequests), kRequests);
}

TEST_F(EntryCutOffTest, ServesItselfAgainAfterTheCut) {
  Cut(LinkCut::kSilentToNew);
  CountServed("/safe/x", kFindingRequests);
  Cut(LinkCut::kWhole);
  EXPECT_TRUE(WaitFor([this] {
    CountServed("/safe/x", 1);
    return entries_[0]->Shows("lynxglade_targets_through_others 0");
  }));
  for (const std::size_t other : {1U, 2U}) {
    entries_[other]->process().Kill();
  }
  EXPECT_EQ(CountServed("/safe/x", kRequests), kRequests);
}

// A target that no instance reaches is not asked for through others each time.
TEST_F(EntryCutOffTest, RefusesAtOnceIfNoInstanceReachesTheTargets) {
  for (const auto& it : targets_) {
    it->Crash();
  }
  Cut(LinkCut::kReset);
  EXPECT_EQ(CountServed("/unsafe/x", kFindingRequests), 0);
  const std::string answer = entries_[0]->Post("/unsafe/x", "last", "abc");
  EXPECT_TRUE(IsStatus(answer, "503"));
  EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
}

}  // namespace
}  // namespace lynxglade::system_test
