// An `lynxgladed entry` process, started with the command and the environment
// of deploy/system.toml.
#ifndef LYNXGLADE_REVIEW_STAND_INS_2_DAEMON_H_
#define LYNXGLADE_REVIEW_STAND_INS_2_DAEMON_H_

#include <sys/types.h>

#include <string>

#include "review/stand_ins_2/wire.h"

namespace lynxglade::review {

struct DaemonSettings {
  std::string name;
  std::string zone;
  int store_port = 0;
  // Folder for the process's output.
  std::string folder;
};

// Killed by the destructor. Keeps its ports when it is started again.
class Daemon {
 public:
  explicit Daemon(DaemonSettings settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Starts the process; false if it is not ready within ten seconds.
  bool Start();
  // Starts the process and does not wait.
  void Launch();
  void Signal(int number) const;
  // Kills the process and waits for its end.
  void Kill();
  // Whether the process has ended; its exit status as by waitpid() in `status`.
  bool HasEnded(int* status);
  bool IsReady() const;
  // Whether its metrics page has the line.
  bool Shows(const std::string& line) const;
  // Resident memory.
  std::size_t ResidentBytes() const;
  int port() const noexcept { return port_; }
  const std::string& name() const noexcept { return settings_.name; }

 private:
  const DaemonSettings settings_;
  const int port_;
  const int health_port_;
  const int peer_port_;
  int lifetimes_ = 0;
  pid_t pid_ = 0;
};

}  // namespace lynxglade::review

#endif  // LYNXGLADE_REVIEW_STAND_INS_2_DAEMON_H_
