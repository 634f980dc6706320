// Tracks all keys under a prefix of the store: lists them, then watches for
// changes, and lists again when the watch fails.
#ifndef LYNXGLADE_PROCESS_STORE_PREFIX_FOLLOWER_H_
#define LYNXGLADE_PROCESS_STORE_PREFIX_FOLLOWER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "base/random.h"
#include "base/time.h"
#include "process/store/store_port.h"

namespace lynxglade::process::store {

struct PrefixFollowerOptions {
  std::string prefix;
  // Time from one response of the store to the end of the next watch's wait.
  // Longer means fewer calls to the store, and later detection of a watch that
  // an outage swallowed: changes must be known within three seconds of its end,
  // at every instance.
  base::Duration max_age = std::chrono::milliseconds(1000);
  // Shortest wait of a watch, after `batch_delay`.
  base::Duration min_watch_timeout = std::chrono::milliseconds(200);
  // Delay after changes, and after the first listing, before the next watch, so
  // that further changes arrive in one response. Limits the calls when many
  // targets change, or many instances start, at once. Required.
  std::function<base::Duration()> batch_delay;
  // Bounds of the exponential backoff while the store fails; random jitter of
  // up to the same amount is added. Short, as changes must be known within
  // three seconds of the end of an outage, two of which pass until entries that
  // expired meanwhile are written again. A watch that timed out has waited.
  base::Duration min_retry_delay = std::chrono::milliseconds(100);
  base::Duration max_retry_delay = std::chrono::milliseconds(250);
};

struct PrefixFollowerHooks {
  // The complete listing.
  std::function<void(const std::vector<StoreItem>&)> on_list;
  // One change; called in revision order.
  std::function<void(const StoreItem&)> on_change;
  // The store responds again after an outage (a closed watch connection alone
  // is none); called before on_list, with the time since the last response.
  std::function<void(base::Duration silence)> on_recovered;
};

// Hooks for the keys under one prefix.
struct PrefixHandler {
  std::string prefix;
  PrefixFollowerHooks hooks;
};

// Returns hooks that pass to each handler the keys under its prefix and ignore
// all others, so that one follower, and one call at a time, serves several
// prefixes.
PrefixFollowerHooks DispatchByPrefix(std::vector<PrefixHandler> handlers);

// Not thread-safe: runs on the event loop.
class PrefixFollower {
 public:
  PrefixFollower(connection::event::asio::io_context& loop,
                 ChangeSource& source,
                 PrefixFollowerOptions options,
                 PrefixFollowerHooks hooks,
                 base::Clock clock,
                 base::RandomSource random,
                 base::Metrics& metrics);
  PrefixFollower(const PrefixFollower&) = delete;
  PrefixFollower& operator=(const PrefixFollower&) = delete;

  // Runs until the loop ends. The follower must outlive it.
  connection::event::Awaitable<void> Run();

  // Time since the store was read, by this instance or for it; empty before the
  // first listing.
  std::optional<base::Duration> Age() const;

 private:
  // Lists the prefix; returns false if the store failed.
  connection::event::Awaitable<bool> List();
  // Watches until a call fails; returns why.
  connection::event::Awaitable<StoreFault> Watch();
  // Long-poll wait of a watch that is sent now.
  base::Duration WatchTimeout() const;
  connection::event::Awaitable<void> BackOff();
  void RecordFault(const char* call, StoreFault fault);

  connection::event::asio::io_context& loop_;
  ChangeSource& source_;
  const PrefixFollowerOptions options_;
  const PrefixFollowerHooks hooks_;
  const base::Clock clock_;
  const base::RandomSource random_;
  base::Metrics& metrics_;
  // A call has failed in a way that a closed watch connection does not explain.
  bool unavailable_ = false;
  int consecutive_failures_ = 0;
  bool watched_ = false;
  base::Revision revision_;
  std::optional<base::Time> last_response_;
};

}  // namespace lynxglade::process::store

#endif  // LYNXGLADE_PROCESS_STORE_PREFIX_FOLLOWER_H_
