// A fake instance of a plain service with its listeners.
#ifndef LYNXGLADE_FAKES_PLAIN_HOST_H_
#define LYNXGLADE_FAKES_PLAIN_HOST_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include <nlohmann/json.hpp>

#include "base/time.h"
#include "fakes/fault_switches.h"
#include "fakes/run_journal.h"

namespace httplib {
class Server;
struct Request;
struct Response;
}  // namespace httplib

namespace lynxglade::fakes {

class LinkedPorts;

struct PlainHostSettings {
  std::string id;
  std::string service;
  std::string address = "127.0.0.1";
  // 0 picks a free port.
  int port = 0;
  // Ports of the instance; see EngineHostSettings.
  int links = 1;
  int link_stride = 100;
  // Duration of each call.
  base::Duration work{};
  // Maximum number of concurrent calls; more are rejected as overloaded.
  int limit = 256;
};

// Answers every path with an echo of the call, and records each run with its
// idempotency key. Thread-safe.
class PlainHost {
 public:
  explicit PlainHost(PlainHostSettings settings);
  ~PlainHost();
  PlainHost(const PlainHost&) = delete;
  PlainHost& operator=(const PlainHost&) = delete;

  // False when the port cannot be bound.
  bool Start();
  void ApplyFaults(const nlohmann::json& switches);
  nlohmann::json JournalJson() const;

  const std::string& id() const noexcept { return settings_.id; }
  int port() const;

 private:
  void AddRoutes(httplib::Server& server);
  void Serve(const httplib::Request& req, httplib::Response& res);
  // The error code of a rejection that applies now, if any.
  std::optional<std::string> TakeRefusal();
  RunIndex BeginRun(const httplib::Request& req);
  // Returns false when a crash has already ended the run.
  bool EndRun(RunIndex run, RunState end_state);
  void Work(const httplib::Request& req);
  void Answer(const httplib::Request& req,
              RunIndex run,
              httplib::Response& res);
  nlohmann::json LoadJson() const;
  std::string IncarnationText() const;
  bool Take(const std::string& name);
  double Value(const std::string& name) const;
  void CrashLoop();

  const PlainHostSettings settings_;
  const std::int64_t started_ms_;
  std::unique_ptr<LinkedPorts> ports_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  FaultSwitches faults_;
  RunJournal journal_;
  std::string poison_;
  int running_ = 0;
  std::int64_t incarnation_ = 1;
  std::optional<base::Duration> crash_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_PLAIN_HOST_H_
