// Notices soon when the answer to a watch of the store is not coming.
//
// A watch that the store never received, and one whose connection has gone
// silent, look like a watch without changes until the answer is overdue. Then a
// short read on another connection tells the two apart: a store that answers it
// has no answer to the watch. A store that is only slow is waited for.
#ifndef LYNXGLADE_PROCESS_STORE_WATCH_GUARD_H_
#define LYNXGLADE_PROCESS_STORE_WATCH_GUARD_H_

#include <memory>
#include <string>

#include "base/metrics.h"
#include "base/time.h"
#include "process/store/store_port.h"

namespace lynxglade::process::store {

struct WatchGuardOptions {
  // After the end of a watch's wait, its answer is overdue for this long before
  // the store is asked. Several round trips and a busy event loop.
  base::Duration overdue = std::chrono::milliseconds(200);
  // After the store has answered that read, the watch gets this long, or as
  // long as the read took.
  base::Duration min_extra_wait = std::chrono::milliseconds(50);
  // The key that is read. It need not exist.
  std::string probe_key = "lynxglade/none";
};

// Not thread-safe: runs on the event loop. The store must outlive the loop's
// tasks.
class WatchGuard : public ChangeSource {
 public:
  WatchGuard(connection::event::asio::io_context& loop,
             StorePort& store,
             WatchGuardOptions options,
             base::Clock clock,
             base::Metrics& metrics);
  WatchGuard(const WatchGuard&) = delete;
  WatchGuard& operator=(const WatchGuard&) = delete;

  Result<StoreItems> List(std::string prefix,
                          Freshness freshness,
                          StoreFault* fault) override;
  // kTimeout as well if the store answers, but not to the watch.
  Result<StoreItems> Watch(std::string prefix,
                           base::Revision after,
                           base::Duration wait,
                           StoreFault* fault) override;

 private:
  // A watch, and the read that is made when its answer is overdue.
  struct Pending;

  connection::event::Awaitable<void> RunWatch(std::shared_ptr<Pending> pending,
                                              std::string prefix,
                                              base::Revision after,
                                              base::Duration wait);
  connection::event::Awaitable<void> RunProbe(std::shared_ptr<Pending> pending);
  // Whether the store answers a read although the watch is still pending.
  connection::event::Awaitable<bool> IsLost(std::shared_ptr<Pending> pending);

  connection::event::asio::io_context& loop_;
  StorePort& store_;
  const WatchGuardOptions options_;
  const base::Clock clock_;
  base::Metrics& metrics_;
};

}  // namespace lynxglade::process::store

#endif  // LYNXGLADE_PROCESS_STORE_WATCH_GUARD_H_
