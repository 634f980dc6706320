// Guards against targets that get more requests than the limit that they name:
// several `lynxgladed entry` processes with a scripted store, which tell each
// other of limits.
#include <algorithm>
#include <chrono>
#include <filesystem>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

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
    const std::string name = "Lynxglade-Attempt-Id: ";
    const std::size_t at = request.find(name) + name.size();
    return {"HTTP/1.1 200 OK\r\n" + name +
            request.substr(at, request.find("\r\n", at) - at) + "\r\n" +
            limit_line_ +
            "Lynxglade-Instance-Signature: s\r\nContent-Length: 4\r\n\r\n"
            "fine"};
  }

  std::mutex mutex_;
  std::string limit_line_;
  std::vector<Clock::time_point> arrivals_;
  ScriptedServer server_{[this](const std::string& it) { return Serve(it); }};
};

int FreePort() {
  return ScriptedServer([](const std::string&) { return Reply{}; }).port();
}

// An entry instance.
class Entry {
 public:
  Entry(int number, int store_port)
      : name_("i" + std::to_string(number)),
        process_({LYNXGLADED, "entry", "--instance-id", name_, "--zone", "a",
                  "--listen", Address(port_), "--health-listen",
                  Address(health_port_), "--peer-listen", Address(FreePort()),
                  "--store=" + Address(store_port)},
                 std::filesystem::path(testing::TempDir()) /
                     ("entry-limits-" + std::to_string(port_))) {}

  std::string Call() { return Get(port_, "/a/x"); }
  // Whether the metrics page has the line.
  bool Shows(const std::string& line) {
    return Get(health_port_, "/metrics").find(line + "\n") != std::string::npos;
  }
  std::string Key() const { return "lynxglade/instances/a/" + name_; }
  Process& process() noexcept { return process_; }

 private:
  static std::string Address(int port) {
    return "127.0.0.1:" + std::to_string(port);
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

  const std::string name_;
  const int port_ = FreePort();
  const int health_port_ = FreePort();
  Process process_;
};

bool IsStatus(const std::string& answer, const std::string& status) {
  return answer.starts_with("HTTP/1.1 " + status);
}

class EntryLimitsTest : public testing::Test {
 protected:
  void SetUp() override {
    store_.Put("op/config", kConfiguration);
    AddTarget("limited", limited_.port());
    AddTarget("other", other_.port());
    for (int i = 0; i < 3; ++i) {
      entries_.push_back(std::make_unique<Entry>(i, store_.port()));
    }
    for (const auto& it : entries_) {
      ASSERT_TRUE(WaitFor([&] { return IsStatus(it->Call(), "200"); }));
      ASSERT_TRUE(WaitFor([&] { return store_.Has(it->Key()); }));
    }
    for (const auto& it : entries_) {
      ASSERT_TRUE(
          WaitFor([&] { return it->Shows("lynxglade_instances_assumed 3"); }));
    }
  }
  void AddTarget(const std::string& id, int port) {
    store_.Put("servers/" + id,
               R"({"backend":"s","address":"127.0.0.1:)" +
                   std::to_string(port) +
                   R"(","zone":"a","version":"v1","slots":8,"phase":"ready",)"
                   R"("coldRemainingMs":0,"sequence":1})");
  }
  // Returns the number of answers with status 200.
  int CallInTurn(int calls) {
    int answered = 0;
    for (int i = 0; i < calls; ++i) {
      answered +=
          IsStatus(entries_[static_cast<std::size_t>(i) % 3]->Call(), "200")
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
  std::vector<std::unique_ptr<Entry>> entries_;
};

TEST_F(EntryLimitsTest, LimitIsKeptByAllInstancesUntilItEnds) {
  limited_.NameLimit("2");
  // One instance learns it from an answer, the others from that instance.
  ASSERT_TRUE(WaitFor([&] {
    entries_[0]->Call();
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
    const std::string answer = entries_[0]->Call();
    return IsStatus(answer, "503") &&
           answer.find("Retry-After: ") != std::string::npos &&
           entries_[0]->process().Output().find(R"("by":"over_limit")") !=
               std::string::npos;
  }));
}

}  // namespace
}  // namespace lynxglade::system_test
