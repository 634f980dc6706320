// One entry instance with all its components.
#ifndef LYNXGLADE_MAIN_DAEMON_H_
#define LYNXGLADE_MAIN_DAEMON_H_

#include <memory>
#include <string>

#include "process/settings.h"

namespace lynxglade {

// Start() and Stop() must be called on the same thread.
class Daemon {
 public:
  explicit Daemon(process::Settings settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Starts the components and opens the ports. On failure returns false, and
  // last_reason() says why.
  bool Start();

  // Graceful stop: reports not ready, leaves the views, releases the leases,
  // waits for the in-flight requests and closes the ports.
  void Stop();

  // Reloads certificates and keys. If they are unusable, logs that and keeps
  // the ones in use.
  void Reload();

  const std::string& last_reason() const noexcept;

 private:
  struct Details;
  std::unique_ptr<Details> details_;
};

}  // namespace lynxglade

#endif  // LYNXGLADE_MAIN_DAEMON_H_
