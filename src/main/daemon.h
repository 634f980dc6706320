// One entry instance: every part of the system, put together.
#ifndef LYNXGLADE_MAIN_DAEMON_H_
#define LYNXGLADE_MAIN_DAEMON_H_

#include <memory>
#include <string>

#include "process/settings.h"

namespace lynxglade {

// Lives as long as the process. Start() and Stop() belong to one thread.
class Daemon {
 public:
  explicit Daemon(process::Settings settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Opens the ports and starts the work. False: see last_reason().
  bool Start();

  // The planned stop: not ready, leave the views, give the leases back, let
  // every running request end, close the ports. Cuts off nothing.
  void Stop();

  // Reads certificates and keys again; what cannot be used is logged, and the
  // former stays.
  void Reload();

  const std::string& last_reason() const noexcept;

 private:
  struct Details;
  std::unique_ptr<Details> details_;
};

}  // namespace lynxglade

#endif  // LYNXGLADE_MAIN_DAEMON_H_
