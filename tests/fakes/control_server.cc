#include "fakes/details/control_server.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lynxglade::fakes {

using nlohmann::json;

ControlServer::ControlServer(std::string address,
                             int port,
                             std::vector<ControlledFake> fakes)
    : fakes_(std::move(fakes)),
      listener_(std::move(address),
                port,
                kDefaultIdleTimeout,
                [this](httplib::Server& server) { AddRoutes(server); }) {}

bool ControlServer::Start() {
  return listener_.Open();
}

void ControlServer::AddRoutes(httplib::Server& server) {
  server.Post("/fault",
              [this](const httplib::Request& req, httplib::Response& res) {
                ApplyFaults(req, res);
              });
  server.Get(
      "/journal", [this](const httplib::Request&, httplib::Response& res) {
        json list = json::array();
        std::ranges::transform(fakes_, std::back_inserter(list),
                               [](const auto& it) { return it.journal(); });
        AnswerJson(res, 200, {{"journals", list}});
      });
  server.Get("/instances",
             [this](const httplib::Request&, httplib::Response& res) {
               json list = json::array();
               std::ranges::transform(fakes_, std::back_inserter(list),
                                      [](const auto& it) { return it.row(); });
               AnswerJson(res, 200, {{"instances", list}});
             });
}

void ControlServer::ApplyFaults(const httplib::Request& req,
                                httplib::Response& res) {
  const json body = ParseObject(req.body);
  if (body.is_discarded()) {
    AnswerJson(res, 400, {{"error", {{"code", "bad_request"}}}});
    return;
  }
  const std::string id = body.value("id", "");
  int applied = 0;
  for (const ControlledFake& it : fakes_) {
    if (id.empty() || it.id == id) {
      it.apply_faults(body);
      ++applied;
    }
  }
  AnswerJson(res, applied > 0 ? 200 : 404, {{"applied", applied}});
}

}  // namespace lynxglade::fakes
