// Pool of idle connections to targets. Private to TargetClient; exposes HTTP
// library types, so it is included from .cc files only.
#ifndef LYNXGLADE_CONNECTION_TARGET_CLIENT_POOL_H_
#define LYNXGLADE_CONNECTION_TARGET_CLIENT_POOL_H_

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "connection/target_connection.h"

namespace lynxglade::connection {

// Thread-safe. A connection is used by one caller at a time. CloseIdle() closes
// sockets outside the lock.
class TargetConnectionPool {
 public:
  struct Options {
    base::Duration connect_timeout{};
    base::Duration write_timeout{};
    base::Duration idle_timeout{};
    std::size_t max_idle_per_target = 0;
  };

  TargetConnectionPool(base::Clock clock, Options options);
  TargetConnectionPool(const TargetConnectionPool&) = delete;
  TargetConnectionPool& operator=(const TargetConnectionPool&) = delete;

  // Returns a client for the address: an idle connection if there is one and
  // `fresh` is false, otherwise a new client that connects on first use. Idle
  // connections that were closed by the target or have unread bytes are
  // discarded.
  std::unique_ptr<TargetConnection> Take(const std::string& address,
                                         int port,
                                         bool fresh);
  // Returns a connection to the pool. Its last answer must have been read
  // completely.
  void Keep(const std::string& address,
            int port,
            std::unique_ptr<TargetConnection> client);
  // Closes connections that have been idle for too long.
  void CloseIdle();

 private:
  using Endpoint = std::pair<std::string, int>;
  struct Idle {
    std::unique_ptr<TargetConnection> client;
    base::Time since;
  };

  std::unique_ptr<TargetConnection> TakeIdle(const Endpoint& endpoint);
  std::unique_ptr<TargetConnection> Make(const std::string& address,
                                         int port) const;

  const base::Clock clock_;
  const Options options_;
  std::mutex mutex_;
  std::map<Endpoint, std::vector<Idle>> idle_;
};

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_TARGET_CLIENT_POOL_H_
