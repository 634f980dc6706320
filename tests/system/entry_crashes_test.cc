// Guards against requests that crash engine after engine: several `lynxgladed
// entry` processes, to which a caller sends the same content, or contents with
// one part of their prompts in common, again and again under new ids.
#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "connection/scripted_server.h"
#include "system/entry_process.h"
#include "system/scripted_store.h"

namespace lynxglade::system_test {
namespace {

using connection::ScriptedServer;
using Reply = ScriptedServer::Reply;

constexpr char kConfiguration[] =
    R"({"version":1,"routes":[{"name":"r","hostname":"h","pathPrefix":"/a/",)"
    R"("type":"streaming","timeoutMs":5000,"backend":"s","maxAttempts":1}],)"
    R"("services":[{"name":"s","healthPath":"/h"}]})";

constexpr char kCrashingBody[] = "crashes its engine";
constexpr char kCrashingPart[] = "bad";
constexpr char kFirstPart[] = "5c1e07a2";

// The header lines of a prompt with these parts, in order.
std::string PromptHeaders(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& it : parts) {
    text += (text.empty() ? "" : ",") + it + ":100";
  }
  return "Lynxglade-Model: m\r\nLynxglade-Token-Usage: " +
         std::to_string(100 * parts.size()) +
         ",10\r\nLynxglade-Prefix-Hash: " + text + "\r\n";
}

// Whether a part other than the last one is `kCrashingPart`, however its number
// is written.
bool HasCrashingPart(const std::string& request) {
  const std::string name = "Lynxglade-Prefix-Hash: ";
  const std::size_t at = request.find(name);
  if (at == std::string::npos) {
    return false;
  }
  const std::size_t begin = at + name.size();
  std::string parts = request.substr(begin, request.find("\r\n", at) - begin);
  parts.resize(parts.rfind(',') == std::string::npos ? 0 : parts.rfind(','));
  std::ranges::transform(parts, parts.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return (',' + parts).find(kCrashingPart + std::string(":")) !=
         std::string::npos;
}

// Answers every request with a stream, except one that crashes it.
class Engine {
 public:
  int port() const noexcept { return server_.port(); }
  bool crashed() const noexcept { return crashed_; }

 private:
  Reply Serve(const std::string& request) {
    if (request.find(kCrashingBody) != std::string::npos ||
        HasCrashingPart(request)) {
      crashed_ = true;
      server_.Crash();
      return {"", ScriptedServer::Then::kReset};
    }
    return {"HTTP/1.1 200 OK\r\n" + AnswerLines(request) +
            "Content-Type: text/event-stream\r\nTransfer-Encoding: "
            "chunked\r\n\r\n7\r\nid: 1\n\n\r\n0\r\n\r\n"};
  }

  std::atomic<bool> crashed_ = false;
  ScriptedServer server_{[this](const std::string& it) { return Serve(it); }};
};

class EntryCrashesTest : public testing::Test {
 protected:
  static constexpr int kEntries = 3;
  static constexpr int kEngines = 12;

  void SetUp() override {
    store_.Put("op/config", kConfiguration);
    for (int i = 0; i < kEngines; ++i) {
      engines_.push_back(std::make_unique<Engine>());
      store_.Put(Key(engines_.size() - 1),
                 TargetEntry(engines_.back()->port()));
    }
    for (int i = 0; i < kEntries; ++i) {
      entries_.push_back(std::make_unique<EntryProcess>(i, store_.port()));
    }
    ASSERT_TRUE(AllShow("lynxglade_instances_assumed 3"));
    ASSERT_TRUE(AllShow("lynxglade_configuration_version 1"));
  }
  static std::string Key(std::size_t engine) {
    return "servers/e" + std::to_string(engine);
  }
  bool AllShow(const std::string& line) {
    return std::ranges::all_of(entries_, [&](const auto& entry) {
      return WaitFor([&] { return entry->Shows(line); });
    });
  }
  int Crashed() const {
    return static_cast<int>(std::ranges::count_if(
        engines_, [](const auto& it) { return it->crashed(); }));
  }
  // Removes the entries of crashed engines, and waits until all instances know.
  void ExpireCrashed() {
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      if (engines_[i]->crashed()) {
        store_.Remove(Key(i));
      }
    }
    ASSERT_TRUE(AllShow("lynxglade_targets_known " +
                        std::to_string(kEngines - Crashed())));
  }
  // Sends the body through the instances in turn, each time with a new id.
  std::string Send(const std::string& body, const std::string& headers = {}) {
    const std::string id = "r" + std::to_string(sent_);
    return entries_[static_cast<std::size_t>(sent_++) % kEntries]->Post(
        "/a/x", id, body, headers);
  }
  // The same for a new body and a prompt with these parts and one of its own.
  std::string SendPrompt(std::vector<std::string> parts) {
    const std::string number = std::to_string(sent_);
    parts.push_back("f00" + number);
    return Send("body " + number, PromptHeaders(parts));
  }

  ScriptedStore store_;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::vector<std::unique_ptr<EntryProcess>> entries_;
  int sent_ = 0;
};

// Guards against BUDGET: a request that crashes its engines, sent again under
// new ids at any instance, is kept from further engines by all of them.
TEST_F(EntryCrashesTest, RequestThatCrashesItsEnginesRunsAtMostTwice) {
  for (int i = 0; i < 3 * kEntries; ++i) {
    EXPECT_FALSE(IsStatus(Send(kCrashingBody), "200"));
    ExpireCrashed();
    EXPECT_TRUE(IsStatus(Send("harmless"), "200")) << "after copy " << i;
  }
  EXPECT_LE(Crashed(), 2);
}

// Guards against BUDGET: the other instances are lost, and their keys stay in
// the store for a while, in which no crash was confirmed.
TEST_F(EntryCrashesTest, TheLastInstanceConfirmsCrashesAlone) {
  for (int i = 1; i < kEntries; ++i) {
    entries_[static_cast<std::size_t>(i)]->process().Kill();
  }
  // An unconfirmed crash is forgotten after three seconds.
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(8);
  for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
    const std::string id = "lost" + std::to_string(i);
    EXPECT_FALSE(IsStatus(entries_[0]->Post("/a/x", id, kCrashingBody), "200"));
    EXPECT_TRUE(
        IsStatus(entries_[0]->Post("/a/x", "fine" + id, "harmless"), "200"));
  }
  EXPECT_LE(Crashed(), 2);
}

// Guards against BUDGET: requests that share one part of their prompts and
// nothing else crash their engines; sound ones share the other parts with them.
TEST_F(EntryCrashesTest, RequestsThatShareACrashingPartCrashAtMostThree) {
  for (int i = 0; i < 3 * kEntries; ++i) {
    const std::string subject = "a" + std::to_string(i % 2);
    const std::string crashing = i % 2 == 0 ? "bad" : "00BAD";
    EXPECT_FALSE(IsStatus(SendPrompt({kFirstPart, subject, crashing}), "200"));
    ExpireCrashed();
    EXPECT_TRUE(IsStatus(SendPrompt({kFirstPart, subject}), "200"))
        << "after request " << i;
  }
  EXPECT_LE(Crashed(), 3);
  // In the last place it is the request's own.
  EXPECT_TRUE(IsStatus(Send("own", PromptHeaders({kFirstPart, "bad"})), "200"));
  // At another place, with other parts before it.
  EXPECT_FALSE(IsStatus(SendPrompt({"c1", "c2", "bad", "c3"}), "200"));
  EXPECT_LE(Crashed(), 3);
}

}  // namespace
}  // namespace lynxglade::system_test
