// The whole path on loopback: caller, relay, the users' protocol, and targets
// that answer with bytes written down here.
#include "request/passthrough/relay.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "connection/raw_client.h"
#include "platform/relay_fixture.h"

namespace lynxglade::platform {
namespace {

using connection::ScriptedServer;
using request::passthrough::EngineStage;
using tests::RawClient;
using Reply = ScriptedServer::Reply;
using Then = ScriptedServer::Then;

TEST_F(RelayTest, PassesRequestAndAnswerOn) {
  ScriptedServer& target = AddTarget(Ok);
  const std::string answer =
      Call(Request("/safe/x?q=1", "Lynxglade-Stage: prefill\r\nX-Own: 7\r\n"));
  EXPECT_TRUE(IsStatus(answer, "200"));
  EXPECT_NE(answer.find(kProofLine), std::string::npos);
  EXPECT_TRUE(answer.ends_with("\r\n\r\nfine"));
  ASSERT_EQ(target.requests().size(), 1U);
  const std::string seen = target.requests()[0];
  EXPECT_TRUE(seen.starts_with("POST /safe/x?q=1 HTTP/1.1\r\n"));
  EXPECT_TRUE(seen.ends_with("\r\n\r\nabc"));
  EXPECT_EQ(Header(seen, "Lynxglade-Attempt-Id"), "r1");
  EXPECT_EQ(Header(seen, "Lynxglade-Expect-Instance"), "t0");
  EXPECT_EQ(Header(seen, "X-Own"), "7");
  // What only the system may set does not come from a caller.
  EXPECT_EQ(Header(seen, "Lynxglade-Stage"), "");
  EXPECT_EQ(Header(seen, "Connection"), "");
  const int left = std::stoi(Header(seen, "Lynxglade-Deadline-Ms"));
  EXPECT_GT(left, 0);
  EXPECT_LE(left, 5000);
}

TEST_F(RelayTest, RefusesWhatItCannotRoute) {
  AddTarget(Ok);
  EXPECT_TRUE(IsStatus(Call(Request("/nowhere/x")), "404"));
  thread_->Do([this] {
    routes_.reset();
    return true;
  });
  const std::string answer = Call(Request("/safe/x"));
  EXPECT_TRUE(IsStatus(answer, "503"));
  EXPECT_NE(answer.find("Retry-After: 0."), std::string::npos);
  EXPECT_EQ(Arrivals(), 0U);
}

// The load this answers: most instances of a zone restart at once, so that the
// balancer sends a stopping one requests until its last second; what it took
// then was cut off with the process.
TEST_F(RelayTest, AnInstanceThatCannotFinishARequestRefusesItAtOnce) {
  AddTarget(Ok);
  accepts_ = false;
  const std::string answer = Call(Request("/unsafe/x"));
  EXPECT_TRUE(IsStatus(answer, "503"));
  EXPECT_NE(answer.find("Retry-After: 0."), std::string::npos);
  EXPECT_EQ(Arrivals(), 0U);
}

TEST_F(RelayTest, WithoutATargetTellsWhenToComeBack) {
  const std::string answer = Call(Request("/unsafe/x"));
  EXPECT_TRUE(IsStatus(answer, "503"));
  EXPECT_NE(answer.find("Retry-After: 0."), std::string::npos);
}

// --- What may be repeated

TEST_F(RelayTest, ARequestThatWasNotRunGoesToAnotherTarget) {
  AddTarget(NotRun);
  AddTarget(NotRun);
  AddTarget(Ok);
  EXPECT_TRUE(IsStatus(Call(Request("/unsafe/x")), "200"));
}

TEST_F(RelayTest, WhereNoTargetRunsItTheRefusalSaysSo) {
  AddTarget(NotRun);
  AddTarget(NotRun);
  EXPECT_TRUE(IsStatus(Call(Request("/unsafe/x")), "503"));
  EXPECT_EQ(Arrivals(), 2U);
}

TEST_F(RelayTest, AnUnsafeRequestOfUnknownOutcomeIsNeverSentAgain) {
  for (int i = 0; i < 2; ++i) {
    AddTarget([](const std::string&) { return Reply{"", Then::kReset}; });
  }
  EXPECT_TRUE(IsStatus(Call(Request("/unsafe/x")), "502"));
  EXPECT_EQ(Arrivals(), 1U);
}

TEST_F(RelayTest, AnIdempotentRequestOfUnknownOutcomeIsSentAgain) {
  std::atomic<int> calls = 0;
  for (int i = 0; i < 2; ++i) {
    AddTarget([&calls](const std::string& request) {
      return ++calls == 1 ? Reply{"", Then::kReset} : Ok(request);
    });
  }
  EXPECT_TRUE(IsStatus(Call(Request("/safe/x")), "200"));
  EXPECT_EQ(Arrivals(), 2U);
}

TEST_F(RelayTest, AttemptsAreBounded) {
  for (int i = 0; i < 4; ++i) {
    AddTarget([](const std::string&) { return Reply{"", Then::kReset}; });
  }
  EXPECT_TRUE(IsStatus(Call(Request("/safe/x")), "502"));
  EXPECT_EQ(Arrivals(), 2U);
}

TEST_F(RelayTest, WithoutAllowanceNothingIsSentAgain) {
  UseUpShare();
  AddTarget(NotRun);
  AddTarget(NotRun);
  EXPECT_TRUE(IsStatus(Call(Request("/unsafe/x")), "503"));
  EXPECT_EQ(Arrivals(), 1U);
}

TEST_F(RelayTest, ATargetsFailureIsPassedOnIfNoOtherDoesBetter) {
  const auto failing = [](const std::string& request) {
    return Answer(request, "500 Internal Server Error", "oh");
  };
  AddTarget(failing);
  AddTarget(failing);
  const std::string answer = Call(Request("/safe/x"));
  EXPECT_TRUE(IsStatus(answer, "500"));
  EXPECT_TRUE(answer.ends_with("oh"));
  EXPECT_EQ(Arrivals(), 2U);
  EXPECT_TRUE(IsStatus(Call(Request("/unsafe/x")), "500"));
  EXPECT_EQ(Arrivals(), 3U);
}

TEST_F(RelayTest, AnotherTargetAtTheAddressRunsNothing) {
  AddTarget([](const std::string& request) {
    return Answer(request, "421 Misdirected Request", "",
                  "Lynxglade-Instance-Id: other\r\n");
  });
  EXPECT_TRUE(IsStatus(Call(Request("/unsafe/x")), "503"));
}

// --- Answers that are not what they seem

TEST_F(RelayTest, ASuccessWithoutProofIsNotPassedOn) {
  AddTarget([](const std::string& request) {
    return Answer(request, "200 OK", "fine", "");
  });
  EXPECT_TRUE(IsStatus(Call(Request("/unsafe/x")), "502"));
}

TEST_F(RelayTest, AnEncodedBodyIsNotPassedOn) {
  AddTarget([](const std::string& request) {
    return Answer(request, "200 OK", "fine",
                  std::string(kProofLine) + "Content-Encoding: gzip\r\n");
  });
  EXPECT_TRUE(IsStatus(Call(Request("/unsafe/x")), "502"));
}

TEST_F(RelayTest, ATornAnswerIsNotPassedOn) {
  AddTarget([](const std::string& request) {
    return Reply{"HTTP/1.1 200 OK\r\n" + Echo(request) + kProofLine +
                     "Content-Length: 10\r\n\r\nfin",
                 Then::kClose};
  });
  EXPECT_TRUE(IsStatus(Call(Request("/unsafe/x")), "502"));
}

TEST_F(RelayTest, BytesThatAreNoAnswerAreNotPassedOn) {
  AddTarget([](const std::string&) {
    return Reply{"no answer at all\r\n\r\n", Then::kClose};
  });
  EXPECT_TRUE(IsStatus(Call(Request("/unsafe/x")), "502"));
}

TEST_F(RelayTest, AnAnswerWithoutLengthEndsWithItsConnection) {
  std::atomic<bool> reset = false;
  AddTarget([&reset](const std::string& request) {
    return Reply{"HTTP/1.1 200 OK\r\n" + Echo(request) + kProofLine +
                     "Connection: close\r\n\r\nfine",
                 reset ? Then::kReset : Then::kClose};
  });
  const std::string answer = Call(Request("/unsafe/x"));
  EXPECT_TRUE(IsStatus(answer, "200"));
  EXPECT_TRUE(answer.ends_with("\r\n\r\nfine"));
  reset = true;
  EXPECT_TRUE(IsStatus(Call(Request("/unsafe/x")), "502"));
}

// An extra answer to an earlier request stands where the next is due.
TEST_F(RelayTest, AnswersToOtherRequestsArePassedOver) {
  std::atomic<int> calls = 0;
  AddTarget([&calls](const std::string& request) {
    Reply reply = Ok(request);
    if (++calls == 2) {
      reply.bytes = "HTTP/1.1 200 OK\r\nLynxglade-Attempt-Id: r0\r\n" +
                    std::string(kProofLine) + "Content-Length: 5\r\n\r\nwrong" +
                    reply.bytes;
    }
    return reply;
  });
  EXPECT_TRUE(Call(Request("/safe/x")).ends_with("fine"));
  EXPECT_TRUE(Call(Request("/safe/x")).ends_with("fine"));
  EXPECT_EQ(targets_[0]->connections(), 1);
}

TEST_F(RelayTest, AConnectionWithBytesAfterTheAnswerIsNotUsedAgain) {
  AddTarget([](const std::string& request) {
    Reply reply = Ok(request);
    reply.bytes += "HTTP/1.1 200 OK\r\n";
    return reply;
  });
  EXPECT_TRUE(Call(Request("/unsafe/x")).ends_with("fine"));
  EXPECT_TRUE(Call(Request("/unsafe/x")).ends_with("fine"));
  EXPECT_EQ(targets_[0]->connections(), 2);
}

TEST_F(RelayTest, AConnectionThatTheTargetClosedIsNotUsedAgain) {
  AddTarget([](const std::string& request) {
    Reply reply = Ok(request);
    reply.then = Then::kClose;
    return reply;
  });
  for (int i = 0; i < 5; ++i) {
    EXPECT_TRUE(Call(Request("/unsafe/x")).ends_with("fine"));
  }
}

// --- Streams

TEST_F(RelayTest, PassesAStreamOn) {
  AddTarget([](const std::string& request) {
    return Stream(request, 1, 3, Then::kKeep);
  });
  const std::string answer = Call(Request("/stream/x"));
  EXPECT_TRUE(IsStatus(answer, "200"));
  EXPECT_NE(answer.find(Event(3)), std::string::npos);
  EXPECT_TRUE(answer.ends_with("0\r\n\r\n"));
}

TEST_F(RelayTest, ATornStreamDoesNotLookComplete) {
  for (int i = 0; i < 2; ++i) {
    AddTarget([](const std::string& request) {
      return Stream(request, 1, 2, Then::kReset);
    });
  }
  EXPECT_FALSE(Call(Request("/stream/x")).ends_with("0\r\n\r\n"));
  EXPECT_EQ(Arrivals(), 1U);
}

TEST_F(RelayTest, AResumableStreamGoesOnAtAnotherTarget) {
  std::atomic<int> calls = 0;
  const auto handler = [&calls](const std::string& request) {
    if (++calls == 1) {
      Reply reply = Stream(request, 1, 2, Then::kClose);
      reply.bytes += Chunk("id: 3\nda");
      return reply;
    }
    EXPECT_EQ(Header(request, "Last-Event-Id"), "2");
    return Stream(request, 3, 4, Then::kKeep);
  };
  AddTarget(handler);
  AddTarget(handler);
  const std::string answer = Call(Request("/resumable/x"));
  std::string events;
  for (int id = 1; id <= 4; ++id) {
    const std::size_t at = answer.find(Event(id));
    ASSERT_NE(at, std::string::npos);
    EXPECT_EQ(answer.find(Event(id), at + 1), std::string::npos);
  }
  EXPECT_TRUE(answer.ends_with("0\r\n\r\n"));
  EXPECT_EQ(Arrivals(), 2U);
}

TEST_F(RelayTest, AResumableStreamThatCannotGoOnDoesNotLookComplete) {
  std::atomic<int> calls = 0;
  const auto handler = [&calls](const std::string& request) {
    return ++calls == 1 ? Stream(request, 1, 2, Then::kReset) : NotRun(request);
  };
  AddTarget(handler);
  AddTarget(handler);
  EXPECT_FALSE(Call(Request("/resumable/x")).ends_with("0\r\n\r\n"));
}

// --- Time

TEST_F(RelayTest, ARequestThatMayHaveRunEndsWithoutAPromise) {
  AddTarget([](const std::string&) { return Reply{"", Then::kHang}; });
  const std::string request =
      "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nLynxglade-Attempt-Id: r1\r\n"
      "Lynxglade-Deadline-Ms: 50\r\nContent-Length: 0\r\n"
      "Connection: close\r\n\r\n";
  EXPECT_TRUE(IsStatus(Call(request), "504"));
}

TEST_F(RelayTest, ATargetIsLeftWhenTheCallerLeaves) {
  AddTarget([](const std::string&) { return Reply{"", Then::kHang}; });
  StartRelay();
  const auto engine = engines_.Find(base::TargetId("t0"));
  {
    RawClient client(server_->port());
    client.Send(Request("/unsafe/x"));
    thread_->Await([&] { return engine->in_flight == 1; });
  }
  thread_->Await([&] { return engine->in_flight == 0; });
}

// --- Prompts that one engine reads and another runs

TEST_F(RelayTest, APromptIsReadAtOneEngineAndRunAtAnother) {
  ScriptedServer& reader = AddTarget(Read, EngineStage::kPrefill);
  ScriptedServer& runner = AddTarget([](const std::string& request) {
    return Stream(request, 1, 2, Then::kKeep);
  });
  EXPECT_TRUE(Call(Request("/stream/x", kPromptLines)).ends_with("0\r\n\r\n"));
  ASSERT_EQ(reader.requests().size(), 1U);
  ASSERT_EQ(runner.requests().size(), 1U);
  EXPECT_EQ(Header(reader.requests()[0], "Lynxglade-Stage"), "prefill");
  EXPECT_EQ(Header(runner.requests()[0], "Lynxglade-Stage"), "");
  EXPECT_EQ(Header(runner.requests()[0], "Lynxglade-Kv-Source"),
            "127.0.0.1:" + std::to_string(reader.port()) + "/k1");
  EXPECT_EQ(Header(runner.requests()[0], "Lynxglade-Prefix-Hash"),
            "aa:13300,bb:3720");
}

// An engine with free slots that rejects cannot have the cache: the prompt is
// read elsewhere, and the handle is given back.
TEST_F(RelayTest, ACacheThatCannotBeFetchedIsReadAgainElsewhere) {
  AddTarget(Read, EngineStage::kPrefill);
  AddTarget(Read, EngineStage::kPrefill);
  std::atomic<int> runs = 0;
  for (int i = 0; i < 2; ++i) {
    AddTarget([&runs](const std::string& request) {
      return ++runs == 1 ? NotRun(request) : Stream(request, 1, 2, Then::kKeep);
    });
  }
  EXPECT_TRUE(Call(Request("/stream/x", kPromptLines)).ends_with("0\r\n\r\n"));
  int prefills = 0;
  int freed = 0;
  for (int i = 0; i < 2; ++i) {
    for (const std::string& request : targets_[i]->requests()) {
      prefills += request.starts_with("POST") ? 1 : 0;
      freed += request.starts_with("DELETE /kv-handle/k1 ") ? 1 : 0;
    }
  }
  EXPECT_EQ(prefills, 2);
  EXPECT_EQ(freed, 1);
}

// The load this answers: an engine that is ordered to change its stage, or is
// leaving, rejects everything within a millisecond. It looked like the least
// loaded one, so that a zone's requests all went there until the retry
// allowance was spent: 88 quick requests of 2,620 were refused.
TEST_F(RelayTest, ATargetThatRejectsWithRoomIsAvoided) {
  ScriptedServer& rejecting = AddTarget(NotRun);
  ScriptedServer& running = AddTarget(Ok);
  for (int i = 0; i < 8; ++i) {
    EXPECT_TRUE(IsStatus(Call(Request("/safe/x")), "200"));
  }
  EXPECT_LE(rejecting.requests().size(), 1U);
  EXPECT_EQ(running.requests().size(), 8U);
}

// The load this answers: engines whose addresses targets of another service had
// taken while a zone could not hear the store; with no other engine in reach
// the zone's prompts went there again and again, each against that service's
// retries (315 arrivals in ten seconds, 249 allowed).
TEST_F(RelayTest, ATargetAtAReusedAddressIsNotAskedAgain) {
  ScriptedServer& stranger = AddTarget([](const std::string& request) {
    return Answer(request, "421 Misdirected Request", "", "");
  });
  for (int i = 0; i < 8; ++i) {
    EXPECT_TRUE(IsStatus(Call(Request("/safe/x")), "503"));
  }
  EXPECT_EQ(stranger.requests().size(), 1U);
}

// It is not the cache's fault if the engine has rejected others, too: the
// prompt is not read a second time.
TEST_F(RelayTest, ACacheIsKeptForAnotherRunnerIfTheFirstRejectsEverything) {
  ScriptedServer& reader = AddTarget(Read, EngineStage::kPrefill);
  AddTarget([](const std::string& request) {
    return Stream(request, 1, 2, Then::kKeep);
  });
  ScriptedServer& rejecting = AddTarget(NotRun);
  StartRelay();
  const auto engine = engines_.Find(base::TargetId("t2"));
  thread_->Do([&] {
    engine->health.OnRejection(true, base::BootClock::now());
    // The runner looks less loaded.
    engines_.Find(base::TargetId("t1"))->in_flight = 5;
    return true;
  });
  EXPECT_TRUE(Call(Request("/stream/x", kPromptLines)).ends_with("0\r\n\r\n"));
  EXPECT_EQ(rejecting.requests().size(), 1U);
  EXPECT_EQ(reader.requests().size(), 1U);
}

// The load this answers: engines that fall silent together. A prompt whose
// homes they were was given to an engine that generates after two of them, and
// held up its streams.
TEST_F(RelayTest, EnginesThatCannotBeReachedAreNoFailedReads) {
  for (int i = 0; i < 3; ++i) {
    AddTarget(Read, EngineStage::kPrefill);
  }
  ScriptedServer& runner = AddTarget([](const std::string& request) {
    return Stream(request, 1, 2, Then::kKeep);
  });
  // Nobody listens where three more readers are said to be.
  for (int i = 3; i < 6; ++i) {
    request::passthrough::EngineEntry entry =
        engines_.Find(base::TargetId("t0"))->entry;
    entry.id = base::TargetId("gone" + std::to_string(i));
    entry.port = 1;
    engines_.Put(entry, base::Time());
  }
  // Busier than those, but not for longer than the caller stays.
  for (const char* id : {"t0", "t1", "t2"}) {
    engines_.Find(base::TargetId(id))->prefills[0].prefill_tokens = 30'000;
  }
  EXPECT_TRUE(Call(Request("/stream/x", kPromptLines)).ends_with("0\r\n\r\n"));
  ASSERT_EQ(runner.requests().size(), 1U);
  EXPECT_NE(Header(runner.requests()[0], "Lynxglade-Kv-Source"), "");
}

TEST_F(RelayTest, WhereNoEngineReadsTheRunnerDoes) {
  AddTarget(NotRun, EngineStage::kPrefill);
  ScriptedServer& runner = AddTarget([](const std::string& request) {
    return Stream(request, 1, 2, Then::kKeep);
  });
  EXPECT_TRUE(Call(Request("/stream/x", kPromptLines)).ends_with("0\r\n\r\n"));
  EXPECT_EQ(Header(runner.requests()[0], "Lynxglade-Kv-Source"), "");
}

}  // namespace
}  // namespace lynxglade::platform
