// Random target faults: the status that the caller gets is compared with what
// the targets have executed.
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

// How a target handles one arrival.
enum class Behaviour {
  kAnswer,
  kReject,
  kRejectOther,
  kFail,
  kResetSilently,
  kCloseSilently,
  kTruncateBody,
  kNoSignature,
  kGarbage,
  kForeignAnswerFirst,
  kExtraBytes,
};
constexpr int kBehaviours = static_cast<int>(Behaviour::kExtraBytes) + 1;

bool Runs(Behaviour behaviour) {
  return behaviour != Behaviour::kReject &&
         behaviour != Behaviour::kRejectOther;
}

// What the targets have received and executed of one request.
struct TargetLog {
  int arrivals = 0;
  int runs = 0;
};

class RelaySchedulesTest : public RelayTest {
 protected:
  // `behaviours`: for the first, second, ... arrival of the request.
  void Plan(const std::string& id, std::vector<Behaviour> behaviours) {
    const std::lock_guard lock(mutex_);
    plans_[id] = std::move(behaviours);
  }
  TargetLog LogOf(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return logs_[id];
  }
  Reply Do(const std::string& request) {
    const std::string id = Header(request, "Lynxglade-Attempt-Id");
    Behaviour behaviour = Behaviour::kAnswer;
    {
      const std::lock_guard lock(mutex_);
      TargetLog& seen = logs_[id];
      const auto& behaviours = plans_[id];
      const auto n = static_cast<std::size_t>(seen.arrivals++);
      behaviour = n < behaviours.size() ? behaviours[n] : Behaviour::kAnswer;
      seen.runs += Runs(behaviour) ? 1 : 0;
    }
    return Play(behaviour, request);
  }

 private:
  static Reply Play(Behaviour behaviour, const std::string& request) {
    Reply reply = Ok(request);
    switch (behaviour) {
      case Behaviour::kAnswer:
        break;
      case Behaviour::kReject:
        return NotRun(request);
      case Behaviour::kRejectOther:
        return Answer(request, "421 Misdirected Request", "", "");
      case Behaviour::kFail:
        return Answer(request, "500 Internal Server Error", "oh");
      case Behaviour::kResetSilently:
        return {"", Then::kReset};
      case Behaviour::kCloseSilently:
        return {"", Then::kClose};
      case Behaviour::kTruncateBody:
        reply.bytes.pop_back();
        reply.then = Then::kClose;
        break;
      case Behaviour::kNoSignature:
        return Answer(request, "200 OK", "fine", "");
      case Behaviour::kGarbage:
        return {"this is no answer\r\n\r\n", Then::kClose};
      case Behaviour::kForeignAnswerFirst: {
        std::string other = request;
        const std::string mine =
            "Lynxglade-Attempt-Id: " + Header(request, "Lynxglade-Attempt-Id");
        other.replace(other.find(mine), mine.size(),
                      "Lynxglade-Attempt-Id: another");
        reply.bytes = Answer(other, "200 OK", "not yours").bytes + reply.bytes;
        break;
      }
      case Behaviour::kExtraBytes:
        reply.bytes += "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra";
        break;
    }
    return reply;
  }

  std::mutex mutex_;
  std::map<std::string, std::vector<Behaviour>> plans_;
  std::map<std::string, TargetLog> logs_;
};

struct Outcome {
  std::string answer;
  TargetLog seen;

  // Whether the status guarantees that the request was not and will not be
  // executed.
  bool PromisesNotRun() const {
    constexpr std::array kPromises{"408", "421", "429", "503"};
    return std::ranges::any_of(
        kPromises, [this](const char* it) { return IsStatus(answer, it); });
  }
};

// A non-idempotent request runs at most once, a status that guarantees "not
// run" is correct, a success is a complete answer of an execution, and every
// caller gets an answer.
RC_GTEST_FIXTURE_PROP(RelaySchedulesTest, StatusMatchesExecution, ()) {
  constexpr int kRequests = 100;
  constexpr int kMaxBehaviours = 4;
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
    std::vector<Behaviour> behaviours(
        static_cast<std::size_t>(draw(kMaxBehaviours + 1)));
    std::ranges::generate(
        behaviours, [&] { return static_cast<Behaviour>(draw(kBehaviours)); });
    Plan(id, std::move(behaviours));
    const bool safe = i % 2 == 0;
    Outcome outcome;
    outcome.answer = Call(Request(safe ? "/safe/x" : "/unsafe/x", {}, id));
    outcome.seen = LogOf(id);
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
