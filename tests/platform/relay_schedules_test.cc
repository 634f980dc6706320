// Requests through the relay while targets do whatever targets do: what callers
// are told is held against what the targets have run.
#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "platform/relay_fixture.h"

namespace lynxglade::platform {
namespace {

using connection::ScriptedServer;
using Reply = ScriptedServer::Reply;
using Then = ScriptedServer::Then;

// What a target does with one arrival.
enum class Act {
  kAnswer,
  kReject,
  kRejectOther,
  kFail,
  kResetSilently,
  kCloseSilently,
  kTearBody,
  kNoProof,
  kGarbage,
  kForeignAnswerFirst,
  kExtraBytes,
};
constexpr int kActs = static_cast<int>(Act::kExtraBytes) + 1;

bool Runs(Act act) {
  return act != Act::kReject && act != Act::kRejectOther;
}

// What the targets have seen of each request, by its id.
struct Journal {
  int arrivals = 0;
  int runs = 0;
};

class RelaySchedulesTest : public RelayTest {
 protected:
  // `acts`: what happens to the first, second, ... arrival of a request.
  void Plan(const std::string& id, std::vector<Act> acts) {
    const std::lock_guard lock(mutex_);
    plans_[id] = std::move(acts);
  }
  Journal Of(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return journal_[id];
  }
  Reply Do(const std::string& request) {
    const std::string id = Header(request, "Lynxglade-Attempt-Id");
    Act act = Act::kAnswer;
    {
      const std::lock_guard lock(mutex_);
      Journal& seen = journal_[id];
      const auto& acts = plans_[id];
      const auto n = static_cast<std::size_t>(seen.arrivals++);
      act = n < acts.size() ? acts[n] : Act::kAnswer;
      seen.runs += Runs(act) ? 1 : 0;
    }
    return Play(act, request);
  }

 private:
  static Reply Play(Act act, const std::string& request) {
    Reply reply = Ok(request);
    switch (act) {
      case Act::kAnswer:
        break;
      case Act::kReject:
        return NotRun(request);
      case Act::kRejectOther:
        return Answer(request, "421 Misdirected Request", "", "");
      case Act::kFail:
        return Answer(request, "500 Internal Server Error", "oh");
      case Act::kResetSilently:
        return {"", Then::kReset};
      case Act::kCloseSilently:
        return {"", Then::kClose};
      case Act::kTearBody:
        reply.bytes.pop_back();
        reply.then = Then::kClose;
        break;
      case Act::kNoProof:
        return Answer(request, "200 OK", "fine", "");
      case Act::kGarbage:
        return {"this is no answer\r\n\r\n", Then::kClose};
      case Act::kForeignAnswerFirst: {
        std::string other = request;
        const std::string mine =
            "Lynxglade-Attempt-Id: " + Header(request, "Lynxglade-Attempt-Id");
        other.replace(other.find(mine), mine.size(),
                      "Lynxglade-Attempt-Id: another");
        reply.bytes = Answer(other, "200 OK", "not yours").bytes + reply.bytes;
        break;
      }
      case Act::kExtraBytes:
        reply.bytes += "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra";
        break;
    }
    return reply;
  }

  std::mutex mutex_;
  std::map<std::string, std::vector<Act>> plans_;
  std::map<std::string, Journal> journal_;
};

struct Outcome {
  std::string answer;
  Journal seen;

  // A status that promises that the request was not run and will not be.
  bool PromisesNotRun() const {
    constexpr std::array kPromises{"408", "421", "429", "503"};
    return std::ranges::any_of(
        kPromises, [this](const char* it) { return IsStatus(answer, it); });
  }
};

// 100 requests a case, 20,000 in all: what may not run twice does not, a
// refusal that says not-run is true, success is the whole answer of a run, and
// every caller gets an answer.
RC_GTEST_FIXTURE_PROP(RelaySchedulesTest, CallersAreToldTheTruth, ()) {
  constexpr int kRequests = 100;
  constexpr int kMostActs = 4;
  const auto seed =
      *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>());
  const base::RandomSource random = base::SeededRandom(seed);
  const auto draw = [&random](int n) {
    return static_cast<int>(base::UniformReal(random) * n);
  };
  for (int i = 0; i < 4; ++i) {
    AddTarget([this](const std::string& request) { return Do(request); });
  }
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "q" + std::to_string(i);
    std::vector<Act> acts(static_cast<std::size_t>(draw(kMostActs + 1)));
    std::ranges::generate(acts, [&] { return static_cast<Act>(draw(kActs)); });
    Plan(id, std::move(acts));
    const bool safe = i % 2 == 0;
    Outcome outcome;
    outcome.answer = Call(Request(safe ? "/safe/x" : "/unsafe/x", {}, id));
    outcome.seen = Of(id);
    RC_ASSERT(outcome.answer.starts_with("HTTP/1.1 "));
    RC_ASSERT(outcome.seen.runs <= (safe ? 2 : 1));
    RC_ASSERT(!outcome.PromisesNotRun() || outcome.seen.runs == 0);
    if (IsStatus(outcome.answer, "200")) {
      RC_ASSERT(outcome.seen.runs >= 1);
      RC_ASSERT(outcome.answer.ends_with("\r\n\r\nfine"));
      RC_ASSERT(outcome.answer.find(kProofLine) != std::string::npos);
    }
  }
}

}  // namespace
}  // namespace lynxglade::platform
