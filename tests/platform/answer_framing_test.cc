// Whole answers of targets, however they are delimited, are forwarded as whole.
#include <atomic>
#include <string>

#include <gtest/gtest.h>

#include "platform/relay_fixture.h"

namespace lynxglade::platform {
namespace {

using connection::ScriptedServer;
using Reply = ScriptedServer::Reply;
using Then = ScriptedServer::Then;

class AnswerFramingTest : public RelayTest {
 protected:
  // Sends a request to a target that answers a stream with these bytes.
  tests::AnswerText StreamOf(const std::string& body,
                             const std::string& more_lines = {}) {
    AddTarget([=](const std::string& request) {
      std::string head = UnframedStreamHead(request);
      head.insert(head.size() - 2, more_lines);
      return Reply{head + body, Then::kClose};
    });
    return CallAndRead(Request("/stream/x"));
  }
};

TEST_F(AnswerFramingTest, AStreamMayEndWithItsConnection) {
  const auto answer = StreamOf(Event(1) + Event(2));
  EXPECT_EQ(answer.body(), Event(1) + Event(2));
  EXPECT_TRUE(answer.complete());
}

TEST_F(AnswerFramingTest, AStreamMayHaveALength) {
  AddTarget([](const std::string& request) {
    return Answer(request, "200 OK", Event(1) + Event(2));
  });
  const auto answer = CallAndRead(Request("/stream/x"));
  EXPECT_EQ(answer.body(), Event(1) + Event(2));
  EXPECT_TRUE(answer.complete());
}

TEST_F(AnswerFramingTest, AResetIsNotTheEndOfAStream) {
  AddTarget([](const std::string& request) {
    return Reply{UnframedStreamHead(request) + Event(1), Then::kReset};
  });
  EXPECT_FALSE(CallAndRead(Request("/stream/x")).complete());
}

TEST_F(AnswerFramingTest, AFramedStreamMayHaveNoEvent) {
  AddTarget([](const std::string& request) {
    return Reply{StreamHead(request) + "0\r\n\r\n"};
  });
  const auto answer = CallAndRead(Request("/stream/x"));
  EXPECT_EQ(answer.status(), 200U);
  EXPECT_TRUE(answer.complete());
}

TEST_F(AnswerFramingTest, CommentsAndEmptyLinesMayFollowTheLastEvent) {
  const std::string body = Event(1) + ": done\n\n\n";
  const auto answer = StreamOf(body);
  EXPECT_EQ(answer.body(), body);
  EXPECT_TRUE(answer.complete());
}

TEST_F(AnswerFramingTest, AServerOfHttp10EndsItsAnswerWithItsConnection) {
  AddTarget([](const std::string& request) {
    std::string head = UnframedStreamHead(request);
    head.replace(0, 8, "HTTP/1.0");
    return Reply{head + Event(1), Then::kClose};
  });
  const auto answer = CallAndRead(Request("/stream/x"));
  EXPECT_EQ(answer.body(), Event(1));
  EXPECT_TRUE(answer.complete());
}

TEST_F(AnswerFramingTest, AnAnswerOfAnotherTypeHasNoEvents) {
  AddTarget([](const std::string& request) {
    return Answer(request, "200 OK", R"({"text":"fine"})",
                  std::string(kProofLine) +
                      "Content-Type: application/json; charset=utf-8\r\n");
  });
  const auto answer = CallAndRead(Request("/stream/x"));
  EXPECT_EQ(answer.body(), R"({"text":"fine"})");
  EXPECT_TRUE(answer.complete());
}

// A head of HTTP/1.1 without "Connection: close" does not say that the
// connection may be used again.
TEST_F(AnswerFramingTest, AConnectionThatEndedAnAnswerIsNotReused) {
  AddTarget([](const std::string& request) {
    return Reply{"HTTP/1.1 200 OK\r\n" + Echo(request) + kProofLine +
                     "Keep-Alive: timeout=9\r\n\r\n" + Event(1),
                 Then::kClose};
  });
  for (int i = 1; i <= 3; ++i) {
    EXPECT_TRUE(CallAndRead(Request("/stream/x")).complete());
  }
  EXPECT_EQ(targets_[0]->connections(), 3);
}

class LargeEventTest : public AnswerFramingTest {
 protected:
  // An event of which more is held than is allowed.
  std::string LargeData() const {
    return "data: " + std::string(2 * options_.max_buffered_bytes, 'x');
  }
};

TEST_F(LargeEventTest, IsForwardedBeforeItsEnd) {
  AddTarget([this](const std::string& request) {
    return Reply{UnframedStreamHead(request) + LargeData(), Then::kHang};
  });
  std::string request = Request("/stream/x");
  request.replace(request.find("5000"), 4, "500");
  const auto answer = CallAndRead(request);
  EXPECT_EQ(answer.status(), 200U);
  EXPECT_GT(answer.body().size(), options_.max_buffered_bytes);
  EXPECT_TRUE(answer.broken());
}

TEST_F(LargeEventTest, IsWholeWithItsEmptyLine) {
  const std::string body = Event(1) + LargeData() + "\nid: 2\n\n" + Event(3);
  const auto answer = StreamOf(body);
  EXPECT_TRUE(answer.body() == body);
  EXPECT_TRUE(answer.complete());
}

// A part of it was forwarded.
TEST_F(LargeEventTest, IsNotResumed) {
  for (int i = 0; i < 2; ++i) {
    AddTarget([this](const std::string& request) {
      return Reply{UnframedStreamHead(request) + Event(1) + LargeData(),
                   Then::kClose};
    });
  }
  const auto answer = CallAndRead(Request("/resumable/x"));
  EXPECT_TRUE(answer.body().starts_with(Event(1)));
  EXPECT_TRUE(answer.broken());
  EXPECT_EQ(Arrivals(), 1U);
}

// The first part in chunks, the rest without.
TEST_F(AnswerFramingTest, AResumedStreamMayBeDelimitedInAnotherWay) {
  std::atomic<int> calls = 0;
  const auto handler = [&calls](const std::string& request) {
    if (++calls == 1) {
      return Stream(request, 1, 2, Then::kReset);
    }
    return Reply{UnframedStreamHead(request) + Event(3) + Event(4),
                 Then::kClose};
  };
  AddTarget(handler);
  AddTarget(handler);
  const auto answer = CallAndRead(Request("/resumable/x"));
  EXPECT_EQ(answer.body(), Event(1) + Event(2) + Event(3) + Event(4));
  EXPECT_TRUE(answer.complete());
}

// Its head may state the length that the body would have.
TEST_F(AnswerFramingTest, TheAnswerToAHeadRequestHasNoBody) {
  AddTarget([](const std::string& request) {
    return Reply{"HTTP/1.1 200 OK\r\n" + Echo(request) + kProofLine +
                 "Content-Length: 800\r\n\r\n"};
  });
  std::string request = Request("/safe/x");
  request.replace(0, 4, "HEAD");
  EXPECT_EQ(CallAndRead(request).status(), 200U);
}

// HTTP calls it an error that may hide a second answer.
TEST_F(AnswerFramingTest, AnAnswerWithALengthAndChunksIsRefused) {
  AddTarget([](const std::string& request) {
    std::string head = StreamHead(request);
    head.insert(head.size() - 2, "Content-Length: 5\r\n");
    return Reply{head + Chunk(Event(1)) + "0\r\n\r\n", Then::kClose};
  });
  EXPECT_EQ(CallAndRead(Request("/stream/x")).status(), 502U);
}

}  // namespace
}  // namespace lynxglade::platform
