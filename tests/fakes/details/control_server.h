// One port that controls all fakes of a process, including those that are down.
#ifndef LYNXGLADE_FAKES_DETAILS_CONTROL_SERVER_H_
#define LYNXGLADE_FAKES_DETAILS_CONTROL_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "fakes/details/http_server.h"

namespace lynxglade::fakes {

// Control interface of one fake.
struct ControlledFake {
  std::string id;
  std::function<void(const nlohmann::json&)> apply_faults;
  std::function<nlohmann::json()> journal;
  // Its row of the instance list.
  std::function<nlohmann::json()> row;
};

// Serves POST /fault (member "id" selects a fake; absent: all), GET /journal
// and GET /instances.
class ControlServer {
 public:
  ControlServer(std::string address,
                int port,
                std::vector<ControlledFake> fakes);
  // False when the port cannot be bound.
  bool Start();
  int port() const noexcept { return listener_.port(); }

 private:
  void AddRoutes(httplib::Server& server);
  void ApplyFaults(const httplib::Request& req, httplib::Response& res);

  std::vector<ControlledFake> fakes_;
  HttpListener listener_;
};

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_DETAILS_CONTROL_SERVER_H_
