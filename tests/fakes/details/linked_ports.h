// The ports of one fake, each of which can be cut separately.
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

// All callers of a zone use the same port, so a fault of the port simulates a
// partition between the fake and that zone. Thread-safe.
class LinkedPorts {
 public:
  struct Settings {
    std::string address;
    int first_port = 0;
    int count = 1;
    int stride = 100;
    base::Duration idle_timeout = kDefaultIdleTimeout;
  };

  // Whether calls to a path must wait now, on all ports.
  using Hold = std::function<bool(const std::string& path)>;

  // `setup` must not set a pre-routing handler.
  LinkedPorts(const Settings& settings, const RouteSetup& setup, Hold hold);

  // False when a port cannot be bound.
  bool Open();
  void StopListening();
  void ResetConnections();
  void Close();

  // Applies "hang", "refuse" and "reset_connections" to the port selected by
  // "link" (from 1); without "link", applies all but "hang" to every port.
  // Returns whether "link" was present, in which case the caller must not apply
  // the switches elsewhere.
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

// Whether the port that serves the handler on this thread is cut, in which case
// the response must wait.
bool OwnLinkCut();

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_DETAILS_LINKED_PORTS_H_
