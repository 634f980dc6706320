// fake_plain: runs N fake instances of a plain service in one process.
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "base/log.h"
#include "base/time.h"
#include "fakes/details/control_server.h"
#include "fakes/details/flag_set.h"
#include "fakes/details/zones.h"
#include "fakes/plain_host.h"

namespace lynxglade::fakes {
namespace {

constexpr int kBadFlags = 2;

struct Options {
  int count = 1;
  int first_id = 1;
  int first_port = 21800;
  int control_port = 0;
  std::string id_prefix = "plain-";
  std::string zone = "zone-a";
  PlainHostSettings host;
};

void AddFlags(FlagSet& flags, Options* o) {
  flags.Integer("count", "how many instances", &o->count);
  flags.Integer("first-id", "number of the first instance", &o->first_id);
  flags.Integer("first-port", "port of the first instance", &o->first_port);
  flags.Integer("control-port", "controls of all instances; 0: none",
                &o->control_port);
  flags.Integer("links", "ports of each, one for the callers of a zone",
                &o->host.links);
  flags.Integer("link-stride", "distance of these ports", &o->host.link_stride);
  flags.Text("id-prefix", "ids are this and a number", &o->id_prefix);
  flags.Text("address", "address to listen on", &o->host.address);
  flags.Text("service", "the service's name", &o->host.service);
  flags.Text("zone", "availability zones, comma-separated, taken in turn",
             &o->zone);
  flags.Millis("work-ms", "time that each call takes", &o->host.work);
  flags.Integer("limit", "calls that run at once", &o->host.limit);
}

ControlledFake Control(PlainHost& host,
                       const Options& o,
                       const std::string& zone) {
  return {host.id(),
          [&host](const nlohmann::json& faults) { host.ApplyFaults(faults); },
          [&host] { return host.JournalJson(); },
          [&host, zone, service = o.host.service, address = o.host.address] {
            return nlohmann::json{{"id", host.id()},    {"kind", "plain"},
                                  {"service", service}, {"zone", zone},
                                  {"address", address}, {"port", host.port()},
                                  {"state", "live"}};
          }};
}

int Main(int argc, char** argv) {
  Options o;
  o.host.service = "portal";
  o.host.work = std::chrono::milliseconds(5);
  FlagSet flags("Fake plain services; see tests/fakes/README.md");
  AddFlags(flags, &o);
  if (!flags.Parse(argc, argv)) {
    return kBadFlags;
  }
  base::InitLog(base::LogLevel::kWarning, "fake_plain");
  BlockStopSignals();
  const std::vector<std::string> zones = SplitZones(o.zone);
  std::vector<std::unique_ptr<PlainHost>> hosts;
  std::vector<ControlledFake> controls;
  for (int i = 0; i < o.count; ++i) {
    PlainHostSettings settings = o.host;
    settings.id = o.id_prefix + std::to_string(o.first_id + i);
    settings.port = o.first_port + i;
    hosts.push_back(std::make_unique<PlainHost>(std::move(settings)));
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
  std::cout << "ready " << o.count << " instances from port " << o.first_port
            << std::endl;
  WaitForStopSignal();
  return 0;
}

}  // namespace
}  // namespace lynxglade::fakes

int main(int argc, char** argv) {
  return lynxglade::fakes::Main(argc, argv);
}
