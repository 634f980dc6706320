// Tests the relay and the target client against fake engines over real sockets.
// The results are checked against the engines' journals.
#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/hash.h"
#include "base/random.h"
#include "connection/target_client.h"
#include "fakes/engine_host.h"
#include "fakes/token_text.h"
#include "request/relay.h"

namespace lynxglade::request {
namespace {

using base::Outcome;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEngines = 3;
constexpr int kTokens = 8;
constexpr char kPrompt[] = "nest these parts";

// Three fast engines, each with its own faults.
class Fleet {
 public:
  Fleet() : blocks_(base::BootClock::now, seconds(30)) {
    for (int i = 0; i < kEngines; ++i) {
      fakes::EngineHostSettings settings;
      settings.engine.id = "e" + std::to_string(i);
      settings.engine.rates = {.prefill = 1e6,
                               .decode = 1e5,
                               .per_stream = 2e3,
                               .prefill_share = 0.5,
                               .mix_penalty = 0,
                               .off_role = 1,
                               .kv_transfer = 1e6};
      settings.engine.orders.initial.model = "m";
      engines_.push_back(std::make_unique<fakes::EngineHost>(
          std::move(settings), base::SystemRandom(), blocks_));
      EXPECT_TRUE(engines_.back()->Start());
    }
  }

  fakes::EngineHost& engine(std::size_t i) { return *engines_.at(i); }

  void ClearFaults() {
    std::ranges::for_each(engines_, [](const auto& engine) {
      engine->ApplyFaults({{"clear", true}});
    });
  }

  Target TargetOf(std::size_t i) const {
    Target target;
    target.id = base::TargetId(engines_.at(i)->id());
    target.address = "127.0.0.1";
    target.port = engines_.at(i)->port();
    return target;
  }

  // Number of the request's attempts that engines accepted, and of those that
  // ran.
  struct AttemptCounts {
    int accepted = 0;
    int ran = 0;
  };
  AttemptCounts Journal(const base::RequestId& id) const {
    AttemptCounts sum;
    for (const auto& engine : engines_) {
      const json journal = engine->JournalJson();
      for (const json& run : journal["runs"]) {
        if (run["request_id"] == id.str()) {
          ++sum.accepted;
          sum.ran += run["ran"] == true ? 1 : 0;
        }
      }
    }
    return sum;
  }

 private:
  fakes::KvBlocks blocks_;
  std::vector<std::unique_ptr<fakes::EngineHost>> engines_;
};

// Shared by all tests, as each request has a unique id in the journals.
Fleet& TheFleet() {
  static Fleet fleet;
  return fleet;
}

class RelayEnginesTest : public testing::Test {
 protected:
  RelayEnginesTest() : client_(base::BootClock::now, {}) {
    TheFleet().ClearFaults();
    limits_.min_idle_timeout = milliseconds(60);
    limits_.idle_timeout_share = 0;
    request_.id = base::RequestId(base::RandomHexId(base::SystemRandom()));
    request_.arrived = base::BootClock::now();
    request_.deadline = request_.arrived + seconds(30);
    request_.stream = true;
    request_.body =
        json({{"model", "m"},
              {"max_tokens", kTokens},
              {"messages", {{{"role", "user"}, {"content", kPrompt}}}}})
            .dump();
  }

  RelayResult Serve() {
    RelayHooks hooks;
    hooks.now = base::BootClock::now;
    hooks.random = base::SystemRandom();
    hooks.pick = [](const PickQuery& query) {
      PickResult pick;
      pick.target = TheFleet().TargetOf(query.avoid.size() % kEngines);
      return pick;
    };
    hooks.run = [this](const AttemptSpec& spec, const TokenSink& sink) {
      return client_.Run(spec, sink);
    };
    hooks.cancel = [this](const AttemptSpec& spec) { client_.Cancel(spec); };
    hooks.sleep = [](base::Duration, const auto&) { return true; };
    hooks.allow_retry = [](const RetryQuery& query) {
      RetryDecision decision;
      decision.allowed = query.attempts < kEngines;
      return decision;
    };
    hooks.claim_begin = [](const Request&) {
      ClaimDecision decision;
      decision.claim.emplace();
      return decision;
    };
    hooks.claim_finish = [](const Claim&, Outcome, const Answer*) {};
    hooks.wants_split = [this](const Request&) { return split_; };
    const Relay relay(hooks, limits_);
    CallerSink sink;
    sink.on_token = [this](const TokenChunk& chunk) {
      text_ += chunk.text;
      return true;
    };
    return relay.Serve(request_, sink);
  }

  static std::string WholeText() {
    return fakes::AnswerText(fakes::HashPrompt(kPrompt), 0, kTokens);
  }

  connection::TargetClient client_;
  RelayLimits limits_;
  Request request_;
  bool split_ = false;
  std::string text_;
};

const std::vector<json>& Faults() {
  static const std::vector<json> faults = {
      json::object(),
      {{"reset_before", 1}},
      {{"reset_after", 1}},
      {{"truncate", 1}, {"truncate_after", 3}},
      {{"stall", 1}, {"stall_after", 2}},
      {{"crossed", 1}},
      {{"overloaded", 1}},
      {{"refuse_draining", 1}},
      {{"never_answer", 1}},
      {{"crash_after_tokens", 4}, {"down_ms", 1}},
      {{"refuse", true}},
  };
  return faults;
}

// With any faults at the engines, a delivered answer is complete, an outcome of
// not-run agrees with the engines' journals, and a non-idempotent request is
// accepted by at most one engine.
RC_GTEST_FIXTURE_PROP(RelayEnginesTest, ResultsAgreeWithEngineJournals, ()) {
  for (std::size_t i = 0; i < kEngines; ++i) {
    const auto n = *rc::gen::inRange<std::size_t>(0, Faults().size());
    TheFleet().engine(i).ApplyFaults(Faults()[n]);
  }
  request_.non_idempotent = *rc::gen::arbitrary<bool>();
  if (request_.non_idempotent) {
    // The relay waits for an unresponsive engine until the deadline.
    request_.deadline = request_.arrived + milliseconds(300);
  }

  const RelayResult result = Serve();

  const Fleet::AttemptCounts counts = TheFleet().Journal(request_.id);
  RC_LOG() << "attempts " << result.attempts << " accepted " << counts.accepted;
  if (!result.refusal) {
    RC_ASSERT(text_ == WholeText());
    RC_ASSERT(counts.ran >= 1);
  } else if (result.refusal->outcome == Outcome::kNotRun) {
    RC_ASSERT(counts.accepted == 0);
  }
  if (request_.non_idempotent) {
    RC_ASSERT(counts.accepted <= 1);
  }
}

TEST_F(RelayEnginesTest, PrefillAndDecodeAtSeparateEngines) {
  split_ = true;
  const RelayResult result = Serve();
  ASSERT_FALSE(result.refusal) << result.refusal->message;
  EXPECT_EQ(text_, WholeText());
  EXPECT_EQ(result.attempts, 2);
  EXPECT_EQ(result.answer.usage.completion.value(), kTokens);
}

}  // namespace
}  // namespace lynxglade::request
