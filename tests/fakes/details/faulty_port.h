// A listener that simulates faults of a network and of a slow machine.
#ifndef LYNXGLADE_FAKES_DETAILS_FAULTY_PORT_H_
#define LYNXGLADE_FAKES_DETAILS_FAULTY_PORT_H_

#include <functional>
#include <mutex>
#include <string>

#include <nlohmann/json.hpp>

#include "fakes/details/http_server.h"
#include "fakes/fault_switches.h"

namespace lynxglade::fakes {

// Switches: "refuse" (no new connections), "hang" (calls wait), "slow_ms"
// (delay before each call is run), "slow_answer_ms" (delay after it), "reset"
// (the next n calls are reset before they are run), "reset_connections" (resets
// all connections now). Calls to /fault, /journal and /stats are not affected.
// Thread-safe.
class FaultyPort {
 public:
  // `more_faults` is also called with each body posted to /fault; may be empty.
  FaultyPort(std::string address,
             int port,
             RouteSetup setup,
             std::function<void(const nlohmann::json&)> more_faults);

  bool Open() { return listener_.Open(); }
  void ApplyFaults(const nlohmann::json& switches);
  nlohmann::json FaultsJson() const;
  int port() const noexcept { return listener_.port(); }

 private:
  void AddRoutes(httplib::Server& server);
  httplib::Server::HandlerResponse Delay(const httplib::Request& req);
  double Value(const std::string& name) const;
  bool Take(const std::string& name);

  RouteSetup setup_;
  std::function<void(const nlohmann::json&)> more_faults_;
  mutable std::mutex mutex_;
  FaultSwitches faults_;
  HttpListener listener_;
};

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_DETAILS_FAULTY_PORT_H_
