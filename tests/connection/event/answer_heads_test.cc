// Heads and framings of answers, by RFC 9110 and 9112, as the table in
// docs/design/answer-framing.md lists them.
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "connection/event/exchange.h"
#include "connection/framed_answers.h"
#include "connection/scripted_server.h"

namespace lynxglade::connection::event {
namespace {

using namespace std::string_literals;  // NOLINT

constexpr std::size_t kMaxBodyBytes = 4096;

struct Outcome {
  ExchangeState state{};
  unsigned status = 0;
  std::string body;
};

// What a target that sends `bytes` and closes is understood to have answered.
Outcome Ask(const std::string& bytes, http::verb method = http::verb::get) {
  ScriptedServer server([&bytes](const std::string&) {
    return ScriptedServer::Reply{bytes, ScriptedServer::Then::kClose};
  });
  asio::io_context loop;
  ChannelPool pool(loop, base::BootClock::now);
  std::optional<Outcome> outcome;
  asio::co_spawn(
      loop,
      [&]() -> Awaitable<void> {
        Exchange exchange(pool);
        OutgoingRequest request(method, "/", 11);
        request.prepare_payload();
        co_await exchange.Start(
            Tcp::endpoint(asio::ip::address_v4::loopback(),
                          static_cast<std::uint16_t>(server.port())),
            std::move(request), {}, ChannelReuse::kNone);
        Outcome it;
        it.status = exchange.head().result_int();
        it.body = co_await exchange.ReadRest(kMaxBodyBytes);
        it.state = exchange.state();
        outcome = it;
      },
      asio::detached);
  while (!outcome) {
    loop.restart();
    loop.run_one_for(std::chrono::seconds(30));
  }
  return *outcome;
}

class RefusedAnswersTest : public testing::TestWithParam<std::string> {};

// Guards against MIXED: what is no answer passes as one, or its body does.
TEST_P(RefusedAnswersTest, AreBroken) {
  const Outcome outcome = Ask(GetParam());
  EXPECT_EQ(outcome.state, ExchangeState::kBroken)
      << outcome.status << " " << outcome.body;
}

INSTANTIATE_TEST_SUITE_P(Statuses,
                         RefusedAnswersTest,
                         testing::ValuesIn(tests::RefusedStatuses()));
INSTANTIATE_TEST_SUITE_P(Lines,
                         RefusedAnswersTest,
                         testing::ValuesIn(tests::RefusedLines()));
INSTANTIATE_TEST_SUITE_P(Framings,
                         RefusedAnswersTest,
                         testing::ValuesIn(tests::RefusedFramings()));
INSTANTIATE_TEST_SUITE_P(StartLines,
                         RefusedAnswersTest,
                         testing::ValuesIn(tests::RefusedStartLines()));

INSTANTIATE_TEST_SUITE_P(
    Chunks,
    RefusedAnswersTest,
    testing::Values(tests::WithFraming("Transfer-Encoding: chunked",
                                       "+2\r\nok\r\n0\r\n\r\n")));

class AcceptedAnswersTest : public testing::TestWithParam<std::string> {};

TEST_P(AcceptedAnswersTest, AreWhole) {
  const Outcome outcome = Ask(GetParam());
  EXPECT_EQ(outcome.state, ExchangeState::kWhole);
  EXPECT_EQ(outcome.status, 200U);
  EXPECT_EQ(outcome.body, "ok");
}

INSTANTIATE_TEST_SUITE_P(Answers,
                         AcceptedAnswersTest,
                         testing::ValuesIn(tests::WholeAnswers()));
// Ended by the connection, with trailers, and after an interim answer that was
// not asked for.
INSTANTIATE_TEST_SUITE_P(
    OtherAnswers,
    AcceptedAnswersTest,
    testing::Values("HTTP/1.1 200 OK\r\n\r\nok",
                    tests::WithFraming("Transfer-Encoding: chunked",
                                       "2\r\nok\r\n0\r\nTrailer: 1\r\n\r\n"),
                    "HTTP/1.0 200 OK\r\n\r\nok",
                    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));

// Answers that have no body, whatever their head states.
TEST(AnswerHeadsTest, SomeAnswersHaveNoBody) {
  for (const char* status : {"204", "304"}) {
    const Outcome outcome =
        Ask("HTTP/1.1 "s + status + " X\r\nContent-Length: 2\r\n\r\nok");
    EXPECT_EQ(outcome.state, ExchangeState::kWhole);
    EXPECT_EQ(outcome.body, "");
  }
  const Outcome outcome =
      Ask(tests::WithFraming("Content-Length: 2", ""), http::verb::head);
  EXPECT_EQ(outcome.state, ExchangeState::kWhole);
  EXPECT_EQ(outcome.body, "");
}

}  // namespace
}  // namespace lynxglade::connection::event
