#include "fakes/details/linked_ports.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace lynxglade::fakes {

namespace {

using nlohmann::json;

constexpr base::Duration kHold = std::chrono::milliseconds(20);

// Set for each call; a thread serves connections of one port only.
thread_local const std::atomic<bool>* own_cut = nullptr;

bool IsControl(const std::string& path) {
  return path == "/fault" || path.starts_with("/journal");
}

// Holds a call. If the caller disconnects meanwhile, the call is not run.
httplib::Server::HandlerResponse HoldCall(const std::function<bool()>& held) {
  using Result = httplib::Server::HandlerResponse;
  if (!held()) {
    return Result::Unhandled;
  }
  while (held() && OwnConnectionAlive()) {
    std::this_thread::sleep_for(kHold);
  }
  return OwnConnectionAlive() ? Result::Unhandled : Result::Handled;
}

}  // namespace

LinkedPorts::LinkedPorts(const Settings& settings,
                         const RouteSetup& setup,
                         Hold hold)
    : hold_(std::move(hold)) {
  for (int i = 0; i < settings.count; ++i) {
    auto link = std::make_unique<Link>();
    const int port = settings.first_port == 0
                         ? 0
                         : settings.first_port + i * settings.stride;
    link->listener = std::make_unique<HttpListener>(
        settings.address, port, settings.idle_timeout,
        [this, setup, it = link.get()](httplib::Server& server) {
          setup(server);
          server.set_pre_routing_handler(
              [this, it](const httplib::Request& req, httplib::Response&) {
                own_cut = &it->cut;
                return HoldCall([&] {
                  return !IsControl(req.path) && (it->cut || hold_(req.path));
                });
              });
        });
    links_.push_back(std::move(link));
  }
}

bool LinkedPorts::Open() {
  return std::ranges::all_of(
      links_, [](const auto& it) { return it->listener->Open(); });
}

void LinkedPorts::StopListening() {
  std::ranges::for_each(links_,
                        [](const auto& it) { it->listener->StopListening(); });
}

void LinkedPorts::ResetConnections() {
  std::ranges::for_each(
      links_, [](const auto& it) { it->listener->ResetConnections(); });
}

void LinkedPorts::Close() {
  std::ranges::for_each(links_, [](const auto& it) { it->listener->Close(); });
}

bool LinkedPorts::ApplyFaults(const json& switches) {
  if (const auto it = switches.find("link"); it != switches.end()) {
    const auto index = it->get<std::size_t>() - 1;
    if (index < links_.size()) {
      ApplyTo(*links_[index], switches);
    }
    return true;
  }
  json for_all = switches;
  for_all.erase("hang");
  std::ranges::for_each(links_, [&](const auto& it) { ApplyTo(*it, for_all); });
  return false;
}

int LinkedPorts::port() const {
  return links_.front()->listener->port();
}

void LinkedPorts::ApplyTo(Link& link, const json& switches) {
  const bool clear = switches.value("clear", false);
  if (const auto it = switches.find("hang"); it != switches.end()) {
    link.cut = *it != false && *it != 0;
  } else if (clear) {
    link.cut = false;
  }
  const auto refuse = switches.find("refuse");
  if (refuse != switches.end() && *refuse == true) {
    link.listener->StopListening();
  } else if (refuse != switches.end() || clear) {
    link.listener->Open();
  }
  if (switches.value("reset_connections", false)) {
    link.listener->ResetConnections();
  }
}

bool OwnLinkCut() {
  return own_cut != nullptr && own_cut->load();
}

}  // namespace lynxglade::fakes
