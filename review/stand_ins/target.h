// A plain target: it works on each request for a fixed time, and records what
// it runs.
#ifndef LYNXGLADE_REVIEW_STAND_INS_TARGET_H_
#define LYNXGLADE_REVIEW_STAND_INS_TARGET_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "review/stand_ins/http_server.h"
#include "review/stand_ins/record.h"
#include "review/stand_ins/store.h"

namespace lynxglade::review {

struct TargetSettings {
  std::string id;
  std::string service;
  std::string zone = {};
  Millis work{60};
  int slots = 6;
};

// One run of a request.
struct TargetRun {
  std::string id;
  double began = 0;
  // Whether it was worked on to the end.
  bool done = false;
};

// Thread-safe.
class Target {
 public:
  Target(TargetSettings settings, Record& record);

  const TargetSettings& settings() const noexcept { return settings_; }
  // The value of its entry in the store. `cold_ms`: how much longer it is slow
  // after its start.
  std::string Entry(int cold_ms = 0) const;
  std::string Key() const { return "servers/" + settings_.id; }
  // Ends like a process: runs are broken off and connections reset.
  void End();
  std::vector<TargetRun> Runs();

 private:
  std::optional<std::string> Handle(const Message& request);

  const TargetSettings settings_;
  Record& record_;
  std::atomic<bool> ended_ = false;
  std::atomic<int> running_ = 0;
  std::mutex mutex_;
  std::vector<TargetRun> runs_;
  // Declared last: its threads use the other members.
  HttpServer server_;
};

}  // namespace lynxglade::review

#endif  // LYNXGLADE_REVIEW_STAND_INS_TARGET_H_
