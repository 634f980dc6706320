// Callers that keep their connections, and send one request after another.
#ifndef LYNXGLADE_REVIEW_STAND_INS_CALLERS_H_
#define LYNXGLADE_REVIEW_STAND_INS_CALLERS_H_

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/stand_ins/record.h"
#include "review/stand_ins/sockets.h"

namespace lynxglade::review {

struct CallerSettings {
  std::string host = "portal.example";
  std::string path = "/receipts/1";
  std::string body = "{}";
  // Further header lines, each with its line end.
  std::string headers = {};
  Millis timeout{1000};
  // What the ids of its requests begin with.
  std::string name = "caller";
  // From one request of a caller to its next one.
  Millis period{100};
};

// One attempt, as its caller saw it.
struct CallerAttempt {
  std::string id;
  std::uint16_t port = 0;
  // Whether its connection had carried a request before.
  bool kept = false;
  double sent = 0;
  double ended = 0;
  // 0: no whole answer.
  int status = 0;
  std::string signature;
  std::string body;
};

// Thread-safe.
class Callers {
 public:
  // `count` callers for each of the instances that listen on `ports`.
  Callers(CallerSettings settings,
          const std::vector<std::uint16_t>& ports,
          int count,
          Record& record);
  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  void Stop();
  std::vector<CallerAttempt> Attempts();

 private:
  void Run(std::uint16_t port, int caller);

  const CallerSettings settings_;
  Record& record_;
  std::atomic<bool> stopped_ = false;
  std::mutex mutex_;
  std::vector<CallerAttempt> attempts_;
  std::vector<std::thread> threads_;
};

// Sends one request on a connection of its own.
CallerAttempt SendOnce(const CallerSettings& settings,
                       std::uint16_t port,
                       const std::string& id,
                       Record& record);

}  // namespace lynxglade::review

#endif  // LYNXGLADE_REVIEW_STAND_INS_CALLERS_H_
