// The ports of one stand-in, each with its own cut.
#ifndef LYNXGLADE_FAKES_DETAILS_LINKED_PORTS_H_
#define LYNXGLADE_FAKES_DETAILS_LINKED_PORTS_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/time.h"
#include "fakes/details/http_server.h"

namespace lynxglade::fakes {

// Callers of one zone use one port, so that a cut between that zone and the
// stand-in is a fault of its port. Thread-safe.
class LinkedPorts {
 public:
  struct Settings {
    std::string address;
    int first_port = 0;
    int count = 1;
    int stride = 100;
    base::Duration idle_timeout = kDefaultIdleTimeout;
  };

  // Tells whether calls to a path are to wait now, whichever port they use.
  using Hold = std::function<bool(const std::string& path)>;

  // `setup` must leave the pre-routing handler alone.
  LinkedPorts(const Settings& settings, const RouteSetup& setup, Hold hold);

  // False when a port cannot be bound.
  bool Open();
  void StopListening();
  void ResetConnections();
  void Close();

  // Takes "hang", "refuse" and "reset_connections" for the port that "link"
  // names (from 1), or, but for "hang", for all. Returns whether "link" was
  // there, and so nothing is left for others to apply.
  bool ApplyFaults(const nlohmann::json& switches);

  // The first port.
  int port() const;

 private:
  struct Link {
    std::atomic<bool> cut{false};
    std::unique_ptr<HttpListener> listener;
  };

  static void ApplyTo(Link& link, const nlohmann::json& switches);

  const Hold hold_;
  std::vector<std::unique_ptr<Link>> links_;
};

// Whether the port that the handler on this thread came through is cut: its
// answer has to wait.
bool OwnLinkCut();

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_DETAILS_LINKED_PORTS_H_
