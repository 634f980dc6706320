// Guards against targets that get more requests than the limit that they name:
// several `lynxgladed entry` processes with a scripted store, which tell each
// other of limits.
#include <algorithm>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

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

constexpr char kConfiguration[] =
    R"({"version":1,"routes":[{"name":"r","hostname":"h","pathPrefix":"/a/",)"
    R"("type":"idempotent","timeoutMs":5000,"backend":"s","maxAttempts":2}],)"
    R"("services":[{"name":"s","healthPath":"/h"}]})";

// The bound of the targets' protocol for a limit of `per_second`.
constexpr auto kWindow = std::chrono::seconds(4);
double MostInWindow(double per_second) {
  return 1.5 * kWindow.count() * per_second + 5;
}

class Target {
 public:
  void NameLimit(const std::string& text) {
    const std::lock_guard lock(mutex_);
    limit_line_ = text.empty() ? "" : "Server-Limit: " + text + "\r\n";
    arrivals_.clear();
  }
  // Since the limit last changed.
  std::size_t Arrivals() {
    const std::lock_guard lock(mutex_);
    return arrivals_.size();
  }
  std::size_t MostArrivals() {
    const std::lock_guard lock(mutex_);
    std::ptrdiff_t most = 0;
    for (auto it = arrivals_.begin(); it != arrivals_.end(); ++it) {
      most = std::max(
          most, std::lower_bound(it, arrivals_.end(), *it + kWindow) - it);
    }
    return static_cast<std::size_t>(most);
  }
  int port() const noexcept { return server_.port(); }

 private:
  Reply Serve(const std::string& request) {
    const std::lock_guard lock(mutex_);
    arrivals_.push_back(Clock::now());
    return {"HTTP/1.1 200 OK\r\n" + AnswerLines(request) + limit_line_ +
            "Content-Length: 4\r\n\r\nfine"};
  }

  std::mutex mutex_;
  std::string limit_line_;
  std::vector<Clock::time_point> arrivals_;
  ScriptedServer server_{[this](const std::string& it) { return Serve(it); }};
};

class EntryLimitsTest : public testing::Test {
 protected:
  void SetUp() override {
    store_.Put("op/config", kConfiguration);
    AddTarget("limited", limited_.port());
    AddTarget("other", other_.port());
    for (int i = 0; i < 3; ++i) {
      entries_.push_back(std::make_unique<EntryProcess>(i, store_.port()));
    }
    for (const auto& it : entries_) {
      ASSERT_TRUE(WaitFor([&] { return IsStatus(it->Get("/a/x"), "200"); }));
      ASSERT_TRUE(WaitFor([&] { return store_.Has(it->Key()); }));
    }
    for (const auto& it : entries_) {
      ASSERT_TRUE(
          WaitFor([&] { return it->Shows("lynxglade_instances_assumed 3"); }));
    }
  }
  void AddTarget(const std::string& id, int port) {
    store_.Put("servers/" + id, TargetEntry(port));
  }
  // Returns the number of answers with status 200.
  int CallInTurn(int calls) {
    int answered = 0;
    for (int i = 0; i < calls; ++i) {
      answered +=
          IsStatus(entries_[static_cast<std::size_t>(i) % 3]->Get("/a/x"),
                   "200")
              ? 1
              : 0;
    }
    return answered;
  }
  bool AllShow(const std::string& line) {
    return std::ranges::all_of(entries_,
                               [&](const auto& it) { return it->Shows(line); });
  }

  ScriptedStore store_;
  Target limited_;
  Target other_;
  std::vector<std::unique_ptr<EntryProcess>> entries_;
};

TEST_F(EntryLimitsTest, LimitIsKeptByAllInstancesUntilItEnds) {
  limited_.NameLimit("2");
  // One instance learns it from an answer, the others from that instance.
  ASSERT_TRUE(WaitFor([&] {
    entries_[0]->Get("/a/x");
    return entries_[0]->Shows("lynxglade_limits_in_force 1");
  }));
  ASSERT_TRUE(WaitFor([&] { return AllShow("lynxglade_limits_in_force 1"); }));
  EXPECT_TRUE(entries_[1]->Shows(
      R"(lynxglade_limit_changes_total{change="named",source="peer"} 1)"));

  EXPECT_EQ(CallInTurn(300), 300);
  EXPECT_LE(static_cast<double>(limited_.MostArrivals()), MostInWindow(2));

  limited_.NameLimit("");
  ASSERT_TRUE(WaitFor([&] {
    CallInTurn(30);
    return AllShow("lynxglade_limits_in_force 0");
  }));
  const std::size_t before = limited_.Arrivals();
  EXPECT_EQ(CallInTurn(90), 90);
  EXPECT_GE(limited_.Arrivals() - before, 20u);
}

TEST_F(EntryLimitsTest, RequestsBeyondTheLimitOfTheOnlyTargetAreRejected) {
  store_.Remove("servers/other");
  limited_.NameLimit("1");
  ASSERT_TRUE(WaitFor([&] {
    CallInTurn(3);
    return AllShow("lynxglade_limits_in_force 1");
  }));
  ASSERT_TRUE(WaitFor([&] {
    const std::string answer = entries_[0]->Get("/a/x");
    return IsStatus(answer, "503") &&
           answer.find("Retry-After: ") != std::string::npos &&
           entries_[0]->process().Output().find(R"("by":"over_limit")") !=
               std::string::npos;
  }));
}

}  // namespace
}  // namespace lynxglade::system_test
