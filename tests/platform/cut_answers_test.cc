// Guards against ORDER: a stream whose target broke off inside an event reaches
// its caller as a complete answer.
#include <atomic>
#include <string>
#include <utility>

#include <gtest/gtest.h>

#include "platform/relay_fixture.h"

namespace lynxglade::platform {
namespace {

using connection::ScriptedServer;
using Reply = ScriptedServer::Reply;
using Then = ScriptedServer::Then;

constexpr char kHalfEvent[] = "id: 2\nda";

class CutAnswersTest : public RelayTest {
 protected:
  // A target that sends `body` without a length or chunks and closes.
  ScriptedServer& AddUnframedTarget(std::string body) {
    return AddTarget([body = std::move(body)](const std::string& request) {
      return Reply{UnframedStreamHead(request) + body, Then::kClose};
    });
  }
  // Two targets: the first call is answered with `body`, without a length or
  // chunks; the next one with the rest of four events.
  void AddResumingTargets(const std::string& body, int last_whole_event) {
    const auto handler = [this, body,
                          last_whole_event](const std::string& request) {
      if (++calls_ == 1) {
        return Reply{UnframedStreamHead(request) + body, Then::kClose};
      }
      resumed_after_ = Header(request, "Last-Event-Id");
      return Stream(request, last_whole_event + 1, 4, Then::kKeep);
    };
    AddTarget(handler);
    AddTarget(handler);
  }

  std::atomic<int> calls_ = 0;
  std::string resumed_after_ = "none";
};

std::string Events(int first, int last) {
  std::string events;
  for (int id = first; id <= last; ++id) {
    events += Event(id);
  }
  return events;
}

TEST_F(CutAnswersTest, AStreamCutInsideAnEventDoesNotLookComplete) {
  AddUnframedTarget(Event(1) + kHalfEvent);
  const auto answer = CallAndRead(Request("/stream/x"));
  EXPECT_EQ(answer.status(), 200U);
  EXPECT_EQ(answer.body(), Event(1));
  EXPECT_TRUE(answer.broken());
}

TEST_F(CutAnswersTest, WithoutAWholeEventTheOutcomeIsUnknown) {
  AddUnframedTarget(kHalfEvent);
  const auto answer = CallAndRead(Request("/stream/x"));
  EXPECT_EQ(answer.status(), 502U);
  EXPECT_EQ(answer.Header("Lynxglade-Instance-Signature"), "");
}

TEST_F(CutAnswersTest, AnEventWithoutItsEmptyLineIsCut) {
  AddUnframedTarget(Event(1) + "id: 2\ndata: x\n");
  const auto answer = CallAndRead(Request("/stream/x"));
  EXPECT_EQ(answer.body(), Event(1));
  EXPECT_TRUE(answer.broken());
}

TEST_F(CutAnswersTest, ALengthThatEndsInsideAnEventDoesNotMakeItWhole) {
  AddTarget([](const std::string& request) {
    return Answer(request, "200 OK", Event(1) + kHalfEvent);
  });
  const auto answer = CallAndRead(Request("/stream/x"));
  EXPECT_EQ(answer.body(), Event(1));
  EXPECT_TRUE(answer.broken());
}

TEST_F(CutAnswersTest, ALastChunkInsideAnEventDoesNotMakeItWhole) {
  AddTarget([](const std::string& request) {
    return Reply{StreamHead(request) + Chunk(Event(1) + kHalfEvent) +
                 "0\r\n\r\n"};
  });
  const auto answer = CallAndRead(Request("/stream/x"));
  EXPECT_EQ(answer.body(), Event(1));
  EXPECT_TRUE(answer.broken());
}

// Every run has at least one event; an engine that ends after the head of its
// answer leaves none.
TEST_F(CutAnswersTest, AnUnframedStreamWithoutAnEventIsNotAnAnswer) {
  AddUnframedTarget("");
  EXPECT_EQ(CallAndRead(Request("/stream/x")).status(), 502U);
}

TEST_F(CutAnswersTest, AResumableStreamGoesOnAfterItsLastWholeEvent) {
  AddResumingTargets(Events(1, 2) + "id: 3\nda", 2);
  const auto answer = CallAndRead(Request("/resumable/x"));
  EXPECT_EQ(answer.body(), Events(1, 4));
  EXPECT_TRUE(answer.complete());
  EXPECT_EQ(resumed_after_, "2");
  EXPECT_EQ(Arrivals(), 2U);
}

TEST_F(CutAnswersTest, AResumableStreamWithoutAWholeEventStartsAgain) {
  AddResumingTargets(kHalfEvent, 0);
  const auto answer = CallAndRead(Request("/resumable/x"));
  EXPECT_EQ(answer.body(), Events(1, 4));
  EXPECT_TRUE(answer.complete());
  EXPECT_EQ(resumed_after_, "");
}

// It would be sent again: a target resumes after the last id.
TEST_F(CutAnswersTest, AStreamIsNotResumedAfterAnEventWithoutAnId) {
  for (const std::string& whole :
       {Event(1) + "data: y\n\n", std::string("data: y\n\n")}) {
    calls_ = 0;
    AddResumingTargets(whole + kHalfEvent, 1);
    const auto answer = CallAndRead(Request("/resumable/x"));
    EXPECT_EQ(answer.body(), whole);
    EXPECT_TRUE(answer.broken());
    EXPECT_EQ(calls_, 1);
  }
}

// The end of the connection is the end of the body for such a caller, so only a
// reset shows that it came too early.
TEST_F(CutAnswersTest, ACallerWithoutChunksGetsAReset) {
  AddUnframedTarget(Event(1) + kHalfEvent);
  std::string request = Request("/stream/x");
  request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
  const auto answer = CallAndRead(request);
  EXPECT_EQ(answer.status(), 200U);
  EXPECT_TRUE(answer.broken());
}

TEST_F(CutAnswersTest, ACutStreamCountsAsALossOfItsTarget) {
  AddUnframedTarget(Event(1) + kHalfEvent);
  CallAndRead(Request("/stream/x"));
  EXPECT_EQ(thread_->Do([this] {
    return quarantine_.Count(base::BootClock::now()).suspects;
  }),
            1U);
  EXPECT_TRUE(thread_->Do([this] {
    return engines_.Find(base::TargetId("t0"))
        ->health.IsAvoided(base::BootClock::now());
  }));
}

// Otherwise answers would be expected to be as short as those that were cut.
TEST_F(CutAnswersTest, TheSizeOfACutStreamIsNotLearnt) {
  const base::ServiceName service("s");
  AddUnframedTarget(Events(1, 20) + "id: 21\nda");
  for (int i = 0; i < 10; ++i) {
    CallAndRead(Request("/stream/" + std::to_string(i),
                        "Lynxglade-Model: m\r\nLynxglade-Token-Usage: 9,900\r\n"
                        "Lynxglade-Prefix-Hash: aa:9\r\n"
                        "Lynxglade-Length-Hint: 900\r\n"));
  }
  EXPECT_EQ(Arrivals(), 10U);
  EXPECT_FALSE(
      thread_->Do([&] { return generation_times_.TokensOf(service, 1); }));
}

}  // namespace
}  // namespace lynxglade::platform
