// A zone of a large fleet: the store turns away the two machines that relay its
// changes, and drops its history after a change of the manifest.
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "review/stand_ins_2/daemon.h"
#include "review/stand_ins_2/record.h"
#include "review/stand_ins_2/store.h"
#include "review/stand_ins_2/wire.h"

namespace lynxglade::review {
namespace {

using nlohmann::json;

// The site has 197 machines a zone and 9,695 engines.
constexpr int kMachines = 66;
constexpr int kModelEngines = 3000;
constexpr int kRequesters = 24;
constexpr Millis kRequesterPause{50};
constexpr Millis kReadyTimeout{25000};
constexpr Millis kSettleTime{8000};
constexpr Millis kCalmTime{3000};
// How long the store turns the two machines away; the site's longest.
constexpr Millis kTurnedAwayFor{9000};
// Bounds of the site: `configApplyMs` and `stableWindowMs`.
constexpr Millis kConfigApply{5000};
constexpr Millis kStableWindow{6000};

json Configuration(int version, const std::string& service) {
  json services = json::array();
  for (const char* name : {"llm-restore", "portal-app", "portal-app-2"}) {
    services.push_back(
        {{"name", name}, {"maxConnections", 1800}, {"healthPath", "/healthz"}});
  }
  json routes = json::array();
  routes.push_back({{"name", "archive-receipt"},
                    {"hostname", "archive.example"},
                    {"pathPrefix", "/receipt/"},
                    {"type", "non_idempotent"},
                    {"timeoutMs", 2500},
                    {"targetLatencyMs", 200},
                    {"priority", 2},
                    {"maxAttempts", 1},
                    {"backend", service}});
  return {{"version", version},
          {"routes", routes},
          {"services", services},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

json Entry(const std::string& service, const std::string& address, int slots) {
  return {{"backend", service},   {"address", address}, {"zone", "scl-a"},
          {"version", "1"},       {"slots", slots},     {"phase", "ready"},
          {"coldRemainingMs", 0}, {"sequence", 1}};
}

// Model engines that no request is sent to; nobody listens there.
void PutModelEngines(Store& store) {
  constexpr int kPerNetwork = 250;
  for (int i = 0; i < kModelEngines; ++i) {
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "127.30.%d.%d:9", i / kPerNetwork,
                  1 + i % kPerNetwork);
    const std::string address = text.data();
    std::snprintf(text.data(), text.size(), "servers/i-model-%05d", i);
    store.Put(text.data(), Entry("llm-restore", address, 64));
  }
}

struct Run {
  std::string attempt;
  std::string service;
};

// What requesters sent and engines ran.
class Observations {
 public:
  void OnSent(const std::string& attempt) {
    const std::lock_guard lock(mutex_);
    sent_[attempt] = Clock::now();
  }
  void OnRun(Run run) {
    const std::lock_guard lock(mutex_);
    runs_.push_back(std::move(run));
  }
  std::size_t sent() {
    const std::lock_guard lock(mutex_);
    return sent_.size();
  }
  // Runs by the service of requests that were sent later than `time`.
  int RunsBy(const std::string& service, Clock::time_point time) {
    const std::lock_guard lock(mutex_);
    return static_cast<int>(std::ranges::count_if(runs_, [&](const Run& it) {
      return it.service == service && sent_[it.attempt] > time;
    }));
  }
  // The latest sending of a request that the service ran.
  Clock::time_point LastBy(const std::string& service) {
    const std::lock_guard lock(mutex_);
    Clock::time_point last;
    for (const Run& it : runs_) {
      if (it.service == service) {
        last = std::max(last, sent_[it.attempt]);
      }
    }
    return last;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, Clock::time_point> sent_;
  std::vector<Run> runs_;
};

void ServeEngine(Socket socket,
                 const std::string& service,
                 Observations& observations,
                 Record& record) {
  constexpr Millis kWork{20};
  while (const auto request = socket.ReadMessage()) {
    const std::string attempt = request->Field("lynxglade-attempt-id");
    observations.OnRun({attempt, service});
    record.Line("run " + attempt + " by " + service);
    std::this_thread::sleep_for(kWork);
    if (!socket.Send(Answer(200,
                            "Lynxglade-Attempt-Id: " + attempt +
                                "\r\nLynxglade-Instance-Signature: s." +
                                attempt + "\r\n",
                            "ok"))) {
      return;
    }
  }
}

void CallInTurn(const std::vector<int>& ports,
                int requester,
                const std::atomic<bool>& stopped,
                Observations& observations,
                Record& record) {
  for (int i = 0; !stopped; ++i) {
    const std::string attempt =
        "r" + std::to_string(requester) + "-" + std::to_string(i);
    const int port = ports.at((requester * 7 + i) % ports.size());
    Socket socket = Connect(port);
    observations.OnSent(attempt);
    socket.Send(
        "POST /receipt/2f HTTP/1.1\r\nHost: archive.example\r\n"
        "Lynxglade-Attempt-Id: " +
        attempt +
        "\r\nLynxglade-Deadline-Ms: 2500\r\nConnection: close\r\n"
        "Content-Length: 2\r\n\r\n{}");
    socket.SetReadTimeout(Millis(3000));
    const auto answer = socket.ReadMessage();
    record.Line("sent " + attempt + " to port " + std::to_string(port) +
                ", answered " + std::to_string(answer ? answer->Status() : 0));
    std::this_thread::sleep_for(kRequesterPause);
  }
}

bool AwaitReady(const std::vector<std::unique_ptr<Daemon>>& daemons) {
  const auto end = Clock::now() + kReadyTimeout;
  return std::ranges::all_of(daemons, [end](const auto& it) {
    while (!it->IsReady()) {
      if (Clock::now() > end) {
        return false;
      }
      std::this_thread::sleep_for(Millis(50));
    }
    return true;
  });
}

bool IsRelay(const Daemon& daemon) {
  return daemon.Shows(R"(lynxglade_watch_role{role="primary"} 1)") ||
         daemon.Shows(R"(lynxglade_watch_role{role="secondary"} 1)");
}

long long MillisBetween(Clock::time_point from, Clock::time_point to) {
  return std::chrono::duration_cast<Millis>(to - from).count();
}

int RunCase(const std::string& record_path, const std::string& folder) {
  Record record(record_path);
  Observations observations;
  Store store;
  std::vector<std::unique_ptr<Listener>> engines;
  for (int i = 0; i < 4; ++i) {
    const std::string service = i % 2 == 0 ? "portal-app" : "portal-app-2";
    engines.push_back(std::make_unique<Listener>(
        [service, &observations, &record](Socket it) {
          ServeEngine(std::move(it), service, observations, record);
        }));
    store.Put("servers/i-" + std::to_string(i),
              Entry(service,
                    "127.0.0.1:" + std::to_string(engines.back()->port()), 6));
  }
  PutModelEngines(store);
  store.Put("op/config", Configuration(3, "portal-app"));
  store.DropHistory();
  std::vector<StoreLink*> links;
  std::vector<std::unique_ptr<Daemon>> daemons;
  for (int i = 0; i < kMachines; ++i) {
    links.push_back(&store.OpenLink());
    daemons.push_back(std::make_unique<Daemon>(
        DaemonSettings{.name = "edge-scl-a-" + std::to_string(i + 1),
                       .zone = "scl-a",
                       .store_port = links.back()->port,
                       .folder = folder}));
    daemons.back()->Launch();
  }
  const auto finish = [&daemons](int result) {
    daemons.clear();
    std::fflush(nullptr);
    // Not by a return: threads of the stand-ins still use what it would
    // destroy.
    ::_exit(result);
  };
  if (!AwaitReady(daemons)) {
    std::puts("the processes are not ready");
    finish(2);
  }
  std::this_thread::sleep_for(kSettleTime);
  std::vector<StoreLink*> relay_links;
  std::vector<int> ports;
  for (int i = 0; i < kMachines; ++i) {
    if (IsRelay(*daemons[i])) {
      relay_links.push_back(links[i]);
      record.Line("relay: " + daemons[i]->name());
    } else {
      ports.push_back(daemons[i]->port());
    }
  }
  if (relay_links.size() != 2) {
    std::printf("%zu relays\n", relay_links.size());
    finish(2);
  }
  std::atomic<bool> stopped = false;
  std::vector<std::thread> requesters;
  for (int i = 0; i < kRequesters; ++i) {
    requesters.emplace_back(
        [&, i] { CallInTurn(ports, i, stopped, observations, record); });
  }
  std::this_thread::sleep_for(kCalmTime);
  for (StoreLink* it : relay_links) {
    it->busy = HasTrouble();
  }
  record.Line("the store turns the relays away");
  std::this_thread::sleep_for(Millis(300));
  store.Put("op/config", Configuration(7, "portal-app-2"));
  const auto moved = Clock::now();
  record.Line("the store has accepted manifest 7");
  if (HasTrouble()) {
    store.DropHistory();
    record.Line("the store has dropped its history");
  }
  std::this_thread::sleep_for(kTurnedAwayFor - Millis(300));
  for (StoreLink* it : relay_links) {
    it->busy = false;
  }
  record.Line("the store serves all machines");
  std::this_thread::sleep_for(kCalmTime);
  stopped = true;
  for (std::thread& it : requesters) {
    it.join();
  }
  const int stale = observations.RunsBy(
      "portal-app", moved + std::max(kConfigApply, kStableWindow));
  std::printf(
      "%zu requests; %d were run by the old service although sent over 6 s "
      "after the change; the last one was sent %lld ms after it\n",
      observations.sent(), stale,
      MillisBetween(moved, observations.LastBy("portal-app")));
  finish(stale > 0 ? 1 : 0);
  return 2;
}

}  // namespace
}  // namespace lynxglade::review

int main(int argc, char** argv) {
  if (argc != 3) {
    std::fputs("usage: check RECORD FOLDER\n", stderr);
    return 2;
  }
  ::signal(SIGPIPE, SIG_IGN);
  return lynxglade::review::RunCase(argv[1], argv[2]);
}
