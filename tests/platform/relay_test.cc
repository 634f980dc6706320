// The relay on loopback, from caller to target, with the platform's protocol
// and targets with scripted answers.
#include "request/passthrough/relay.h"

#include <atomic>
#include <chrono>
#include <future>
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

TEST_F(RelayTest, ForwardsRequestAndAnswer) {
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
  // Headers that callers may not set are removed.
  EXPECT_EQ(Header(seen, "Lynxglade-Stage"), "");
  EXPECT_EQ(Header(seen, "Connection"), "");
  const int left = std::stoi(Header(seen, "Lynxglade-Deadline-Ms"));
  EXPECT_GT(left, 0);
  EXPECT_LE(left, 5000);
}

// Guards against DENIED: after an outage of the store, instances with an old
// configuration denied what a newer one allowed.
TEST_F(RelayTest, AnOldViewOfTheStoreDeniesNothing) {
  AddTarget(Ok);
  view_age_ = std::chrono::milliseconds(2001);
  const std::string answer = Call(Request("/nowhere/x"));
  EXPECT_TRUE(IsStatus(answer, "503")) << answer;
  EXPECT_NE(answer.find("Retry-After: 0."), std::string::npos);
  EXPECT_TRUE(IsStatus(Call(Request("/safe/x")), "200"));
  thread_->Do([this] {
    view_age_ = std::chrono::milliseconds(2000);
    return true;
  });
  EXPECT_TRUE(IsStatus(Call(Request("/nowhere/x")), "404"));
}

TEST_F(RelayTest, RejectsRequestsThatItCannotRoute) {
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

// A load balancer may send requests to a stopping instance until it exits;
// accepted requests would be interrupted.
TEST_F(RelayTest, AStoppingInstanceRejectsRequestsAtOnce) {
  AddTarget(Ok);
  accepts_ = false;
  const std::string answer = Call(Request("/unsafe/x"));
  EXPECT_TRUE(IsStatus(answer, "503"));
  EXPECT_NE(answer.find("Retry-After: 0."), std::string::npos);
  EXPECT_EQ(Arrivals(), 0U);
}

TEST_F(RelayTest, WithoutATargetSendsRetryAfter) {
  const std::string answer = Call(Request("/unsafe/x"));
  EXPECT_TRUE(IsStatus(answer, "503"));
  EXPECT_NE(answer.find("Retry-After: 0."), std::string::npos);
}

// Guards against a sound target that falls silent for a second and goes on: its
// answer is neither broken off nor counted against it.
TEST_F(RelayTest, TargetThatIsSilentForASecondIsWaitedFor) {
  std::promise<void> never;
  AddTarget([&never](const std::string& request) {
    never.get_future().wait_for(std::chrono::milliseconds(1200));
    return Ok(request);
  });
  EXPECT_TRUE(IsStatus(Call(Request("/unsafe/x")), "200"));
  EXPECT_EQ(Arrivals(), 1U);
  const bool avoided = thread_->Do([this] {
    return engines_.Find(base::TargetId("t0"))
        ->health.IsAvoided(base::BootClock::now());
  });
  EXPECT_FALSE(avoided);
}

// --- Retries

TEST_F(RelayTest, ARequestThatWasNotRunIsRetriedElsewhere) {
  AddTarget(NotRun);
  AddTarget(NotRun);
  AddTarget(Ok);
  EXPECT_TRUE(IsStatus(Call(Request("/unsafe/x")), "200"));
}

TEST_F(RelayTest, ReportsNotRunIfAllTargetsReject) {
  AddTarget(NotRun);
  AddTarget(NotRun);
  EXPECT_TRUE(IsStatus(Call(Request("/unsafe/x")), "503"));
  EXPECT_EQ(Arrivals(), 2U);
}

TEST_F(RelayTest, ANonIdempotentRequestOfUnknownOutcomeIsNotRetried) {
  for (int i = 0; i < 2; ++i) {
    AddTarget([](const std::string&) { return Reply{"", Then::kReset}; });
  }
  EXPECT_TRUE(IsStatus(Call(Request("/unsafe/x")), "502"));
  EXPECT_EQ(Arrivals(), 1U);
}

TEST_F(RelayTest, AnIdempotentRequestOfUnknownOutcomeIsRetried) {
  std::atomic<int> calls = 0;
  for (int i = 0; i < 2; ++i) {
    AddTarget([&calls](const std::string& request) {
      return ++calls == 1 ? Reply{"", Then::kReset} : Ok(request);
    });
  }
  EXPECT_TRUE(IsStatus(Call(Request("/safe/x")), "200"));
  EXPECT_EQ(Arrivals(), 2U);
}

TEST_F(RelayTest, AttemptsAreLimited) {
  for (int i = 0; i < 4; ++i) {
    AddTarget([](const std::string&) { return Reply{"", Then::kReset}; });
  }
  EXPECT_TRUE(IsStatus(Call(Request("/safe/x")), "502"));
  EXPECT_EQ(Arrivals(), 2U);
}

TEST_F(RelayTest, WithoutRetryBudgetNothingIsRetried) {
  ExhaustRetryBudget();
  AddTarget(NotRun);
  AddTarget(NotRun);
  EXPECT_TRUE(IsStatus(Call(Request("/unsafe/x")), "503"));
  EXPECT_EQ(Arrivals(), 1U);
}

TEST_F(RelayTest, ATargetsErrorIsForwardedIfNoRetrySucceeds) {
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

TEST_F(RelayTest, AMisdirectedRequestIsReportedAsNotRun) {
  AddTarget([](const std::string& request) {
    return Answer(request, "421 Misdirected Request", "",
                  "Lynxglade-Instance-Id: other\r\n");
  });
  EXPECT_TRUE(IsStatus(Call(Request("/unsafe/x")), "503"));
}

// --- Invalid answers

TEST_F(RelayTest, ASuccessWithoutSignatureIsNotForwarded) {
  AddTarget([](const std::string& request) {
    return Answer(request, "200 OK", "fine", "");
  });
  EXPECT_TRUE(IsStatus(Call(Request("/unsafe/x")), "502"));
}

TEST_F(RelayTest, AnEncodedBodyIsNotForwarded) {
  AddTarget([](const std::string& request) {
    return Answer(request, "200 OK", "fine",
                  std::string(kProofLine) + "Content-Encoding: gzip\r\n");
  });
  EXPECT_TRUE(IsStatus(Call(Request("/unsafe/x")), "502"));
}

TEST_F(RelayTest, ATruncatedAnswerIsNotForwarded) {
  AddTarget([](const std::string& request) {
    return Reply{"HTTP/1.1 200 OK\r\n" + Echo(request) + kProofLine +
                     "Content-Length: 10\r\n\r\nfin",
                 Then::kClose};
  });
  EXPECT_TRUE(IsStatus(Call(Request("/unsafe/x")), "502"));
}

TEST_F(RelayTest, AMalformedAnswerIsNotForwarded) {
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

// A duplicate answer to an earlier request arrives before the expected answer.
TEST_F(RelayTest, AnswersToOtherRequestsAreSkipped) {
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

TEST_F(RelayTest, AConnectionWithBytesAfterTheAnswerIsNotReused) {
  AddTarget([](const std::string& request) {
    Reply reply = Ok(request);
    reply.bytes += "HTTP/1.1 200 OK\r\n";
    return reply;
  });
  EXPECT_TRUE(Call(Request("/unsafe/x")).ends_with("fine"));
  EXPECT_TRUE(Call(Request("/unsafe/x")).ends_with("fine"));
  EXPECT_EQ(targets_[0]->connections(), 2);
}

TEST_F(RelayTest, AConnectionClosedByTheTargetIsNotReused) {
  AddTarget([](const std::string& request) {
    Reply reply = Ok(request);
    reply.then = Then::kClose;
    return reply;
  });
  for (int i = 0; i < 5; ++i) {
    EXPECT_TRUE(Call(Request("/unsafe/x")).ends_with("fine"));
    // A request that races with the close may fail, as it is not retried.
    ASSERT_TRUE(targets_[0]->AwaitEnded(i + 1));
  }
  EXPECT_EQ(targets_[0]->connections(), 5);
}

// --- Streams

TEST_F(RelayTest, ForwardsAStream) {
  AddTarget([](const std::string& request) {
    return Stream(request, 1, 3, Then::kKeep);
  });
  const std::string answer = Call(Request("/stream/x"));
  EXPECT_TRUE(IsStatus(answer, "200"));
  EXPECT_NE(answer.find(Event(3)), std::string::npos);
  EXPECT_TRUE(answer.ends_with("0\r\n\r\n"));
}

TEST_F(RelayTest, AnInterruptedStreamDoesNotLookComplete) {
  for (int i = 0; i < 2; ++i) {
    AddTarget([](const std::string& request) {
      return Stream(request, 1, 2, Then::kReset);
    });
  }
  EXPECT_FALSE(Call(Request("/stream/x")).ends_with("0\r\n\r\n"));
  EXPECT_EQ(Arrivals(), 1U);
}

TEST_F(RelayTest, AResumableStreamContinuesAtAnotherTarget) {
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

TEST_F(RelayTest, AResumableStreamThatCannotContinueDoesNotLookComplete) {
  std::atomic<int> calls = 0;
  const auto handler = [&calls](const std::string& request) {
    return ++calls == 1 ? Stream(request, 1, 2, Then::kReset) : NotRun(request);
  };
  AddTarget(handler);
  AddTarget(handler);
  EXPECT_FALSE(Call(Request("/resumable/x")).ends_with("0\r\n\r\n"));
}

// --- Timeouts and cancellation

TEST_F(RelayTest, ATimeoutAfterSendingIsNotReportedAsNotRun) {
  AddTarget([](const std::string&) { return Reply{"", Then::kHang}; });
  const std::string request =
      "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nLynxglade-Attempt-Id: r1\r\n"
      "Lynxglade-Deadline-Ms: 50\r\nContent-Length: 0\r\n"
      "Connection: close\r\n\r\n";
  EXPECT_TRUE(IsStatus(Call(request), "504"));
}

TEST_F(RelayTest, TheTargetRequestEndsWhenTheCallerDisconnects) {
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

// --- Separate prefill and decode engines

TEST_F(RelayTest, APromptIsPrefilledAndDecodedOnDifferentEngines) {
  ScriptedServer& prefill_engine =
      AddTarget(PrefillDone, EngineStage::kPrefill);
  ScriptedServer& decode_engine = AddTarget([](const std::string& request) {
    return Stream(request, 1, 2, Then::kKeep);
  });
  EXPECT_TRUE(Call(Request("/stream/x", kPromptLines)).ends_with("0\r\n\r\n"));
  ASSERT_EQ(prefill_engine.requests().size(), 1U);
  ASSERT_EQ(decode_engine.requests().size(), 1U);
  EXPECT_EQ(Header(prefill_engine.requests()[0], "Lynxglade-Stage"), "prefill");
  EXPECT_EQ(Header(decode_engine.requests()[0], "Lynxglade-Stage"), "");
  EXPECT_EQ(Header(decode_engine.requests()[0], "Lynxglade-Kv-Source"),
            "127.0.0.1:" + std::to_string(prefill_engine.port()) + "/k1");
  EXPECT_EQ(Header(decode_engine.requests()[0], "Lynxglade-Prefix-Hash"),
            "aa:13300,bb:3720");
}

// A decode engine that rejects with free slots could not fetch the KV cache:
// the prompt is prefilled elsewhere and the handle is released.
TEST_F(RelayTest, APromptWhoseCacheCannotBeFetchedIsPrefilledElsewhere) {
  AddTarget(PrefillDone, EngineStage::kPrefill);
  AddTarget(PrefillDone, EngineStage::kPrefill);
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

// An engine that changes its stage or leaves rejects requests immediately, so
// it looks like the least loaded one. Without avoidance it would get all
// requests until the retry budget is spent.
TEST_F(RelayTest, ATargetThatRejectsWithFreeSlotsIsAvoided) {
  ScriptedServer& rejecting = AddTarget(NotRun);
  ScriptedServer& running = AddTarget(Ok);
  for (int i = 0; i < 8; ++i) {
    EXPECT_TRUE(IsStatus(Call(Request("/safe/x")), "200"));
  }
  EXPECT_LE(rejecting.requests().size(), 1U);
  EXPECT_EQ(running.requests().size(), 8U);
}

// During a store outage, another service's target may reuse an engine's
// address. Each request sent there counts against the retry budget of that
// service.
TEST_F(RelayTest, ATargetAtAReusedAddressIsNotTriedAgain) {
  ScriptedServer& stranger = AddTarget([](const std::string& request) {
    return Answer(request, "421 Misdirected Request", "", "");
  });
  for (int i = 0; i < 8; ++i) {
    EXPECT_TRUE(IsStatus(Call(Request("/safe/x")), "503"));
  }
  EXPECT_EQ(stranger.requests().size(), 1U);
}

// An engine that has rejected other requests, too, says nothing about the KV
// cache: the prompt is not prefilled a second time.
TEST_F(RelayTest, TheCacheIsKeptIfTheDecodeEngineRejectsEverything) {
  ScriptedServer& prefill_engine =
      AddTarget(PrefillDone, EngineStage::kPrefill);
  AddTarget([](const std::string& request) {
    return Stream(request, 1, 2, Then::kKeep);
  });
  ScriptedServer& rejecting = AddTarget(NotRun);
  StartRelay();
  const auto engine = engines_.Find(base::TargetId("t2"));
  thread_->Do([&] {
    engine->health.OnRejection(true, base::BootClock::now());
    // The rejecting engine looks less loaded.
    engines_.Find(base::TargetId("t1"))->in_flight = 5;
    return true;
  });
  EXPECT_TRUE(Call(Request("/stream/x", kPromptLines)).ends_with("0\r\n\r\n"));
  EXPECT_EQ(rejecting.requests().size(), 1U);
  EXPECT_EQ(prefill_engine.requests().size(), 1U);
}

// Unreachable prefill engines must not count as failed prefills: otherwise,
// after two of them, the prompt would be prefilled on a decode engine and delay
// its streams.
TEST_F(RelayTest, UnreachableEnginesDoNotCountAsFailedPrefills) {
  for (int i = 0; i < 3; ++i) {
    AddTarget(PrefillDone, EngineStage::kPrefill);
  }
  ScriptedServer& decode_engine = AddTarget([](const std::string& request) {
    return Stream(request, 1, 2, Then::kKeep);
  });
  // Three more prefill engines at an address where nothing listens.
  for (int i = 3; i < 6; ++i) {
    request::passthrough::EngineEntry entry =
        engines_.Find(base::TargetId("t0"))->entry;
    entry.id = base::TargetId("gone" + std::to_string(i));
    entry.port = 1;
    engines_.Put(entry, base::Time());
  }
  // The reachable ones have more work, but would finish within the timeout.
  for (const char* id : {"t0", "t1", "t2"}) {
    engines_.Find(base::TargetId(id))->prefills[0].prefill_tokens = 30'000;
  }
  EXPECT_TRUE(Call(Request("/stream/x", kPromptLines)).ends_with("0\r\n\r\n"));
  ASSERT_EQ(decode_engine.requests().size(), 1U);
  EXPECT_NE(Header(decode_engine.requests()[0], "Lynxglade-Kv-Source"), "");
}

TEST_F(RelayTest, IfPrefillEnginesRejectTheDecodeEnginePrefills) {
  AddTarget(NotRun, EngineStage::kPrefill);
  ScriptedServer& decode_engine = AddTarget([](const std::string& request) {
    return Stream(request, 1, 2, Then::kKeep);
  });
  EXPECT_TRUE(Call(Request("/stream/x", kPromptLines)).ends_with("0\r\n\r\n"));
  EXPECT_EQ(Header(decode_engine.requests()[0], "Lynxglade-Kv-Source"), "");
}

}  // namespace
}  // namespace lynxglade::platform
