// Claims per second through a rate-limited key-value service, by the maximum
// number of claims per transaction.
//
// Instances share one in-process fake of the service; the callers of each
// instance repeatedly claim a request and record its result. Prints one JSON
// line per setting.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <tclap/CmdLine.h>
#include <nlohmann/json.hpp>

#include "base/metrics.h"
#include "base/random.h"
#include "base/time.h"
#include "fakes/fake_kv.h"
#include "request/claims.h"

namespace {

using namespace lynxglade;

struct Setting {
  int instances = 7;
  int callers = 64;
  int seconds = 5;
  double writes_per_s = 300;
  // Duration of a call of the service.
  std::chrono::milliseconds call_time{2};
  std::size_t batch = 64;
};

struct Tally {
  std::uint64_t claimed = 0;
  std::uint64_t refused = 0;
  std::vector<double> wait_ms;

  void Add(const Tally& other) {
    claimed += other.claimed;
    refused += other.refused;
    wait_ms.insert(wait_ms.end(), other.wait_ms.begin(), other.wait_ms.end());
  }
  double Quantile(double q) {
    if (wait_ms.empty()) {
      return 0;
    }
    const auto n = static_cast<std::ptrdiff_t>(
        q * static_cast<double>(wait_ms.size() - 1));
    std::nth_element(wait_ms.begin(), wait_ms.begin() + n, wait_ms.end());
    return wait_ms[static_cast<std::size_t>(n)];
  }
};

double MillisSince(base::Time start) {
  return std::chrono::duration<double, std::milli>(base::BootClock::now() -
                                                   start)
      .count();
}

class Instance {
 public:
  Instance(fakes::FakeKv& service, const Setting& setting, int n)
      : setting_(setting),
        kv_(Slowed(service), std::chrono::seconds(1)),
        claims_(kv_,
                base::InstanceId("i" + std::to_string(n)),
                base::BootClock::now,
                base::SystemRandom(),
                metrics_,
                Options()) {}

  // One caller: claims until `end`.
  Tally Call(base::Time end, const base::RandomSource& random) {
    Tally tally;
    request::Request request;
    request.contract = base::ContractId("bench");
    while (base::BootClock::now() < end) {
      const base::Time start = base::BootClock::now();
      request.idempotency_key = base::IdempotencyKey(base::RandomHexId(random));
      request.deadline = start + std::chrono::seconds(30);
      const request::ClaimDecision decision = claims_.Begin(request);
      if (!decision.claim) {
        ++tally.refused;
        continue;
      }
      tally.wait_ms.push_back(MillisSince(start));
      claims_.Finish(*decision.claim, base::Outcome::kRan, nullptr);
      ++tally.claimed;
    }
    return tally;
  }

 private:
  connection::KvTransport Slowed(fakes::FakeKv& service) const {
    return [inner = fakes::MakeInProcessTransport(service),
            time = setting_.call_time](const connection::KvCall& call,
                                       connection::KvError* error) {
      std::this_thread::sleep_for(time);
      return inner(call, error);
    };
  }
  request::ClaimOptions Options() const {
    request::ClaimOptions options;
    options.writer.max_batch = setting_.batch;
    return options;
  }

  const Setting setting_;
  base::Metrics metrics_;
  connection::KeyValue kv_;
  request::Claims claims_;
};

void Measure(const Setting& setting) {
  fakes::FakeKv service(
      base::BootClock::now,
      {.writes_per_s = setting.writes_per_s, .reads_per_s = 2000});
  std::vector<std::unique_ptr<Instance>> instances;
  for (int n = 0; n < setting.instances; ++n) {
    instances.push_back(std::make_unique<Instance>(service, setting, n));
  }
  const base::RandomSource random = base::SystemRandom();
  const base::Time end =
      base::BootClock::now() + std::chrono::seconds(setting.seconds);
  std::mutex mutex;
  Tally total;
  {
    std::vector<std::jthread> callers;
    for (int n = 0; n < setting.instances * setting.callers; ++n) {
      callers.emplace_back([&, n] {
        const auto i = static_cast<std::size_t>(n % setting.instances);
        const Tally tally = instances[i]->Call(end, random);
        const std::lock_guard lock(mutex);
        total.Add(tally);
      });
    }
  }
  const nlohmann::json line = {
      {"batch", setting.batch},
      {"instances", setting.instances},
      {"callers_an_instance", setting.callers},
      {"service_writes_per_s", setting.writes_per_s},
      {"claims_per_s", static_cast<double>(total.claimed) / setting.seconds},
      {"refused_per_s", static_cast<double>(total.refused) / setting.seconds},
      {"claim_wait_p50_ms", total.Quantile(0.5)},
      {"claim_wait_p95_ms", total.Quantile(0.95)},
      {"service", service.StatsJson()}};
  std::cout << line.dump() << std::endl;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine cmd("Claims a second by batch size", ' ', "1");
    TCLAP::ValueArg<int> seconds("", "seconds", "time a setting", false, 5,
                                 "seconds", cmd);
    TCLAP::ValueArg<int> callers("", "callers", "callers an instance", false,
                                 64, "callers", cmd);
    TCLAP::ValueArg<int> instances("", "instances", "entry instances", false, 7,
                                   "count", cmd);
    TCLAP::ValueArg<double> writes("", "writes", "service's writes a second",
                                   false, 300, "rate", cmd);
    cmd.parse(argc, argv);
    Setting setting;
    setting.seconds = seconds.getValue();
    setting.callers = callers.getValue();
    setting.instances = instances.getValue();
    setting.writes_per_s = writes.getValue();
    for (const std::size_t batch : {1u, 8u, 64u}) {
      setting.batch = batch;
      Measure(setting);
    }
  } catch (const TCLAP::ArgException& e) {
    std::cerr << e.error() << " " << e.argId() << std::endl;
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
