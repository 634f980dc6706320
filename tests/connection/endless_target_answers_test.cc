// Guards against bytes that are no answer and come without end: the head of an
// answer, and the lines that delimit chunks, were kept without a bound until
// the request's deadline.
#include <sys/resource.h>

#include <string>

#include <gtest/gtest.h>

#include "base/time.h"
#include "connection/scripted_server.h"
#include "connection/target_client.h"

namespace lynxglade::connection {
namespace {

using request::AttemptEnd;
using Then = ScriptedServer::Then;
using Reply = ScriptedServer::Reply;

constexpr std::size_t kAnswerBytes = std::size_t{64} * 1024 * 1024;

constexpr char kChunked[] =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nTransfer-Encoding: "
    "chunked\r\n\r\n";

struct Endless {
  const char* name;
  std::string start;
  std::string rest;
};

// Peak memory of this process so far.
std::size_t PeakBytes() {
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  return static_cast<std::size_t>(usage.ru_maxrss) * 1024;
}

class EndlessTargetAnswersTest : public testing::TestWithParam<Endless> {};

TEST_P(EndlessTargetAnswersTest, AreNotKept) {
  std::string bytes = GetParam().start;
  bytes.reserve(kAnswerBytes + 64);
  while (bytes.size() < kAnswerBytes) {
    bytes += GetParam().rest;
  }
  const ScriptedServer server(
      [&bytes](const std::string&) { return Reply{bytes, Then::kHang}; });
  request::Request request;
  request.id = base::RequestId("r1");
  request.method = "POST";
  request.path = "/x";
  request.content_type = "text/plain";
  request.body = "abc";
  request::AttemptSpec spec;
  spec.request = &request;
  spec.id = base::AttemptId("a1");
  spec.address = "127.0.0.1";
  spec.port = server.port();
  spec.role = request::EngineRole::kPlain;
  spec.timeout = std::chrono::seconds(20);
  spec.idle_timeout = std::chrono::seconds(20);
  request::TokenSink sink;
  sink.on_token = [](const request::TokenChunk&) { return true; };
  sink.cancelled = [] { return false; };
  TargetClient client(base::BootClock::now, TargetClientOptions{});
  // The server copies what it sends.
  const std::size_t before = PeakBytes() + kAnswerBytes;
  const auto report = client.Run(spec, sink);
  EXPECT_NE(report.end, AttemptEnd::kWhole);
  EXPECT_NE(report.end, AttemptEnd::kTimeout);
  EXPECT_LT(PeakBytes(), before + kAnswerBytes / 4);
}

INSTANTIATE_TEST_SUITE_P(
    Answers,
    EndlessTargetAnswersTest,
    testing::Values(
        Endless{"StatusLine", "HTTP/1.1 200 ", "OK"},
        Endless{"NoHttp", "", "\x01garbage"},
        Endless{"OneHeaderLine", "HTTP/1.1 200 OK\r\nA: ", "xyz"},
        Endless{"HeaderLines", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
        Endless{"ChunkSize", kChunked, "0"},
        Endless{"ChunkExtension", std::string(kChunked) + "5;a=", "x"},
        Endless{"ChunkedBody", kChunked, "5\r\nabcde\r\n"},
        Endless{"BodyWithoutLength",
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n\r\n", "abc"}),
    [](const auto& it) { return std::string(it.param.name); });

}  // namespace
}  // namespace lynxglade::connection
