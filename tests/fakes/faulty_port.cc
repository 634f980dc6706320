#include "fakes/details/faulty_port.h"

#include <chrono>
#include <thread>
#include <utility>

namespace lynxglade::fakes {

namespace {

using httplib::Request;
using httplib::Response;
using nlohmann::json;

constexpr base::Duration kHold = std::chrono::milliseconds(20);

bool IsControl(const std::string& path) {
  return path == "/fault" || path.starts_with("/journal") || path == "/stats";
}

}  // namespace

FaultyPort::FaultyPort(std::string address,
                       int port,
                       RouteSetup setup,
                       std::function<void(const json&)> more_faults)
    : setup_(std::move(setup)),
      more_faults_(std::move(more_faults)),
      faults_(
          {{"hang", 0}, {"slow_ms", 0}, {"slow_answer_ms", 0}, {"reset", 0}}),
      listener_(std::move(address),
                port,
                kDefaultIdleTimeout,
                [this](httplib::Server& server) { AddRoutes(server); }) {}

void FaultyPort::ApplyFaults(const json& switches) {
  {
    const std::lock_guard lock(mutex_);
    faults_.Apply(switches);
  }
  if (more_faults_) {
    more_faults_(switches);
  }
  const auto refuse = switches.find("refuse");
  if (refuse != switches.end() && *refuse == true) {
    listener_.StopListening();
  } else if (refuse != switches.end() || switches.value("clear", false)) {
    listener_.Open();
  }
  if (switches.value("reset_connections", false)) {
    listener_.ResetConnections();
  }
}

json FaultyPort::FaultsJson() const {
  const std::lock_guard lock(mutex_);
  return faults_.ToJson();
}

void FaultyPort::AddRoutes(httplib::Server& server) {
  server.set_pre_routing_handler([this](const Request& req, Response&) {
    return IsControl(req.path) ? httplib::Server::HandlerResponse::Unhandled
                               : Delay(req);
  });
  server.set_post_routing_handler([this](const Request& req, Response&) {
    if (!IsControl(req.path)) {
      std::this_thread::sleep_for(
          std::chrono::duration<double, std::milli>(Value("slow_answer_ms")));
    }
  });
  server.Post("/fault", [this](const Request& req, Response& res) {
    const json body = ParseObject(req.body);
    if (body.is_discarded()) {
      AnswerJson(res, 400, {{"error", {{"code", "bad_request"}}}});
      return;
    }
    ApplyFaults(body);
    AnswerJson(res, 200, FaultsJson());
  });
  setup_(server);
}

httplib::Server::HandlerResponse FaultyPort::Delay(const Request&) {
  using Result = httplib::Server::HandlerResponse;
  if (Take("reset")) {
    ResetOwnConnection();
    return Result::Handled;
  }
  while (Value("hang") != 0 && OwnConnectionAlive()) {
    std::this_thread::sleep_for(kHold);
  }
  std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(Value("slow_ms")));
  // Does not run the call if the caller disconnected while it waited.
  return OwnConnectionAlive() ? Result::Unhandled : Result::Handled;
}

double FaultyPort::Value(const std::string& name) const {
  const std::lock_guard lock(mutex_);
  return faults_.Value(name);
}

bool FaultyPort::Take(const std::string& name) {
  const std::lock_guard lock(mutex_);
  return faults_.Take(name);
}

}  // namespace lynxglade::fakes
