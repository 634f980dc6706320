// fake_engines: runs N fake model engines in one process, on consecutive ports.
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "base/log.h"
#include "base/random.h"
#include "base/time.h"
#include "fakes/details/control_server.h"
#include "fakes/details/flag_set.h"
#include "fakes/details/zones.h"
#include "fakes/engine_host.h"

namespace lynxglade::fakes {
namespace {

constexpr base::Duration kBlockLifetime = std::chrono::seconds(30);
constexpr int kBadFlags = 2;

struct Options {
  int count = 1;
  int first_id = 1;
  int first_port = 21000;
  int control_port = 0;
  std::string id_prefix = "engine-";
  std::string service = "llm";
  std::string zone = "zone-a";
  std::string model = "model-a";
  std::string version = "v1";
  std::string role = "mixed";
  std::string log_level = "warning";
  double speed = 1;
  int kv_tokens = 600000;
  int cache_tokens = 200000;
  EngineHostSettings host;
};

void AddFlags(FlagSet& flags, Options* o) {
  EngineSettings& engine = o->host.engine;
  flags.Integer("count", "how many engines", &o->count);
  flags.Integer("first-id", "number of the first engine", &o->first_id);
  flags.Integer("first-port", "port of the first engine", &o->first_port);
  flags.Integer("control-port", "controls of all engines; 0: none",
                &o->control_port);
  flags.Integer("links", "ports of each, one for the callers of a zone",
                &o->host.links);
  flags.Integer("link-stride", "distance of these ports", &o->host.link_stride);
  flags.Text("id-prefix", "engine ids are this and a number", &o->id_prefix);
  flags.Text("address", "address to listen on", &o->host.address);
  flags.Text("service", "service of the engines", &o->service);
  flags.Text("zone", "availability zones, comma-separated, taken in turn",
             &o->zone);
  flags.Text("model", "model loaded at the start", &o->model);
  flags.Text("version", "its version", &o->version);
  flags.Text("role", "mixed, prefill or decode", &o->role);
  flags.Text("log-level", "debug, info, warning or error", &o->log_level);
  flags.Switch("fenced", "refuse orders with an old fence",
               &engine.orders.fenced);
  flags.Switch("keep-fence", "the highest fence outlives a crash",
               &engine.orders.keeps_fence);
  flags.Number("speed", "factor on all rates", &o->speed);
  flags.Number("prefill-rate", "prompt tokens a second", &engine.rates.prefill);
  flags.Number("decode-rate", "generated tokens a second, all streams",
               &engine.rates.decode);
  flags.Number("stream-rate", "generated tokens a second, one stream",
               &engine.rates.per_stream);
  flags.Number("prefill-share", "prefill's part of a mixed engine's time",
               &engine.rates.prefill_share);
  flags.Number("mix-penalty", "part of both rates lost while mixed",
               &engine.rates.mix_penalty);
  flags.Number("off-role", "part of its rate for the other role's work",
               &engine.rates.off_role);
  flags.Number("kv-rate", "KV tokens imported a second",
               &engine.rates.kv_transfer);
  flags.Integer("batch", "requests that run at once", &engine.limits.batch);
  flags.Integer("queue", "requests that wait", &engine.limits.queue);
  flags.Integer("kv-tokens", "KV cache capacity", &o->kv_tokens);
  flags.Integer("cache-tokens", "prefix cache capacity", &o->cache_tokens);
  flags.Millis("change-ms", "time out of service for a change",
               &engine.orders.change_time);
  flags.Millis("load-lag-ms", "age of load reports", &engine.load_lag);
  flags.Millis("event-lag-ms", "age of cache events", &engine.event_lag);
  flags.Number("event-loss", "part of the cache events that is lost",
               &engine.event_loss);
  flags.Millis("idle-timeout-ms", "longest wait of a kept connection",
               &o->host.idle_timeout);
  flags.Text("weights-url", "weight store; empty: none", &o->host.weights_url);
}

void ScaleRates(double speed, EngineRates* rates) {
  rates->prefill *= speed;
  rates->decode *= speed;
  rates->per_stream *= speed;
  rates->kv_transfer *= speed;
}

// Converts flags to settings; prints an error and returns false on an invalid
// value.
bool ApplyFlags(Options* o) {
  EngineSettings& engine = o->host.engine;
  EngineSetup& setup = engine.orders.initial;
  base::LogLevel level = base::LogLevel::kWarning;
  if (!request::ParseEngineRole(o->role, &setup.role) ||
      setup.role == request::EngineRole::kPlain) {
    std::cerr << "--role: must be mixed, prefill or decode\n";
    return false;
  }
  if (!base::ParseLogLevel(o->log_level, &level)) {
    std::cerr << "--log-level: must be debug, info, warning or error\n";
    return false;
  }
  if (o->count < 1 || o->speed <= 0) {
    std::cerr << "--count and --speed must be above 0\n";
    return false;
  }
  setup.model = o->model;
  setup.version = o->version;
  engine.limits.kv = base::Tokens(o->kv_tokens);
  engine.limits.cache = base::Tokens(o->cache_tokens);
  ScaleRates(o->speed, &engine.rates);
  base::InitLog(level, "fake_engines");
  return true;
}

ControlledFake Control(EngineHost& host,
                       const Options& o,
                       const std::string& zone) {
  return {host.id(),
          [&host](const nlohmann::json& faults) { host.ApplyFaults(faults); },
          [&host] { return host.JournalJson(); },
          [&host, zone, service = o.service, address = o.host.address] {
            return nlohmann::json{{"id", host.id()},
                                  {"kind", "engine"},
                                  {"service", service},
                                  {"zone", zone},
                                  {"address", address},
                                  {"port", host.port()},
                                  {"fenced", host.core().fenced()},
                                  {"state", "live"}};
          }};
}

int Main(int argc, char** argv) {
  Options o;
  o.host.engine.orders.change_time = std::chrono::seconds(3);
  o.host.engine.load_lag = std::chrono::milliseconds(500);
  o.host.engine.event_lag = std::chrono::seconds(1);
  FlagSet flags("Fake model engines; see tests/fakes/README.md");
  AddFlags(flags, &o);
  if (!flags.Parse(argc, argv) || !ApplyFlags(&o)) {
    return kBadFlags;
  }
  BlockStopSignals();
  KvBlocks blocks(&base::BootClock::now, kBlockLifetime);
  const std::vector<std::string> zones = SplitZones(o.zone);
  std::vector<std::unique_ptr<EngineHost>> hosts;
  std::vector<ControlledFake> controls;
  for (int i = 0; i < o.count; ++i) {
    EngineHostSettings settings = o.host;
    settings.engine.id = o.id_prefix + std::to_string(o.first_id + i);
    settings.port = o.first_port + i;
    hosts.push_back(std::make_unique<EngineHost>(std::move(settings),
                                                 base::SystemRandom(), blocks));
    if (!hosts.back()->Start()) {
      std::cerr << "cannot listen on port " << o.first_port + i << "\n";
      return 1;
    }
    controls.push_back(Control(*hosts.back(), o, ZoneOf(zones, i)));
  }
  ControlServer control(o.host.address, o.control_port, std::move(controls));
  if (o.control_port != 0 && !control.Start()) {
    std::cerr << "cannot listen on port " << o.control_port << "\n";
    return 1;
  }
  std::cout << "ready " << o.count << " engines from port " << o.first_port
            << std::endl;
  WaitForStopSignal();
  return 0;
}

}  // namespace
}  // namespace lynxglade::fakes

int main(int argc, char** argv) {
  return lynxglade::fakes::Main(argc, argv);
}
