// Follows all keys under a prefix of the store: lists, then watches, and lists
// again when the watch breaks or its history is gone.
#ifndef LYNXGLADE_PROCESS_PREFIX_FOLLOWER_H_
#define LYNXGLADE_PROCESS_PREFIX_FOLLOWER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "base/random.h"
#include "base/time.h"
#include "process/store_port.h"

namespace lynxglade::process {

struct PrefixFollowerOptions {
  std::string prefix;
  // A watch that hears nothing returns after this; a silent connection is
  // noticed a little later. Each return is a call that counts.
  base::Duration watch_timeout = std::chrono::milliseconds(3000);
  // After changes, before the next watch: what changes meanwhile comes in one
  // answer. When many targets change at once this is most of what all
  // instances ask of the store. Must be set.
  std::function<base::Duration()> batch_delay;
  // Between tries while the store fails: from the first to the second, with
  // up to as much again at random, so that instances do not return together.
  // An instance that was cut off has to know what changed within three seconds
  // of the cut's end, two of which it waits for entries that lapsed.
  base::Duration min_retry_delay = std::chrono::milliseconds(100);
  base::Duration max_retry_delay = std::chrono::milliseconds(250);
};

struct PrefixFollowerHooks {
  // The whole list.
  std::function<void(const std::vector<StoreItem>&)> on_list;
  // One change, in order.
  std::function<void(const StoreItem&)> on_change;
  // The store answers after it was away (not after a watch that was merely
  // cut); called before on_list.
  std::function<void()> on_recovered;
};

// Hooks for a part of the keys that a follower follows.
struct PrefixHandler {
  std::string prefix;
  PrefixFollowerHooks hooks;
};

// Gives each part the keys under its prefix and leaves out all others. One
// follower for several prefixes makes one call where several would make one
// each.
PrefixFollowerHooks DispatchByPrefix(std::vector<PrefixHandler> handlers);

// Not thread-safe: lives on the event loop.
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

  // Since the store was last heard; nothing before the first list.
  std::optional<base::Duration> Age() const;

 private:
  // Lists; false if the store failed.
  connection::event::Awaitable<bool> List();
  // Watches until something breaks.
  connection::event::Awaitable<void> Watch();
  connection::event::Awaitable<void> BackOff();
  void RecordFault(const char* call, StoreFault fault);

  connection::event::asio::io_context& loop_;
  ChangeSource& source_;
  const PrefixFollowerOptions options_;
  const PrefixFollowerHooks hooks_;
  const base::Clock clock_;
  const base::RandomSource random_;
  base::Metrics& metrics_;
  // The store has failed in a way that a cut watch alone does not explain.
  bool unavailable_ = false;
  int consecutive_failures_ = 0;
  base::Revision revision_;
  std::optional<base::Time> last_response_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_PREFIX_FOLLOWER_H_
