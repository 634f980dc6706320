#include "system/deployment.h"

#include <algorithm>
#include <iterator>
#include <sstream>
#include <utility>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <httplib.h>
#include <sys/socket.h>
#include <unistd.h>

namespace lynxglade::system_test {

namespace {

using nlohmann::json;

constexpr char kAddress[] = "127.0.0.1";
constexpr char kOperatorKey[] = "test-operator-key";

// Offsets of ports within a block.
constexpr int kFirstBlock = 27000;
constexpr int kLastBlock = 28800;
constexpr int kBlockSize = 200;
constexpr int kKvPort = 1;
constexpr int kListPort = 6;
constexpr int kWeightsPort = 11;
constexpr int kPlatformControl = 12;
constexpr int kEngineControl = 13;
constexpr int kPlainControl = 14;
constexpr int kCallerPorts = 20;
constexpr int kAdminPorts = 40;
constexpr int kPeerPorts = 60;
constexpr int kTargetPorts = 80;
constexpr int kPlainOffset = 20;
constexpr int kLinkStride = 28;

std::string Url(int port) {
  return "http://" + std::string(kAddress) + ":" + std::to_string(port);
}

std::string Endpoint(int port) {
  return std::string(kAddress) + ":" + std::to_string(port);
}

std::string ZoneName(int zone) {
  return "zone-" + std::string(1, static_cast<char>('a' + zone));
}

std::string InstanceName(int n) {
  return "entry-" + std::to_string(n);
}

// Creates a new directory for the logs of the test.
std::filesystem::path NewDirectory() {
  std::string pattern = testing::TempDir() + "lynxglade-XXXXXX";
  return mkdtemp(pattern.data());
}

void Append(const std::vector<std::string>& flags,
            std::vector<std::string>* out) {
  out->insert(out->end(), flags.begin(), flags.end());
}

HttpReply Perform(int port,
                  const std::string& method,
                  const std::string& path,
                  const json& body,
                  const httplib::Headers& headers) {
  httplib::Client client(kAddress, port);
  client.set_read_timeout(std::chrono::seconds(10));
  httplib::Request request;
  request.method = method;
  request.path = path;
  request.headers = headers;
  request.body = body.is_null() ? "" : body.dump();
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  if (!client.send(request, response, error)) {
    return {};
  }
  return {response.status, json::parse(response.body, nullptr, false)};
}

void Fault(int control, const json& switches) {
  const HttpReply reply = HttpCall(control, "POST", "/fault", switches);
  EXPECT_EQ(reply.status, 200) << switches;
}

std::vector<json> JournalsAt(int control) {
  const json body = HttpCall(control, "GET", "/journal").body;
  EXPECT_TRUE(body.is_object());
  return body.is_object() ? body.value("journals", std::vector<json>())
                          : std::vector<json>();
}

std::vector<json> RunsAt(int control) {
  std::vector<json> runs;
  for (const json& journal : JournalsAt(control)) {
    std::ranges::copy(journal["runs"], std::back_inserter(runs));
  }
  return runs;
}

json FirstConfiguration() {
  const auto intent = [](const char* service, double share, bool engines) {
    json it = {{"service", service}, {"share", share}, {"priority", 5}};
    if (engines) {
      it["model"] = "model-a";
      it["version"] = "v1";
    }
    return it;
  };
  json changes = json::array();
  changes.push_back({{"upsert_service",
                      {{"name", Deployment::kEngineService},
                       {"engines", true},
                       {"role_change_price", 1},
                       {"planner_enabled", false}}}});
  changes.push_back({{"upsert_service",
                      {{"name", Deployment::kPlainService},
                       {"engines", false},
                       {"role_change_price", 1},
                       {"planner_enabled", false}}}});
  for (const char* contract :
       {Deployment::kContract, Deployment::kOtherContract}) {
    changes.push_back({{"upsert_contract",
                        {{"id", contract},
                         {"default_deadline_ms", 20000},
                         {"intents",
                          {intent(Deployment::kEngineService, 0.5, true),
                           intent(Deployment::kPlainService, 0.5, false)}}}}});
  }
  return changes;
}

}  // namespace

HttpReply HttpCall(int port,
                   const std::string& method,
                   const std::string& path,
                   const json& body) {
  return Perform(port, method, path, body, {});
}

int RunsOf(const std::vector<json>& runs, const std::string& id) {
  return static_cast<int>(std::ranges::count_if(runs, [&](const json& run) {
    const std::string ran = run.value("request_id", "");
    return run.value("ran", true) && (ran == id || ran.starts_with(id + "."));
  }));
}

// --- Ports ------------------------------------------------------------------

// Binds the first port of the block, which reserves the block against other
// deployments.
PortBlock::PortBlock() {
  for (int base = kFirstBlock; base <= kLastBlock; base += kBlockSize) {
    held_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(base));
    inet_pton(AF_INET, kAddress, &address.sin_addr);
    if (bind(held_, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) == 0) {
      base_ = base;
      return;
    }
    close(held_);
  }
  ADD_FAILURE() << "no free block of ports";
}

PortBlock::~PortBlock() {
  close(held_);
}

// --- Starting ---------------------------------------------------------------

Deployment::Deployment(DeploymentOptions options)
    : options_(std::move(options)), directory_(NewDirectory()) {
  const int base = ports_.base();
  const std::string zones = std::to_string(options_.zones);
  std::vector<std::string> platform = {FAKE_PLATFORM,
                                       "--kv-port",
                                       std::to_string(base + kKvPort),
                                       "--kv-ports",
                                       zones,
                                       "--list-port",
                                       std::to_string(base + kListPort),
                                       "--list-ports",
                                       zones,
                                       "--link-stride",
                                       std::to_string(kLinkStride),
                                       "--weights-port",
                                       std::to_string(base + kWeightsPort),
                                       "--control-port",
                                       std::to_string(base + kPlatformControl)};
  Append(options_.platform_flags, &platform);
  platform_ = StartStandIn("platform", std::move(platform));

  std::vector<std::string> engines = {FAKE_ENGINES,
                                      "--service",
                                      kEngineService,
                                      "--stream-rate",
                                      std::to_string(options_.stream_rate),
                                      "--weights-url",
                                      Url(base + kWeightsPort)};
  Append(TargetFlags(options_.engines, kTargetPorts, kEngineControl), &engines);
  Append(options_.engine_flags, &engines);
  engines_ = StartStandIn("engines", std::move(engines));

  std::vector<std::string> plain = {FAKE_PLAIN, "--service", kPlainService,
                                    "--id-prefix", "portal-"};
  Append(
      TargetFlags(options_.plain, kTargetPorts + kPlainOffset, kPlainControl),
      &plain);
  Append(options_.plain_flags, &plain);
  plain_ = StartStandIn("plain", std::move(plain));
  WriteList();
}

Deployment::~Deployment() {
  std::ranges::for_each(instances_,
                        [](const auto& it) { it->process->Kill(); });
  if (testing::Test::HasFailure()) {
    std::cerr << "logs: " << directory_ << "\n";
  } else {
    std::filesystem::remove_all(directory_);
  }
}

std::vector<std::string> Deployment::TargetFlags(int count,
                                                 int port,
                                                 int control) const {
  std::string zones;
  for (int zone = 0; zone < options_.zones; ++zone) {
    zones += (zone == 0 ? "" : ",") + ZoneName(zone);
  }
  return {"--count",        std::to_string(count),
          "--first-port",   std::to_string(ports_.base() + port),
          "--control-port", std::to_string(ports_.base() + control),
          "--zone",         zones,
          "--links",        std::to_string(options_.zones),
          "--link-stride",  std::to_string(kLinkStride)};
}

std::unique_ptr<Process> Deployment::StartStandIn(
    const std::string& name,
    std::vector<std::string> arguments) {
  auto process =
      std::make_unique<Process>(std::move(arguments), directory_ / name);
  const bool ready = WaitFor([&] {
    return process->Output().starts_with("ready") || !process->running();
  });
  EXPECT_TRUE(ready && process->running()) << name << ": " << process->Log();
  return process;
}

int Deployment::AddInstance(int zone, const std::vector<std::string>& flags) {
  const int n = static_cast<int>(instances_.size());
  const int base = ports_.base();
  std::vector<std::string> arguments = {DaemonProgram(LYNXGLADED),
                                        "--instance-id",
                                        InstanceName(n),
                                        "--zone",
                                        ZoneName(zone),
                                        "--listen",
                                        Endpoint(caller_port(n)),
                                        "--admin-listen",
                                        Endpoint(admin_port(n)),
                                        "--peer-listen",
                                        PeerEndpoint(n),
                                        "--kv-url",
                                        Url(base + kKvPort + zone),
                                        "--instance-list-url",
                                        Url(base + kListPort + zone),
                                        "--weight-store-url",
                                        Url(base + kWeightsPort),
                                        "--bootstrap-operator-key",
                                        kOperatorKey};
  Append(options_.daemon_flags, &arguments);
  Append(flags, &arguments);
  auto instance = std::make_unique<Instance>();
  instance->zone = zone;
  instance->process = std::make_unique<Process>(std::move(arguments),
                                                directory_ / InstanceName(n));
  instances_.push_back(std::move(instance));
  WriteList();
  return n;
}

void Deployment::Start(int instances_per_zone) {
  for (int i = 0; i < instances_per_zone * options_.zones; ++i) {
    AddInstance(i % options_.zones);
  }
  const int n = static_cast<int>(instances_.size());
  ASSERT_TRUE(
      WaitFor([&] { return Admin(0, "GET", "/healthz").status == 200; }));
  std::optional<long> revision;
  ASSERT_TRUE(WaitFor([&] {
    revision = Change(0, FirstConfiguration());
    return revision.has_value();
  }));
  for (int i = 0; i < n; ++i) {
    ASSERT_TRUE(WaitReady(i)) << i << instance(i).Log();
  }
}

bool Deployment::WaitReady(int instance) {
  return WaitFor([&] {
    Call call;
    call.id = "first-" + std::to_string(instance);
    call.max_tokens = 1;
    Call plain = call;
    plain.plain_service = kPlainService;
    return Admin(instance, "GET", "/readyz").status == 200 &&
           Send(caller_port(instance), call).verdict == Verdict::kWhole &&
           Send(caller_port(instance), plain).verdict == Verdict::kWhole;
  });
}

void Deployment::Unlist(int instance) {
  unlisted_.push_back(instance);
  WriteList();
}

void Deployment::WriteList() {
  const int base = ports_.base();
  json rows = HttpCall(base + kEngineControl, "GET", "/instances")
                  .body.value("instances", json::array());
  const json plain = HttpCall(base + kPlainControl, "GET", "/instances")
                         .body.value("instances", json::array());
  rows.insert(rows.end(), plain.begin(), plain.end());
  for (int n = 0; n < static_cast<int>(instances_.size()); ++n) {
    if (std::ranges::find(unlisted_, n) == unlisted_.end()) {
      rows.push_back({{"id", InstanceName(n)},
                      {"kind", "entry"},
                      {"zone", ZoneName(instances_[n]->zone)},
                      {"address", kAddress},
                      {"port", caller_port(n)},
                      {"peer_port", base + kPeerPorts + n},
                      {"state", "live"}});
    }
  }
  EXPECT_EQ(
      HttpCall(base + kListPort, "PUT", "/v1/instances", {{"instances", rows}})
          .status,
      200);
}

int Deployment::caller_port(int n) const {
  return ports_.base() + kCallerPorts + n;
}

int Deployment::admin_port(int n) const {
  return ports_.base() + kAdminPorts + n;
}

std::string Deployment::PeerEndpoint(int n) const {
  return Endpoint(ports_.base() + kPeerPorts + n);
}

std::vector<Load::Entry> Deployment::Entries() const {
  std::vector<Load::Entry> out;
  for (int n = 0; n < static_cast<int>(instances_.size()); ++n) {
    out.push_back({caller_port(n), admin_port(n)});
  }
  return out;
}

// --- Operators --------------------------------------------------------------

HttpReply Deployment::Admin(int instance,
                            const std::string& method,
                            const std::string& path,
                            const json& body) const {
  return Perform(admin_port(instance), method, path, body,
                 {{"Authorization", std::string("Bearer ") + kOperatorKey}});
}

std::optional<long> Deployment::Change(int instance,
                                       const json& changes) const {
  const HttpReply plan = Admin(instance, "POST", "/v1/admin/plans",
                               {{"note", "test"}, {"changes", changes}});
  if (plan.status != 201) {
    return std::nullopt;
  }
  const HttpReply confirmed =
      Admin(instance, "POST",
            "/v1/admin/plans/" + plan.body.value("id", "") + "/confirm",
            json::object());
  if (confirmed.status != 200) {
    return std::nullopt;
  }
  return confirmed.body.value("revision", 0L);
}

long Deployment::RevisionAt(int instance) const {
  const HttpReply reply = Admin(instance, "GET", "/v1/admin/config/status");
  return reply.status == 200 ? reply.body.value("revision", -1L) : -1;
}

double Deployment::Metric(int instance,
                          const std::string& name,
                          const std::string& label) const {
  httplib::Client client(kAddress, admin_port(instance));
  const httplib::Result answer = client.Get("/metrics");
  std::istringstream lines(answer ? answer->body : "");
  double sum = 0;
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(name) && line.find(label) != std::string::npos) {
      sum += std::stod(line.substr(line.rfind(' ')));
    }
  }
  return sum;
}

// --- Faults and observations ------------------------------------------------

void Deployment::FaultEngines(const json& switches) const {
  Fault(ports_.base() + kEngineControl, switches);
}

void Deployment::FaultPlain(const json& switches) const {
  Fault(ports_.base() + kPlainControl, switches);
}

void Deployment::FaultPlatform(const json& switches) const {
  Fault(ports_.base() + kPlatformControl, switches);
}

void Deployment::CutFromPlatform(int zone, bool cut) const {
  const std::string number = std::to_string(zone + 1);
  FaultPlatform({{"id", "kv-" + number}, {"hang", cut}});
  FaultPlatform({{"id", "list-" + number}, {"hang", cut}});
}

void Deployment::CutFromZones(int zone, bool cut) const {
  CutLinks(ports_.base() + kEngineControl, zone, cut);
  CutLinks(ports_.base() + kPlainControl, zone, cut);
}

void Deployment::CutLinks(int control, int zone, bool cut) const {
  const json rows = HttpCall(control, "GET", "/instances").body["instances"];
  for (const json& row : rows) {
    for (int link = 0; link < options_.zones; ++link) {
      const bool own = row["zone"] == ZoneName(zone);
      if (own != (link == zone)) {
        Fault(control, {{"id", row["id"]}, {"link", link + 1}, {"hang", cut}});
      }
    }
  }
}

void Deployment::SetListState(const std::string& id,
                              const std::string& state) const {
  EXPECT_EQ(HttpCall(ports_.base() + kListPort, "POST", "/v1/instances/" + id,
                     {{"state", state}})
                .status,
            200);
}

json Deployment::EngineState(int n) const {
  const json state =
      HttpCall(ports_.base() + kTargetPorts + n, "GET", "/v1/state").body;
  return state.is_object() ? state : json::object();
}

std::vector<json> Deployment::EngineRuns() const {
  return RunsAt(ports_.base() + kEngineControl);
}

std::vector<json> Deployment::PlainRuns() const {
  return RunsAt(ports_.base() + kPlainControl);
}

std::vector<json> Deployment::EngineJournals() const {
  return JournalsAt(ports_.base() + kEngineControl);
}

}  // namespace lynxglade::system_test
