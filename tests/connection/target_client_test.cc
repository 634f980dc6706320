#include "connection/target_client.h"

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/time.h"
#include "connection/chunk.h"
#include "connection/scripted_server.h"
#include "connection/target_client_stream.h"

namespace lynxglade::connection {
namespace {

using base::Outcome;
using request::AttemptEnd;
using request::AttemptReport;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Then = ScriptedServer::Then;
using Reply = ScriptedServer::Reply;

using tests::Chunk;

constexpr char kAttempt[] = "a1";

std::string Event(const std::string& id,
                  const std::string& text,
                  int offset,
                  int count) {
  return "data: {\"id\":\"chatcmpl-" + id +
         "\",\"choices\":[{\"delta\":{\"content\":\"" + text +
         "\"}}],\"token_offset\":" + std::to_string(offset) +
         ",\"token_count\":" + std::to_string(count) + "}\n\n";
}

std::string LastEvents(const std::string& id, int completion) {
  return "data: {\"id\":\"chatcmpl-" + id +
         "\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],"
         "\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":" +
         std::to_string(completion) + "}}\n\ndata: [DONE]\n\n";
}

std::string WholeStream(const std::string& id = kAttempt) {
  return Event(id, "one ", 0, 1) + Event(id, "two ", 1, 1) + LastEvents(id, 2);
}

std::string StreamHead(const std::string& attempt = kAttempt) {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\nX-Attempt-Id: " +
         attempt + "\r\n\r\n";
}

std::string Answered(const std::string& stream) {
  return StreamHead() + Chunk(stream) + "0\r\n\r\n";
}

std::string Sized(int status, const std::string& body, std::size_t length) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(length) + "\r\n\r\n" + body;
}

std::string Sized(int status, const std::string& body) {
  return Sized(status, body, body.size());
}

constexpr char kNotRunBody[] =
    R"({"error":{"code":"draining","outcome":"not_run"}})";

class TargetClientTest : public testing::Test {
 protected:
  TargetClientTest() : client_(base::BootClock::now, TargetClientOptions{}) {
    request_.id = base::RequestId("r1");
    request_.body = R"({"messages":[]})";
  }

  request::AttemptSpec Order(int port) const {
    request::AttemptSpec spec;
    spec.request = &request_;
    spec.id = base::AttemptId(kAttempt);
    spec.address = "127.0.0.1";
    spec.port = port;
    spec.role = request_.method.empty() ? request::EngineRole::kMixed
                                        : request::EngineRole::kPlain;
    spec.timeout = seconds(20);
    spec.idle_timeout = seconds(20);
    return spec;
  }

  AttemptReport Run(const request::AttemptSpec& spec) {
    request::TokenSink sink;
    sink.on_token = [this](const request::TokenChunk& chunk) {
      text_ += chunk.text;
      return true;
    };
    sink.cancelled = [this] { return caller_gone_.load(); };
    return client_.Run(spec, sink);
  }

  AttemptReport RunAgainst(Reply reply) {
    ScriptedServer server([&](const std::string&) { return reply; });
    return Run(Order(server.port()));
  }

  request::Request request_;
  std::string text_;
  std::atomic<bool> caller_gone_{false};
  TargetClient client_;
};

TEST_F(TargetClientTest, CompleteStreamsShareOneConnection) {
  ScriptedServer server(
      [](const std::string&) { return Reply{Answered(WholeStream())}; });
  for (int i = 0; i < 3; ++i) {
    const AttemptReport report = Run(Order(server.port()));
    EXPECT_EQ(report.end, AttemptEnd::kWhole) << report.message;
    EXPECT_EQ(report.outcome, Outcome::kRan);
    EXPECT_EQ(report.usage.completion.value(), 2);
    EXPECT_TRUE(report.first_token);
  }
  EXPECT_EQ(text_, "one two one two one two ");
  EXPECT_EQ(server.connections(), 1);
}

// The HTTP library must not resend a request when a reused connection breaks:
// the target may have run it already.
TEST_F(TargetClientTest, BrokenReusedConnectionNeverResendsARequest) {
  for (const Then then : {Then::kClose, Then::kReset}) {
    std::atomic<int> count{0};
    ScriptedServer server([&](const std::string&) {
      return ++count == 2 ? Reply{"", then} : Reply{Answered(WholeStream())};
    });
    EXPECT_EQ(Run(Order(server.port())).end, AttemptEnd::kWhole);

    const AttemptReport report = Run(Order(server.port()));

    EXPECT_EQ(report.end, AttemptEnd::kReset);
    EXPECT_EQ(report.outcome, Outcome::kUnknown);
    EXPECT_EQ(server.requests().size(), 2u);
    EXPECT_EQ(server.connections(), 1);
  }
}

TEST_F(TargetClientTest, NonIdempotentRequestsGetANewConnection) {
  ScriptedServer server(
      [](const std::string&) { return Reply{Answered(WholeStream())}; });
  Run(Order(server.port()));
  request_.non_idempotent = true;
  EXPECT_EQ(Run(Order(server.port())).end, AttemptEnd::kWhole);
  EXPECT_EQ(server.connections(), 2);
}

TEST_F(TargetClientTest, NoListenerIsNotRun) {
  int port = 0;
  {
    ScriptedServer gone([](const std::string&) { return Reply{}; });
    port = gone.port();
  }
  const AttemptReport report = Run(Order(port));
  EXPECT_EQ(report.end, AttemptEnd::kConnectFailed);
  EXPECT_EQ(report.outcome, Outcome::kNotRun);
}

// A process that was suspended past the deadline must not send the body.
TEST_F(TargetClientTest, OverdueAttemptSendsNoBody) {
  ScriptedServer server(
      [](const std::string&) { return Reply{Answered(WholeStream())}; });
  request::AttemptSpec spec = Order(server.port());
  spec.start_timeout = base::Duration(1);
  const AttemptReport report = Run(spec);
  EXPECT_EQ(report.outcome, Outcome::kNotRun);
  EXPECT_TRUE(server.requests().empty());
}

TEST_F(TargetClientTest, OnlyOutcomeNotRunMakesARefusal) {
  const AttemptReport refused = RunAgainst({Sized(503, kNotRunBody)});
  EXPECT_EQ(refused.end, AttemptEnd::kRefused);
  EXPECT_EQ(refused.refusal, request::TargetRefusal::kDraining);
  EXPECT_EQ(refused.outcome, Outcome::kNotRun);
  // The message may quote the prompt, so it is kept separate from what is
  // logged.
  const AttemptReport wordy = RunAgainst(
      {Sized(400, R"({"error":{"code":"bad_request","outcome":"not_run",
               "message":"a prompt"}})")});
  EXPECT_EQ(wordy.target_message, "a prompt");
  EXPECT_EQ(wordy.message, "");

  const std::vector<Reply> doubtful = {
      {Sized(500, kNotRunBody)},
      {Sized(503, "{}")},
      {Sized(503, kNotRunBody, 1000), Then::kClose},
      {"HTTP/1.1 503 X\r\n\r\n" + std::string(kNotRunBody), Then::kClose},
      {"HTTP/1.1 503 X\r\nX-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n"},
      {"nonsense\r\n\r\n", Then::kClose},
  };
  for (const Reply& reply : doubtful) {
    const AttemptReport report = RunAgainst(reply);
    EXPECT_EQ(report.outcome, Outcome::kUnknown) << reply.bytes;
    EXPECT_NE(report.end, AttemptEnd::kRefused) << reply.bytes;
  }
}

TEST_F(TargetClientTest, BrokenStreamsAreNotComplete) {
  const std::string first = Event(kAttempt, "one ", 0, 1);
  struct Case {
    Reply reply;
    AttemptEnd end;
    Outcome outcome;
  };
  const std::vector<Case> cases = {
      {{StreamHead() + Chunk(first), Then::kClose},
       AttemptEnd::kTruncated,
       Outcome::kRan},
      {{StreamHead() + Chunk(first), Then::kReset},
       AttemptEnd::kTruncated,
       Outcome::kRan},
      {{Answered(first)}, AttemptEnd::kTruncated, Outcome::kRan},
      {{Answered(first + LastEvents(kAttempt, 2))},
       AttemptEnd::kBadAnswer,
       Outcome::kRan},
      {{Answered(first + "data: [DONE]\n\n")},
       AttemptEnd::kBadAnswer,
       Outcome::kRan},
      {{Answered(WholeStream("other"))},
       AttemptEnd::kCrossed,
       Outcome::kUnknown},
      {{StreamHead("other") + Chunk(WholeStream()) + "0\r\n\r\n"},
       AttemptEnd::kCrossed,
       Outcome::kUnknown},
      {{Answered("data: {]\n\n")}, AttemptEnd::kBadAnswer, Outcome::kUnknown},
  };
  for (const Case& c : cases) {
    const AttemptReport report = RunAgainst(c.reply);
    EXPECT_EQ(report.end, c.end) << c.reply.bytes;
    EXPECT_EQ(report.outcome, c.outcome) << c.reply.bytes;
  }
  EXPECT_EQ(text_.find("two"), std::string::npos);
}

// With neither a length nor chunks, only the end marker shows the end.
TEST_F(TargetClientTest, AnUnframedStreamCutAnywhereIsNotComplete) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "X-Attempt-Id: " +
      std::string(kAttempt) + "\r\n\r\n";
  const std::string stream = WholeStream();
  const std::size_t marker = stream.find("[DONE]");
  for (std::size_t n = 0; n < marker; n += 3) {
    EXPECT_EQ(RunAgainst({head + stream.substr(0, n), Then::kClose}).end,
              AttemptEnd::kTruncated)
        << n;
  }
  EXPECT_EQ(RunAgainst({head + stream, Then::kClose}).end, AttemptEnd::kWhole);
}

TEST_F(TargetClientTest, CompleteStreamDoesNotNeedTheMessageEnd) {
  const AttemptReport report =
      RunAgainst({StreamHead() + Chunk(WholeStream()), Then::kHang});
  EXPECT_EQ(report.end, AttemptEnd::kWhole);
}

TEST_F(TargetClientTest, IdleTimeoutEndsTheAttempt) {
  ScriptedServer server([](const std::string&) {
    return Reply{StreamHead() + Chunk(Event(kAttempt, "one ", 0, 1)),
                 Then::kHang};
  });
  request::AttemptSpec spec = Order(server.port());
  spec.idle_timeout = milliseconds(50);
  const AttemptReport report = Run(spec);
  EXPECT_EQ(report.end, AttemptEnd::kTimeout);
  EXPECT_EQ(report.outcome, Outcome::kRan);
}

TEST_F(TargetClientTest, CallerDisconnectEndsTheAttemptWhileTheTargetIsSilent) {
  std::atomic<bool> cancel_came{false};
  ScriptedServer server([&](const std::string& request) {
    if (request.starts_with("POST /v1/cancel")) {
      cancel_came = request.find(R"("attempt_id":"a1")") != std::string::npos;
      cancel_came.notify_all();
      return Reply{Sized(200, "{}")};
    }
    caller_gone_ = true;
    return Reply{"", Then::kHang};
  });
  const request::AttemptSpec spec = Order(server.port());
  EXPECT_EQ(Run(spec).end, AttemptEnd::kCancelledByCaller);
  client_.Cancel(spec);
  cancel_came.wait(false);
  EXPECT_TRUE(cancel_came);
}

TEST_F(TargetClientTest, PlainAnswersNeedAKnownLength) {
  request_.method = "PUT";
  request_.path = "/a%20b?c=d";
  request_.content_type = "text/plain";
  request_.body = "hello";
  ScriptedServer server(
      [](const std::string&) { return Reply{Sized(404, "gone")}; });
  const AttemptReport report = Run(Order(server.port()));
  ASSERT_TRUE(report.plain) << report.message;
  EXPECT_EQ(report.plain->status, 404);
  EXPECT_EQ(report.plain->body, "gone");
  EXPECT_TRUE(server.requests().at(0).starts_with("PUT /a%20b?c=d HTTP/1.1"));

  EXPECT_EQ(RunAgainst({Sized(200, "half", 9), Then::kClose}).end,
            AttemptEnd::kTruncated);
  EXPECT_EQ(RunAgainst({"HTTP/1.1 200 X\r\n\r\nmaybe", Then::kClose}).end,
            AttemptEnd::kTruncated);
  EXPECT_EQ(RunAgainst({Sized(503, kNotRunBody)}).outcome, Outcome::kNotRun);
}

TEST_F(TargetClientTest, PlainCallsWithoutBodies) {
  request_.method = "GET";
  request_.path = "/x";
  request_.body.clear();
  const AttemptReport empty = RunAgainst({"HTTP/1.1 204 X\r\n\r\n"});
  ASSERT_TRUE(empty.plain) << empty.message;
  EXPECT_EQ(empty.plain->status, 204);
  // Without a body, the head is the complete request.
  EXPECT_EQ(RunAgainst({"", Then::kReset}).outcome, Outcome::kUnknown);
}

TEST_F(TargetClientTest, RequestLinesCannotBeSmuggled) {
  request_.method = "GET";
  request_.path = "/x HTTP/1.1\r\nX-Evil: 1\r\n\r\n";
  const AttemptReport report = RunAgainst({Sized(200, "")});
  EXPECT_EQ(report.end, AttemptEnd::kRefused);
  EXPECT_EQ(report.outcome, Outcome::kNotRun);
}

// The tokens do not depend on how the bytes are split.
RC_GTEST_PROP(EngineStreamProperty, SplitsDoNotMatter, ()) {
  std::string bytes = ": comment\r\n" + WholeStream();
  std::string text;
  request::TokenSink sink;
  sink.on_token = [&](const request::TokenChunk& chunk) {
    text += chunk.text;
    return true;
  };
  EngineStream stream(base::AttemptId(kAttempt), base::Tokens(0), sink);
  std::string_view rest = bytes;
  while (!rest.empty()) {
    const auto n = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
    RC_ASSERT(stream.Feed(rest.substr(0, n)));
    rest.remove_prefix(n);
  }
  RC_ASSERT(stream.IsComplete());
  RC_ASSERT(text == "one two ");
}

// Corrupted input neither crashes the parser nor makes a stream complete.
RC_GTEST_PROP(EngineStreamProperty, CorruptedInputIsNeverComplete, ()) {
  std::string bytes = WholeStream();
  const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
  const auto cut = *rc::gen::inRange<std::size_t>(1, bytes.size() - at + 1);
  bytes.erase(at, cut);
  std::string text;
  request::TokenSink sink;
  sink.on_token = [&](const request::TokenChunk& chunk) {
    text += chunk.text;
    return true;
  };
  EngineStream stream(base::AttemptId(kAttempt), base::Tokens(0), sink);
  stream.Feed(bytes);
  // The corruption may affect only text inside a chunk or ignored bytes; the
  // token count must be right.
  if (stream.IsComplete()) {
    RC_ASSERT(stream.tokens() == base::Tokens(2));
  }
}

}  // namespace
}  // namespace lynxglade::connection
