// A plain target: it works on each request for a fixed time, and records what
// it runs. A request whose body is kCrashingBody ends it; it is back after some
// seconds, at the same address and under a new id. It does not tell its load.
#ifndef LYNXGLADE_REVIEW_STAND_INS_TARGET_H_
#define LYNXGLADE_REVIEW_STAND_INS_TARGET_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "review/stand_ins/http_server.h"
#include "review/stand_ins/record.h"
#include "review/stand_ins/store.h"

namespace lynxglade::review {

inline constexpr char kCrashingBody[] = "crash";

struct TargetSettings {
  std::string id;
  std::string service;
  std::string zone = {};
  Millis work{60};
  int slots = 6;
  // A crash leaves its machine dark until it is back; otherwise connections are
  // reset and refused.
  bool goes_dark = false;
};

// One run of a request.
struct TargetRun {
  std::string id;
  double began = 0;
  // Whether it was worked on to the end.
  bool done = false;
  // Whether it ended the target.
  bool crashed = false;
};

// Thread-safe.
class Target {
 public:
  Target(TargetSettings settings, Record& record);

  ~Target();
  Target(const Target&) = delete;
  Target& operator=(const Target&) = delete;

  // The value of its entry in the store. `cold_ms`: how much longer it is slow
  // after its start.
  std::string Entry(int cold_ms = 0) const;
  std::string Key() const { return "servers/" + Id(); }
  // Ends like a process: runs are broken off and connections reset.
  void End();
  // Writes its entry, and does so again after each crash.
  void Register(Store& store);
  std::vector<TargetRun> Runs();

 private:
  std::string Id() const;
  std::optional<std::string> Handle(const Message& request);
  // Starts it again some seconds after each crash.
  void Supervise(Store& store);

  const TargetSettings settings_;
  Record& record_;
  const std::uint16_t port_;
  // Number of its lifetime; runs of an earlier one are broken off.
  std::atomic<int> lifetime_ = 0;
  std::atomic<bool> crashed_ = false;
  std::atomic<bool> stopped_ = false;
  std::atomic<int> running_ = 0;
  std::mutex mutex_;
  std::vector<TargetRun> runs_;
  std::thread supervisor_;
  // Declared last: its threads use the other members.
  std::unique_ptr<HttpServer> server_;
};

}  // namespace lynxglade::review

#endif  // LYNXGLADE_REVIEW_STAND_INS_TARGET_H_
