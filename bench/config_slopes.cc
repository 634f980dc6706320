// Cost of the configuration by the number of contracts: bytes of head, delta
// and snapshot, time to apply a change, memory, and calls to the key-value
// service per accepted change. The results are used in docs/CAPACITY.md.
//
//   config_slopes [changes=600]
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "base/random.h"
#include "connection/key_value.h"
#include "fakes/fake_kv.h"
#include "version/change_request.h"
#include "version/config_store.h"
#include "version/config_tracker.h"
#include "version/plan_service.h"

namespace lynxglade {
namespace {

using version::ConfigSnapshot;

constexpr int kModels = 11;
constexpr int kDefaultChanges = 600;
// A change request must fit into one delta, so contracts are added in batches.
constexpr int kContractsPerStep = 100;
constexpr double kMicro = 1e6;
constexpr std::size_t kKilobyte = 1024;

using Stopwatch = std::chrono::steady_clock;

double Micros(Stopwatch::duration d) {
  return std::chrono::duration<double>(d).count() * kMicro;
}

// `edition` distinguishes successive states of a contract.
version::Contract MakeContract(int n, int contracts, int edition) {
  version::Contract contract;
  contract.id = base::ContractId("organisation-" + std::to_string(n));
  contract.display_name = "Organisation " + std::to_string(n) + ", edition " +
                          std::to_string(edition);
  contract.key_hashes = {std::string(64, 'a')};
  for (int i = 0; i < kModels; ++i) {
    contract.intents.push_back({base::ServiceName("llm-" + std::to_string(i)),
                                base::ModelName("model-" + std::to_string(i)),
                                base::ModelVersion("2026-12-01"),
                                {},
                                0.9 / contracts,
                                edition % 9});
  }
  return contract;
}

// A fake key-value service that counts calls and bytes written.
struct Service {
  fakes::FakeKv kv{[] { return base::Time{}; }};
  std::map<std::string, int> calls;
  connection::KvTransport inner = fakes::MakeInProcessTransport(kv);
  connection::KeyValue client{
      [this](const connection::KvCall& call, connection::KvError* error) {
        ++calls[call.path];
        return inner(call, error);
      },
      std::chrono::seconds(1)};
};

struct Instance {
  explicit Instance(Service& service)
      : store(service.client, base::SeededRandom(1)),
        plans(service.client, store, tracker, Hooks()) {}

  static version::PlanServiceHooks Hooks() {
    version::PlanServiceHooks hooks;
    hooks.fleet = [] { return version::FleetFacts{}; };
    hooks.wall_millis = [] { return std::int64_t{0}; };
    return hooks;
  }

  bool Put(const version::ChangeRequest& statement) {
    const version::Caller caller{
        base::OperatorId("bench"), version::OperatorRole::kFleet, {}};
    version::PlanFault fault;
    const auto plan = plans.Create(statement, caller, &fault);
    if (!plan) {
      std::fprintf(stderr, "plan refused: %s\n", fault.message.c_str());
      return false;
    }
    return plans.Confirm(plan->id, caller).outcome ==
           version::ConfirmOutcome::kInForce;
  }

  base::Metrics metrics;
  version::ConfigTracker tracker{{base::BootClock::now, {}, {}, {}}, metrics};
  version::ConfigStore store;
  version::PlanService plans;
};

version::ChangeRequest Services() {
  version::ChangeRequest statement;
  for (int i = 0; i < kModels; ++i) {
    version::ServiceSpec spec;
    spec.name = base::ServiceName("llm-" + std::to_string(i));
    statement.changes.emplace_back(version::UpsertService{spec});
  }
  return statement;
}

bool Fill(int contracts, Instance* instance) {
  if (!instance->Put(Services())) {
    return false;
  }
  for (int n = 0; n < contracts; n += kContractsPerStep) {
    version::ChangeRequest statement;
    for (int i = n; i < std::min(n + kContractsPerStep, contracts); ++i) {
      statement.changes.emplace_back(
          version::UpsertContract{MakeContract(i, contracts, 0)});
    }
    if (!instance->Put(statement)) {
      return false;
    }
  }
  return true;
}

struct Taking {
  double p50 = 0;
  double worst = 0;
  std::size_t delta_bytes = 0;
};

// Times the handling of a change that an instance receives from a peer.
Taking TimeTaking(const Instance& filled, int contracts, int changes) {
  base::Metrics metrics;
  version::ConfigTracker tracker({base::BootClock::now, {}, {}, {}}, metrics);
  tracker.OfferSnapshot(filled.tracker.GetSnapshot(),
                        version::ConfigSource::kPeer);
  std::vector<double> times;
  Taking taking;
  for (int i = 0; i < changes; ++i) {
    const ConfigSnapshot held = tracker.GetSnapshot();
    version::Configuration next = *held.configuration;
    const version::Contract contract =
        MakeContract(i % contracts, contracts, i + 1);
    next.contracts.insert_or_assign(contract.id, contract);
    const version::ChainedDelta delta =
        MakeChainedDelta(MakeDelta(*held.configuration, next), held.digest);
    const std::string bytes = EncodeChainedDelta(delta);
    taking.delta_bytes = std::max(taking.delta_bytes, bytes.size());
    const auto start = Stopwatch::now();
    const auto read = version::DecodeChainedDelta(bytes);
    tracker.OfferDelta(*read, version::ConfigSource::kPeer);
    times.push_back(Micros(Stopwatch::now() - start));
  }
  std::ranges::sort(times);
  taking.p50 = times[times.size() / 2];
  taking.worst = times.back();
  return taking;
}

std::size_t HeapBytes() {
  return mallinfo2().uordblks;
}

int CallsOf(const Service& service, const std::string& path) {
  const auto it = service.calls.find(path);
  return it == service.calls.end() ? 0 : it->second;
}

bool Report(int contracts, int changes) {
  Service service;
  Instance instance(service);
  if (!Fill(contracts, &instance)) {
    return false;
  }
  const std::string whole = EncodeSnapshot(instance.tracker.GetSnapshot());
  const std::size_t before = HeapBytes();
  const auto start = Stopwatch::now();
  version::CodecFault fault;
  const auto read = version::DecodeSnapshot(whole, &fault);
  const double read_ms = Micros(Stopwatch::now() - start) / 1000;
  const std::size_t held_bytes = HeapBytes() - before;
  const Taking taking = TimeTaking(instance, contracts, changes);

  service.calls.clear();
  const auto begun = Stopwatch::now();
  for (int i = 0; i < changes; ++i) {
    version::ChangeRequest statement;
    statement.changes.emplace_back(
        version::UpsertContract{MakeContract(i % contracts, contracts, i + 1)});
    if (!instance.Put(statement)) {
      return false;
    }
  }
  const double change_ms = Micros(Stopwatch::now() - begun) / 1000 / changes;
  version::StoreError ec = version::StoreError::kNone;
  const auto head = instance.store.ReadHead(&ec);
  const double n = changes;
  std::printf(
      "%9d %6zu %8zu %10zu %6d %9.0f %9.0f %8.1f %8zu %7.2f %7.2f %9.2f\n",
      contracts, EncodeHead(head->head).size(), taking.delta_bytes,
      whole.size(), head->head.snapshot_parts, taking.p50, taking.worst,
      read_ms, held_bytes / kKilobyte, CallsOf(service, "/v3/kv/range") / n,
      (CallsOf(service, "/v3/kv/txn") + CallsOf(service, "/v3/lease/grant")) /
          n,
      change_ms);
  return read.has_value();
}

}  // namespace
}  // namespace lynxglade

int main(int argc, char** argv) {
  const int changes =
      argc > 1 ? std::atoi(argv[1]) : lynxglade::kDefaultChanges;
  if (changes < 1) {
    std::fprintf(stderr, "config_slopes: changes must be at least 1\n");
    return 2;
  }
  std::printf(
      "contracts head_B  delta_B snapshot_B  parts  take_p50  take_max  "
      "read_ms  held_KB  reads/c writes/c change_ms\n");
  for (const int contracts : {100, 400, 1700}) {
    if (!lynxglade::Report(contracts, changes)) {
      return 1;
    }
  }
  return 0;
}
