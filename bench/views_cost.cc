// Bytes and messages per instance for views and membership, idle and under
// change, and the time for a configuration delta to reach all instances.
//
// Runs Gossip objects on a virtual clock over the fake network of the tests
// with delays of up to 5 ms. Bytes are those of encoded messages, without
// WebSocket, TLS and TCP framing. Prints one line per size:
//   views_cost [members ...]
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "process/fake_network.h"

namespace lynxglade::bench {
namespace {

using process::ViewItem;
using process::ViewKind;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::FakeNetwork;

constexpr std::size_t kMaxZones = 11;
constexpr std::size_t kMembersPerZone = 31;
constexpr int kSettleSeconds = 60;
constexpr int kIdleSeconds = 120;
constexpr int kChangeSeconds = 60;
// Load: 8,000 configuration changes per day of one kilobyte each, and one
// engine state change per second in the whole deployment.
constexpr int kSecondsPerDelta = 11;
constexpr std::size_t kDeltaBytes = 1000;
constexpr std::size_t kTargetBytes = 150;
// Each owner reports the loads of this many targets every second, each with the
// size of an encoded engine report.
constexpr int kTargetsPerOwner = 35;
constexpr std::size_t kLoadBytes = 290;

struct Totals {
  std::vector<std::uint64_t> bytes;
  std::uint64_t messages = 0;
};

Totals Read(const FakeNetwork& net) {
  Totals totals;
  for (std::size_t i = 0; i < net.count(); ++i) {
    totals.bytes.push_back(net.BytesSent(i));
    totals.messages += net.MessagesSent(i);
  }
  return totals;
}

struct Rates {
  double mean_bytes = 0;
  double max_bytes = 0;
  double mean_messages = 0;
};

Rates Between(const Totals& before, const Totals& after, int in_seconds) {
  Rates rates;
  const auto n = static_cast<double>(before.bytes.size());
  for (std::size_t i = 0; i < before.bytes.size(); ++i) {
    const double rate =
        static_cast<double>(after.bytes[i] - before.bytes[i]) / in_seconds;
    rates.mean_bytes += rate / n;
    rates.max_bytes = std::max(rates.max_bytes, rate);
  }
  rates.mean_messages =
      static_cast<double>(after.messages - before.messages) / in_seconds / n;
  return rates;
}

ViewItem Fact(const FakeNetwork& net,
              ViewKind kind,
              const std::string& key,
              std::uint64_t epoch,
              std::size_t bytes) {
  return {kind,       key,
          {epoch, 0}, base::InstanceId("source"),
          net.now(),  std::string(bytes, 'x')};
}

bool AllHold(FakeNetwork* net, const process::ViewName& name) {
  for (std::size_t i = 0; i < net->count(); ++i) {
    if (net->node(i).store().Find(name) == nullptr) {
      return false;
    }
  }
  return true;
}

base::Duration TimeToReachAll(FakeNetwork* net) {
  net->node(0).Publish(Fact(*net, ViewKind::kConfigDelta, "1", 1, kDeltaBytes));
  const base::Time start = net->now();
  while (!AllHold(net, {ViewKind::kConfigDelta, "1"}) &&
         net->now() - start < seconds(60)) {
    net->Run(milliseconds(100));
  }
  return net->now() - start;
}

void RunChange(FakeNetwork* net) {
  for (int s = 1; s <= kChangeSeconds; ++s) {
    const std::size_t source = static_cast<std::size_t>(s) % net->count();
    const auto epoch = static_cast<std::uint64_t>(s) + 1;
    net->node(source).Publish(Fact(*net, ViewKind::kTarget,
                                   "engine-" + std::to_string(s), 1,
                                   kTargetBytes));
    if (s % kSecondsPerDelta == 0) {
      net->node(source).Publish(Fact(*net, ViewKind::kConfigDelta,
                                     std::to_string(epoch), epoch,
                                     kDeltaBytes));
    }
    for (std::size_t i = 0; i < net->count(); ++i) {
      for (int t = 0; t < kTargetsPerOwner; ++t) {
        net->node(i).Publish(
            Fact(*net, ViewKind::kLoad,
                 "e" + std::to_string(i) + "-" + std::to_string(t), epoch,
                 kLoadBytes));
      }
    }
    net->Run(seconds(1));
  }
}

void MeasureSize(std::size_t members) {
  FakeNetwork net(1);
  const std::size_t zones =
      std::clamp<std::size_t>((members + kMembersPerZone - 1) / kMembersPerZone,
                              std::min<std::size_t>(members, 3), kMaxZones);
  for (std::size_t i = 0; i < members; ++i) {
    net.Add("node-" + std::to_string(i), "zone-" + std::to_string(i % zones));
  }
  net.Run(seconds(kSettleSeconds));
  const Totals settled = Read(net);
  net.Run(seconds(kIdleSeconds));
  const Totals idle = Read(net);
  const base::Duration reach = TimeToReachAll(&net);
  const Totals before = Read(net);
  RunChange(&net);
  const Rates at_rest = Between(settled, idle, kIdleSeconds);
  const Rates busy = Between(before, Read(net), kChangeSeconds);
  std::size_t links = 0;
  std::size_t most_links = 0;
  for (std::size_t i = 0; i < net.count(); ++i) {
    const std::size_t n = net.node(i).membership().Links().size();
    links += n;
    most_links = std::max(most_links, n);
  }
  std::printf(
      "| %zu | %zu | %.1f (%zu) | %.0f (%.0f) | %.1f | %.0f (%.0f) | "
      "%.1f | %lld |\n",
      members, zones, static_cast<double>(links) / static_cast<double>(members),
      most_links, at_rest.mean_bytes, at_rest.max_bytes, at_rest.mean_messages,
      busy.mean_bytes, busy.max_bytes, busy.mean_messages,
      static_cast<long long>(base::ToMillis(reach)));
  std::fflush(stdout);
}

}  // namespace
}  // namespace lynxglade::bench

int main(int argc, char** argv) {
  std::vector<std::size_t> sizes;
  for (int i = 1; i < argc; ++i) {
    sizes.push_back(std::strtoul(argv[i], nullptr, 10));
  }
  if (sizes.empty()) {
    sizes = {4, 8, 16, 32, 64};
  }
  std::printf(
      "| members | zones | links, mean (max) | idle B/s sent, mean (max) | "
      "idle messages/s | under change B/s sent, mean (max) | messages/s | "
      "delta reaches all within ms |\n|---|---|---|---|---|---|---|---|\n");
  std::ranges::for_each(sizes, lynxglade::bench::MeasureSize);
  return 0;
}
