#include "request/claims.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/random.h"
#include "fakes/fake_kv.h"
#include "request/claim_record.h"

namespace lynxglade::request {
namespace {

using base::Outcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kKvTimeout = milliseconds(200);

// An instance with its own client, claims and relay. The key-value service is
// shared, and so are the targets: `runs` counts their runs.
class Instance {
 public:
  Instance(fakes::FakeKv& kv, const std::string& name, std::atomic<int>& runs)
      : kv_(fakes::MakeInProcessTransport(kv, name), kKvTimeout),
        claims_(kv_,
                base::InstanceId(name),
                base::BootClock::now,
                base::SystemRandom(),
                metrics_,
                Options()),
        runs_(runs),
        relay_(Hooks(), RelayLimits{}) {}

  RelayResult Serve(const std::string& key, AttemptEnd end) {
    end_ = end;
    Request request;
    request.id = base::RequestId("r");
    request.contract = base::ContractId("c");
    request.non_idempotent = true;
    request.idempotency_key = base::IdempotencyKey(key);
    request.arrived = base::BootClock::now();
    request.deadline = request.arrived + seconds(30);
    return relay_.Serve(request, CallerSink{});
  }

  Claims& claims() { return claims_; }

 private:
  static ClaimOptions Options() {
    ClaimOptions options;
    options.begin_timeout = seconds(30);
    options.writer.min_backoff = milliseconds(1);
    options.writer.max_backoff = milliseconds(4);
    return options;
  }

  RelayHooks Hooks() {
    RelayHooks hooks;
    hooks.now = base::BootClock::now;
    hooks.random = base::SystemRandom();
    hooks.pick = [](const PickQuery&) {
      PickResult pick;
      pick.target.emplace();
      return pick;
    };
    hooks.run = [this](const AttemptSpec&, const TokenSink& sink) {
      return Run(sink);
    };
    hooks.sleep = [](base::Duration, const auto&) { return true; };
    // Retries are always allowed, so that only the relay prevents a second run.
    hooks.allow_retry = [](const RetryQuery&) {
      RetryDecision decision;
      decision.allowed = true;
      return decision;
    };
    hooks.claim_begin = [this](const Request& request) {
      return claims_.Begin(request);
    };
    hooks.claim_finish = [this](const Claim& claim, Outcome outcome,
                                const Answer* answer) {
      claims_.Finish(claim, outcome, answer);
    };
    return hooks;
  }

  AttemptReport Run(const TokenSink& sink) {
    AttemptReport report;
    report.end = end_;
    if (end_ == AttemptEnd::kConnectFailed) {
      report.outcome = Outcome::kNotRun;
      return report;
    }
    ++runs_;
    if (end_ == AttemptEnd::kReset) {
      return report;
    }
    sink.on_token(
        {.text = "plan", .offset = base::Tokens(0), .count = base::Tokens(1)});
    report.outcome = Outcome::kRan;
    report.usage.completion = base::Tokens(1);
    return report;
  }

  base::Metrics metrics_;
  connection::KeyValue kv_;
  Claims claims_;
  std::atomic<int>& runs_;
  std::atomic<AttemptEnd> end_ = AttemptEnd::kWhole;
  Relay relay_;
};

struct Service {
  fakes::FakeKv kv;
  std::atomic<int> runs{0};
  std::vector<std::unique_ptr<Instance>> instances;

  explicit Service(int n, fakes::KvLimits limits = {})
      : kv(base::BootClock::now, limits, base::SeededRandom(7)) {
    for (int i = 0; i < n; ++i) {
      Restart(i);
    }
  }
  // Replaces an instance by a new process without its state.
  void Restart(std::size_t i) {
    instances.resize(std::max(instances.size(), i + 1));
    instances[i].reset();
    instances[i] = std::make_unique<Instance>(
        kv, "i" + std::to_string(i) + "-" + std::to_string(++starts_), runs);
  }

 private:
  int starts_ = 0;
};

// A caller repeats one request through any instance while calls to the service
// are lost or fail, instances are replaced and targets fail.
RC_GTEST_PROP(ClaimsProperty, RunsAtMostOnceAndReportsOutcome, ()) {
  constexpr int kInstances = 3;
  Service service(kInstances);
  const auto steps = *rc::gen::container<std::vector<int>>(
      rc::gen::inRange(0, kInstances * 3 * 6));
  for (const int step : steps) {
    const auto i = static_cast<std::size_t>(step % kInstances);
    const AttemptEnd end =
        std::vector{AttemptEnd::kWhole, AttemptEnd::kReset,
                    AttemptEnd::kConnectFailed}[step / kInstances % 3];
    switch (step / (kInstances * 3)) {
      case 0:
        service.kv.ApplyFaults({{"lose_answer", 1}});
        break;
      case 1:
        service.kv.ApplyFaults({{"lose_request", 2}});
        break;
      case 2:
        service.kv.ApplyFaults({{"unreachable", 2}});
        break;
      case 3:
        service.kv.ApplyFaults({{"lose_nth", 2}});
        break;
      case 4:
        service.Restart(i);
        break;
      default:
        break;
    }
    const int runs_before = service.runs;
    const RelayResult result = service.instances[i]->Serve("k", end);
    RC_ASSERT(service.runs <= 1);
    if (!result.refusal) {
      RC_ASSERT(service.runs == 1);
      RC_ASSERT(result.answer.text == "plan");
    } else if (result.refusal->outcome == Outcome::kNotRun) {
      RC_ASSERT(service.runs == runs_before);
    }
  }
}

TEST(ClaimsTest, RepeatAtAnotherInstanceGetsTheRecordedAnswer) {
  Service service(2);
  EXPECT_FALSE(service.instances[0]->Serve("k", AttemptEnd::kWhole).replayed);
  const RelayResult repeat =
      service.instances[1]->Serve("k", AttemptEnd::kWhole);
  EXPECT_TRUE(repeat.replayed);
  EXPECT_EQ(repeat.answer.text, "plan");
  EXPECT_EQ(service.runs, 1);
}

TEST(ClaimsTest, NotRunReleasesTheKeyAndUnknownDoesNot) {
  Service service(2);
  const auto first =
      service.instances[0]->Serve("k", AttemptEnd::kConnectFailed);
  EXPECT_EQ(first.refusal->outcome, Outcome::kNotRun);
  const auto second = service.instances[1]->Serve("k", AttemptEnd::kReset);
  EXPECT_EQ(second.refusal->outcome, Outcome::kUnknown);
  const auto third = service.instances[0]->Serve("k", AttemptEnd::kWhole);
  EXPECT_EQ(third.refusal->reason, RefusalReason::kAlreadyClaimed);
  EXPECT_EQ(third.refusal->outcome, Outcome::kUnknown);
  EXPECT_EQ(service.runs, 1);
}

// The owner is lost before it records an outcome. It may have sent the request,
// so the outcome stays unknown and no other instance runs it.
TEST(ClaimsTest, ClaimOfALostOwnerIsNotTakenOver) {
  Service service(2);
  Request request;
  request.contract = base::ContractId("c");
  request.idempotency_key = base::IdempotencyKey("k");
  request.deadline = base::BootClock::now() + seconds(30);
  ASSERT_TRUE(service.instances[0]->claims().Begin(request).claim);
  service.Restart(0);
  const auto repeat = service.instances[1]->Serve("k", AttemptEnd::kWhole);
  EXPECT_EQ(repeat.refusal->reason, RefusalReason::kAlreadyClaimed);
  EXPECT_EQ(repeat.refusal->outcome, Outcome::kUnknown);
  EXPECT_TRUE(repeat.refusal->retry_after);
  EXPECT_EQ(service.runs, 0);
}

TEST(ClaimsTest, ServiceOutageRefusesAsNotRun) {
  Service service(1);
  service.kv.ApplyFaults({{"unreachable", -1}});
  const auto result = service.instances[0]->Serve("k", AttemptEnd::kWhole);
  EXPECT_EQ(result.refusal->reason, RefusalReason::kClaimUnavailable);
  EXPECT_EQ(result.refusal->outcome, Outcome::kNotRun);
  EXPECT_EQ(service.runs, 0);
}

TEST(ClaimsTest, KeyReusedForOtherContentIsRefused) {
  Service service(1);
  service.instances[0]->Serve("k", AttemptEnd::kWhole);
  Request other;
  other.contract = base::ContractId("c");
  other.idempotency_key = base::IdempotencyKey("k");
  other.content_hash = 99;
  other.deadline = base::BootClock::now() + seconds(30);
  const ClaimDecision decision = service.instances[0]->claims().Begin(other);
  ASSERT_TRUE(decision.refusal);
  EXPECT_EQ(decision.refusal->outcome, Outcome::kNotRun);
}

// Many concurrent callers, some with the same key, with a low rate limit on the
// service.
TEST(ClaimsTest, ConcurrentCallersRunEachKeyOnce) {
  constexpr int kKeys = 40;
  constexpr int kRepeats = 3;
  Service service(2, {.writes_per_s = 200, .reads_per_s = 0});
  std::atomic<int> answered{0};
  {
    std::vector<std::jthread> callers;
    for (int n = 0; n < kKeys * kRepeats; ++n) {
      callers.emplace_back([&, n] {
        Instance& instance = *service.instances[n % 2];
        const auto result =
            instance.Serve("k" + std::to_string(n % kKeys), AttemptEnd::kWhole);
        answered += result.refusal ? 0 : 1;
      });
    }
  }
  EXPECT_EQ(service.runs, kKeys);
  EXPECT_GE(answered, kKeys);
}

// A writer and its service on a manual clock.
struct WriterOnATestClock {
  std::atomic<base::Time> now{base::Time(seconds(1000))};
  fakes::FakeKv service{[this] { return now.load(); }};
  connection::KeyValue kv{fakes::MakeInProcessTransport(service), kKvTimeout};
  base::Metrics metrics;
  ClaimWriter writer{kv, [this] { return now.load(); }, base::SystemRandom(),
                     metrics, ClaimWriterOptions{}};

  ClaimWriteResult::Status Create(const std::string& key) {
    return writer
        .Write({.kind = ClaimOp::Kind::kCreate,
                .key = key,
                .value = base::RandomHexId(base::SystemRandom()),
                .guard = base::Revision(0)},
               seconds(30))
        .status;
  }
  int Leases() const { return service.StatsJson()["leases"]; }
  void Advance(base::Duration d) { now = now.load() + d; }
};

TEST(ClaimWriterTest, ClaimsOfOnePeriodShareALeaseAndExpireWithIt) {
  using Status = ClaimWriteResult::Status;
  const ClaimWriterOptions defaults;
  WriterOnATestClock it;
  EXPECT_EQ(it.Create("/a"), Status::kWritten);
  EXPECT_EQ(it.Create("/b"), Status::kWritten);
  EXPECT_EQ(it.Leases(), 1);
  it.Advance(defaults.lease_period);
  EXPECT_EQ(it.Create("/c"), Status::kWritten);
  EXPECT_EQ(it.Leases(), 2);
  // The first two are kept for min_retention + lease_period after the grant.
  it.Advance(defaults.min_retention - seconds(2));
  EXPECT_EQ(it.Create("/a"), Status::kConflict);
  it.Advance(seconds(3));
  EXPECT_EQ(it.Create("/a"), Status::kWritten);
}

// A service that is restored from an older copy does not have the lease.
TEST(ClaimWriterTest, LostLeaseIsReplaced) {
  using Status = ClaimWriteResult::Status;
  WriterOnATestClock it;
  it.service.ApplyFaults({{"save_copy", true}});
  EXPECT_EQ(it.Create("/a"), Status::kWritten);
  it.service.ApplyFaults({{"load_copy", true}});
  EXPECT_EQ(it.Create("/b"), Status::kUnavailable);
  EXPECT_EQ(it.Create("/c"), Status::kWritten);
}

// Writes requested while a transaction is in flight go into the next one. A
// conflict on one key does not fail the others of its batch.
TEST(ClaimWriterTest, BatchesWritesAndCompletesEachSeparately) {
  constexpr int kWrites = 20;
  fakes::FakeKv service(base::BootClock::now);
  const auto inner = fakes::MakeInProcessTransport(service);
  std::atomic<int> gate{0};
  const connection::KeyValue kv(
      [&](const connection::KvCall& call, connection::KvError* error) {
        if (call.path == "/v3/kv/txn") {
          gate.wait(0);
        }
        return inner(call, error);
      },
      kKvTimeout);
  base::Metrics metrics;
  ClaimWriter writer(kv, base::BootClock::now, base::SystemRandom(), metrics,
                     {});
  const auto create = [&](const std::string& key, const std::string& value) {
    return writer
        .Write({.kind = ClaimOp::Kind::kCreate,
                .key = key,
                .value = value,
                .guard = base::Revision(0)},
               seconds(30))
        .status;
  };
  std::atomic<int> written{0};
  std::atomic<int> conflicts{0};
  const auto count = [&](ClaimWriteResult::Status status) {
    written += status == ClaimWriteResult::Status::kWritten ? 1 : 0;
    conflicts += status == ClaimWriteResult::Status::kConflict ? 1 : 0;
  };
  {
    std::vector<std::jthread> callers;
    callers.emplace_back([&] { count(create("/first", "first")); });
    // Wait until the first transaction is in flight, blocked by the gate.
    while (metrics.CounterValue("lynxglade_claim_transactions_total") == 0) {
      std::this_thread::yield();
    }
    for (int n = 0; n < kWrites; ++n) {
      callers.emplace_back([&, n] {
        const std::string key = n == 0 ? "/first" : "/k" + std::to_string(n);
        count(create(key, "v" + std::to_string(n)));
      });
    }
    while (writer.queued() < kWrites) {
      std::this_thread::yield();
    }
    gate = 1;
    gate.notify_all();
  }
  EXPECT_EQ(written, kWrites);
  EXPECT_EQ(conflicts, 1);
  // The first, the batch with the conflict, and the retry without it.
  EXPECT_EQ(metrics.CounterValue("lynxglade_claim_transactions_total"), 3u);
}

RC_GTEST_PROP(ClaimRecordProperty, RoundTripsThroughItsEncoding, ()) {
  ClaimRecord record;
  record.write_id = "m";
  record.request = base::RequestId(*rc::gen::string<std::string>());
  record.content_hash = *rc::gen::arbitrary<std::uint64_t>();
  record.done = true;
  record.outcome = Outcome::kRan;
  record.answer.emplace();
  record.answer->plain = PlainAnswer{.status = 200,
                                     .content_type = "x",
                                     .body = *rc::gen::string<std::string>()};
  const auto back = DecodeClaimRecord(EncodeClaimRecord(record));
  RC_ASSERT(back.has_value());
  RC_ASSERT(back->content_hash == record.content_hash);
  RC_ASSERT(back->outcome == Outcome::kRan);
  RC_ASSERT(back->answer->plain->body == record.answer->plain->body);
  RC_ASSERT(!DecodeClaimRecord("{}"));
}

}  // namespace
}  // namespace lynxglade::request
