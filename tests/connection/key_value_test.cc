#include "connection/key_value.h"

#include <httplib.h>

#include <future>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <nlohmann/json.hpp>

#include "connection/base64.h"

namespace lynxglade::connection {
namespace {

using nlohmann::json;

constexpr base::Duration kTimeout = std::chrono::seconds(2);

// Transport that gives a fixed answer and records the last call.
struct Script {
  std::optional<KvAnswer> answer;
  KvError error = KvError::kNone;
  KvCall last;

  KvTransport Transport() {
    return [this](const KvCall& call, KvError* lost) {
      last = call;
      *lost = error;
      return answer;
    };
  }
};

RC_GTEST_PROP(Base64Test, RoundTrip, (const std::string& bytes)) {
  RC_ASSERT(Base64Decode(Base64Encode(bytes)) == bytes);
}

TEST(Base64Test, RejectsInvalidText) {
  EXPECT_FALSE(Base64Decode("abc"));
  EXPECT_FALSE(Base64Decode("a?=="));
  EXPECT_FALSE(Base64Decode("===="));
}

TEST(KeyValueTest, CommitSendsGuardsAndReturnsFoundEntries) {
  Script script;
  script.answer = KvAnswer{
      200,
      R"({"header":{"revision":"9"},"responses":[{"response_range":{"kvs":[)"
      R"({"key":"aw==","value":"dg==","mod_revision":"7"}]}}]})"};
  const KeyValue store(script.Transport(), kTimeout);
  KvError ec = KvError::kNone;
  const auto result =
      store.Commit({{"k", base::Revision(4)}, {"n", base::Revision(0)}},
                   {{"k", "v", KvLeaseId(3)}, {"n", std::nullopt, {}}}, &ec);
  ASSERT_TRUE(result);
  EXPECT_FALSE(result->committed);
  ASSERT_EQ(result->found.size(), 1u);
  EXPECT_EQ(result->found[0].value, "v");
  EXPECT_EQ(result->found[0].mod_revision, base::Revision(7));

  const json sent = json::parse(script.last.body);
  EXPECT_EQ(sent["compare"][0]["target"], "MOD");
  EXPECT_EQ(sent["compare"][0]["mod_revision"], "4");
  EXPECT_EQ(sent["compare"][1]["target"], "CREATE");
  EXPECT_EQ(sent["compare"][1]["create_revision"], "0");
  EXPECT_EQ(sent["success"][0]["request_put"]["value"], "dg==");
  EXPECT_EQ(sent["success"][0]["request_put"]["lease"], "3");
  EXPECT_EQ(sent["success"][1]["request_delete_range"]["key"], "bg==");
}

TEST(KeyValueTest, OnlyWritesAreEverAmbiguous) {
  struct Case {
    std::optional<KvAnswer> answer;
    KvError lost;
    KvError read;
    KvError write;
  };
  const std::vector<Case> cases = {
      {std::nullopt, KvError::kUnreachable, KvError::kUnreachable,
       KvError::kUnreachable},
      {std::nullopt, KvError::kAmbiguous, KvError::kUnreachable,
       KvError::kAmbiguous},
      {KvAnswer{429, R"({"code":8})"}, KvError::kNone, KvError::kRateLimited,
       KvError::kRateLimited},
      {KvAnswer{503, ""}, KvError::kNone, KvError::kUnreachable,
       KvError::kAmbiguous},
      {KvAnswer{400, "{}"}, KvError::kNone, KvError::kBadAnswer,
       KvError::kBadAnswer},
      {KvAnswer{200, "[1"}, KvError::kNone, KvError::kBadAnswer,
       KvError::kAmbiguous},
  };
  for (const Case& it : cases) {
    Script script{it.answer, it.lost, {}};
    const KeyValue store(script.Transport(), kTimeout);
    KvError ec = KvError::kNone;
    EXPECT_FALSE(store.Get("k", &ec));
    EXPECT_EQ(ec, it.read);
    EXPECT_FALSE(store.Commit({}, {{"k", "v", {}}}, &ec));
    EXPECT_EQ(ec, it.write);
  }
}

RC_GTEST_PROP(KeyValueTest, WatchReadsLinesCutAnywhere, ()) {
  const std::string stream =
      R"({"result":{"header":{"revision":"4"},"created":true}})"
      "\n"
      R"({"result":{"header":{"revision":"5"},"events":[{"kv":{"key":"aw==",)"
      R"("value":"dg==","mod_revision":"5"}},{"type":"DELETE","kv":)"
      R"({"key":"aw==","mod_revision":"5"}}]}})"
      "\n"
      R"({"result":{"header":{"revision":"8"}}})"
      "\n";
  const auto step = *rc::gen::inRange<std::size_t>(1, stream.size() + 1);
  const KeyValue store(
      [&](const KvCall& call, KvError*) {
        for (std::size_t i = 0; i < stream.size(); i += step) {
          call.on_chunk(std::string_view(stream).substr(i, step));
        }
        return std::optional(KvAnswer{200, ""});
      },
      kTimeout);
  std::vector<std::int64_t> revisions;
  std::vector<bool> deleted;
  const KvError ec = store.Watch(
      "k", base::Revision(4),
      [&](const std::vector<KvEvent>& events, base::Revision revision) {
        revisions.push_back(revision.value());
        for (const KvEvent& it : events) {
          deleted.push_back(it.deleted);
        }
        return true;
      });
  RC_ASSERT(ec == KvError::kUnreachable);
  RC_ASSERT(revisions == std::vector<std::int64_t>({4, 5, 8}));
  RC_ASSERT(deleted == std::vector<bool>({false, true}));
}

// A bound port without a listener, so that connections are refused.
class SilentPort {
 public:
  SilentPort() : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t n = sizeof(address);
    ::bind(socket_, reinterpret_cast<sockaddr*>(&address), n);
    ::getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &n);
    port_ = ntohs(address.sin_port);
  }
  ~SilentPort() { ::close(socket_); }
  int port() const { return port_; }

 private:
  int socket_;
  int port_ = 0;
};

TEST(HttpKvTransportTest, RefusedConnectionIsUnreachable) {
  const SilentPort silent;
  const KeyValue store(
      MakeHttpKvTransport("http://127.0.0.1:" + std::to_string(silent.port()),
                          {}),
      kTimeout);
  KvError ec = KvError::kNone;
  EXPECT_FALSE(store.Commit({}, {{"k", "v", {}}}, &ec));
  EXPECT_EQ(ec, KvError::kUnreachable);
}

// HTTP server on a free port; stopped by the destructor.
class LocalServer {
 public:
  explicit LocalServer(httplib::Server* server) : server_(server) {
    port_ = server_->bind_to_any_port("127.0.0.1");
    thread_ = std::thread([this] { server_->listen_after_bind(); });
  }
  ~LocalServer() {
    server_->stop();
    thread_.join();
  }
  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(port_);
  }

 private:
  httplib::Server* server_;
  int port_ = 0;
  std::thread thread_;
};

TEST(HttpKvTransportTest, TruncatedAnswerToAWriteIsAmbiguous) {
  httplib::Server server;
  int calls = 0;
  server.Post("/v3/kv/txn", [&](const auto&, httplib::Response& res) {
    ++calls;
    // Sends less than announced, then closes.
    res.set_content_provider(
        1000, "application/json",
        [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
  });
  const LocalServer local(&server);
  const KeyValue store(MakeHttpKvTransport(local.url(), {}), kTimeout);
  KvError ec = KvError::kNone;
  EXPECT_FALSE(store.Commit({}, {{"k", "v", {}}}, &ec));
  EXPECT_EQ(ec, KvError::kAmbiguous);
  // The HTTP library must not resend the call.
  EXPECT_EQ(calls, 1);
}

TEST(HttpKvTransportTest, StopEndsASilentWatch) {
  httplib::Server server;
  std::promise<void> release;
  const std::shared_future<void> released = release.get_future().share();
  server.Post("/v3/watch", [&](const auto&, httplib::Response& res) {
    res.set_chunked_content_provider(
        "application/json", [&](std::size_t offset, httplib::DataSink& sink) {
          if (offset > 0) {
            released.wait();
            return false;
          }
          const std::string line = R"({"result":{"created":true}})"
                                   "\n";
          return sink.write(line.data(), line.size());
        });
  });
  const LocalServer local(&server);
  const KeyValue store(MakeHttpKvTransport(local.url(), {}), kTimeout);
  std::stop_source stop;
  std::promise<void> created;
  std::thread stopper([&] {
    created.get_future().wait();
    stop.request_stop();
  });
  const KvError ec = store.Watch(
      "k", base::Revision(1),
      [&](const auto&, base::Revision) {
        created.set_value();
        return true;
      },
      stop.get_token());
  EXPECT_EQ(ec, KvError::kNone);
  stopper.join();
  release.set_value();
}

}  // namespace
}  // namespace lynxglade::connection
