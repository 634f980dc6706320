#include "review/stand_ins/deployment.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <iterator>

#include <nlohmann/json.hpp>

namespace lynxglade::review {

namespace {

constexpr std::array kZones{"halle-a", "halle-b", "halle-c"};
constexpr Millis kReadyTimeout{10'000};
constexpr int kHeartbeatMs = 1200;
constexpr int kColdMs = 40'000;

}  // namespace

CaseArguments ParseArguments(int argc, char** argv) {
  if (argc != 4) {
    std::puts("case RECORD FOLDER TROUBLE");
    std::exit(kCannotRun);
  }
  return {argv[1], argv[2], std::string(argv[3]) != "0"};
}

std::string Configuration(int version,
                          const std::vector<std::string>& routes,
                          const std::vector<std::string>& services,
                          std::size_t max_header_bytes) {
  using nlohmann::json;
  json document{{"version", version},
                {"routes", json::array()},
                {"services", json::array()},
                {"limits",
                 {{"maxHeaderBytes", max_header_bytes},
                  {"maxBodyBytes", 4194304},
                  {"headerTimeoutMs", 3000},
                  {"idleTimeoutMs", 15000}}}};
  for (const std::string& it : routes) {
    json route = json::parse(it);
    route["hostname"] = CallerSettings().host;
    document["routes"].push_back(std::move(route));
  }
  for (const std::string& it : services) {
    document["services"].push_back(
        {{"name", it}, {"maxConnections", 96}, {"healthPath", "/healthz"}});
  }
  return document.dump();
}

std::string ReceiptsRoute(const std::string& service) {
  return nlohmann::json{
      {"name", "receipts"},       {"pathPrefix", "/receipts/"},
      {"type", "non_idempotent"}, {"timeoutMs", 1000},
      {"targetLatencyMs", 150},   {"priority", 2},
      {"maxAttempts", 1},         {"backend", service}}
      .dump();
}

Deployment::Deployment(const CaseArguments& arguments,
                       const std::vector<TargetSettings>& targets,
                       std::size_t instances)
    : record_(arguments.record) {
  for (TargetSettings it : targets) {
    it.zone = kZones.at(targets_.size() % kZones.size());
    targets_.push_back(std::make_unique<Target>(std::move(it), record_));
  }
  for (std::size_t i = 0; i < instances; ++i) {
    const std::string name = "entry-" + std::to_string(i);
    store_links_.push_back(&store_.OpenPort());
    instances_.push_back(std::make_unique<Instance>(
        InstanceSettings{.name = name,
                         .zone = kZones.at(i % kZones.size()),
                         .store_port = store_links_.back()->port(),
                         .log = arguments.folder + '/' + name}));
  }
}

Deployment::~Deployment() {
  stopped_ = true;
  if (heartbeats_.joinable()) {
    heartbeats_.join();
  }
}

bool Deployment::Start(const std::string& configuration) {
  for (const auto& it : targets_) {
    it->Register(store_);
  }
  store_.Put("op/config", configuration);
  std::vector<const Instance*> instances;
  for (const auto& it : instances_) {
    it->Start();
    instances.push_back(it.get());
  }
  const bool ready = AwaitReady(instances, kReadyTimeout);
  if (!ready) {
    std::puts("the instances do not become ready");
  }
  return ready;
}

void Deployment::BeginHeartbeats(const Target& cold) {
  heartbeats_ = std::thread([this, &cold] { Beat(cold); });
}

void Deployment::Beat(const Target& cold) {
  for (int left = kColdMs; !stopped_ && left > 0; left -= kHeartbeatMs) {
    store_.Put(cold.Key(), cold.Entry(left));
    std::this_thread::sleep_for(Millis(kHeartbeatMs));
  }
}

void Deployment::SetStoreDown(bool down) {
  std::ranges::for_each(store_links_,
                        [down](HttpServer* it) { it->SetDown(down); });
}

std::vector<std::uint16_t> Deployment::ports() const {
  std::vector<std::uint16_t> ports;
  std::ranges::transform(instances_, std::back_inserter(ports),
                         [](const auto& it) { return it->port(); });
  return ports;
}

void Sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

}  // namespace lynxglade::review
