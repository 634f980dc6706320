// fake_platform: runs a fake key-value service, instance list and weight store.
#include <atomic>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "base/log.h"
#include "base/random.h"
#include "base/time.h"
#include "fakes/details/control_server.h"
#include "fakes/details/faulty_port.h"
#include "fakes/details/flag_set.h"
#include "fakes/details/platform_routes.h"

namespace lynxglade::fakes {
namespace {

constexpr int kBadFlags = 2;

struct Options {
  std::string address = "127.0.0.1";
  int kv_port = 21900;
  int kv_ports = 1;
  int list_port = 21910;
  int list_ports = 1;
  int link_stride = 0;
  int weights_port = 21920;
  int control_port = 0;
  double writes_per_s = 500;
  double reads_per_s = 2000;
  int loads_per_minute = 60;
  int load_burst = 2;
  base::Duration list_lag = std::chrono::seconds(1);
  base::Duration progress = std::chrono::seconds(5);
};

void AddFlags(FlagSet& flags, Options* o) {
  flags.Text("address", "address to listen on", &o->address);
  flags.Integer("kv-port", "first port of the key-value service", &o->kv_port);
  flags.Integer("kv-ports",
                "ports of the one service, each with its own faults",
                &o->kv_ports);
  flags.Integer("list-port", "first port of the instance list", &o->list_port);
  flags.Integer("list-ports", "ports of the one list, each with its own faults",
                &o->list_ports);
  flags.Integer("link-stride",
                "list port k gives targets' ports plus (k-1) of these",
                &o->link_stride);
  flags.Integer("weights-port", "port of the weight store", &o->weights_port);
  flags.Integer("control-port", "controls of all; 0: none", &o->control_port);
  flags.Number("kv-writes-per-s", "0: no limit", &o->writes_per_s);
  flags.Number("kv-reads-per-s", "0: no limit", &o->reads_per_s);
  flags.Integer("loads-per-minute", "rate of the weight store",
                &o->loads_per_minute);
  flags.Integer("load-burst", "loads that may come at once", &o->load_burst);
  flags.Millis("list-lag-ms", "age of the instance list as read", &o->list_lag);
  flags.Millis("progress-ms", "longest silence of a watch", &o->progress);
}

// The three services and their ports.
class Platform {
 public:
  explicit Platform(const Options& o)
      : options_(o),
        kv_(&base::BootClock::now, {o.writes_per_s, o.reads_per_s, o.progress}),
        list_(&base::BootClock::now, o.list_lag),
        weights_(&base::BootClock::now, o.loads_per_minute, o.load_burst) {
    for (int i = 0; i < o.kv_ports; ++i) {
      AddKvPort(o.kv_port + i, "kv-" + std::to_string(i + 1));
    }
    for (int i = 0; i < o.list_ports; ++i) {
      AddListPort(o.list_port + i, "list-" + std::to_string(i + 1),
                  i * o.link_stride);
    }
    AddWeightsPort(o.weights_port);
    controls_.push_back(
        {"kv", [this](const nlohmann::json& f) { kv_.ApplyFaults(f); },
         [this] { return kv_.StatsJson(); },
         [] { return nlohmann::json::object(); }});
  }

  bool Open() {
    for (const auto& port : ports_) {
      if (!port->Open()) {
        std::cerr << "cannot listen on port " << port->port() << "\n";
        return false;
      }
    }
    return true;
  }

  std::vector<ControlledFake> controls() const { return controls_; }

 private:
  void AddKvPort(int number, const std::string& id) {
    auto hang = std::make_shared<std::atomic<bool>>(false);
    AddPort(
        number, id,
        [this, hang](httplib::Server& server) {
          AddKvRoutes(server, kv_, [hang] { return hang->load(); });
        },
        [this, hang](const nlohmann::json& faults) {
          kv_.ApplyFaults(faults);
          if (faults.contains("hang")) {
            *hang = faults["hang"] != false && faults["hang"] != 0;
          } else if (faults.value("clear", false)) {
            *hang = false;
          }
        });
  }

  void AddListPort(int number, const std::string& id, int port_offset) {
    AddPort(
        number, id,
        [this, port_offset](httplib::Server& server) {
          AddInstanceListRoutes(server, list_, port_offset);
        },
        [this](const nlohmann::json& faults) {
          if (faults.contains("lag_ms")) {
            list_.set_lag(std::chrono::milliseconds(faults["lag_ms"]));
          }
        });
  }

  void AddWeightsPort(int number) {
    AddPort(
        number, "weights",
        [this](httplib::Server& server) {
          AddWeightStoreRoutes(server, weights_);
        },
        [this](const nlohmann::json& faults) {
          if (faults.contains("loads_per_minute")) {
            weights_.set_loads_per_minute(faults["loads_per_minute"]);
          }
        });
  }

  void AddPort(int number,
               const std::string& id,
               RouteSetup setup,
               std::function<void(const nlohmann::json&)> more_faults) {
    ports_.push_back(std::make_unique<FaultyPort>(
        options_.address, number, std::move(setup), std::move(more_faults)));
    FaultyPort* port = ports_.back().get();
    controls_.push_back(
        {id, [port](const nlohmann::json& f) { port->ApplyFaults(f); },
         [port, id] {
           return nlohmann::json{{"id", id}, {"faults", port->FaultsJson()}};
         },
         [] { return nlohmann::json::object(); }});
  }

  Options options_;
  FakeKv kv_;
  FakeInstanceList list_;
  FakeWeightStore weights_;
  std::vector<std::unique_ptr<FaultyPort>> ports_;
  std::vector<ControlledFake> controls_;
};

int Main(int argc, char** argv) {
  Options o;
  FlagSet flags("Fake platform services; see tests/fakes/README.md");
  AddFlags(flags, &o);
  if (!flags.Parse(argc, argv)) {
    return kBadFlags;
  }
  base::InitLog(base::LogLevel::kWarning, "fake_platform");
  BlockStopSignals();
  Platform platform(o);
  if (!platform.Open()) {
    return 1;
  }
  ControlServer control(o.address, o.control_port, platform.controls());
  if (o.control_port != 0 && !control.Start()) {
    std::cerr << "cannot listen on port " << o.control_port << "\n";
    return 1;
  }
  std::cout << "ready" << std::endl;
  WaitForStopSignal();
  return 0;
}

}  // namespace
}  // namespace lynxglade::fakes

int main(int argc, char** argv) {
  return lynxglade::fakes::Main(argc, argv);
}
