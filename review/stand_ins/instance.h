// An `lynxgladed entry` process, started as the deploy file does.
#ifndef LYNXGLADE_REVIEW_STAND_INS_INSTANCE_H_
#define LYNXGLADE_REVIEW_STAND_INS_INSTANCE_H_

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "review/stand_ins/sockets.h"

namespace lynxglade::review {

struct InstanceSettings {
  std::string name;
  std::string zone;
  std::uint16_t store_port = 0;
  // Where its output goes.
  std::string log;
};

// Not thread-safe, and used on the main thread only: the process ends with the
// thread that started it. The destructor kills it.
class Instance {
 public:
  explicit Instance(InstanceSettings settings);
  ~Instance();
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  void Start();
  // Kills the process and waits for its end.
  void Kill();
  // Sends SIGTERM and waits for the end of the process. Returns the signal that
  // ended it, or 0 if it exited.
  int Terminate();
  // Whether the process has ended by itself. Then it may be started again.
  bool HasEnded();
  // Resident memory of the process in bytes; 0 if it does not run.
  std::size_t ResidentBytes() const;
  bool Ready() const;
  // Whether its metrics page has the line.
  bool Shows(const std::string& line) const;
  std::uint16_t port() const noexcept { return port_; }

 private:
  // Asks at the health address.
  Message Get(const std::string& path) const;

  const InstanceSettings settings_;
  const std::uint16_t port_;
  const std::uint16_t health_port_;
  const std::uint16_t peer_port_;
  pid_t pid_ = -1;
};

// Waits until all instances are ready, for at most `bound`.
bool AwaitReady(const std::vector<const Instance*>& instances, Millis bound);

}  // namespace lynxglade::review

#endif  // LYNXGLADE_REVIEW_STAND_INS_INSTANCE_H_
