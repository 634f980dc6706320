// Brings accepted configurations from the key-value service to the tracker.
//
// Two threads: one reads the head now and then and whenever the tracker has
// heard of something newer; the other holds a watch open, on the few instances
// of a zone that `should_watch` picks. The rest hear from peers, and their
// slower reads catch what was missed.
#ifndef LYNXGLADE_VERSION_CONFIG_WATCHER_H_
#define LYNXGLADE_VERSION_CONFIG_WATCHER_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <stop_token>
#include <string>
#include <thread>
#include <vector>

#include "base/metrics.h"
#include "base/random.h"
#include "base/time.h"
#include "connection/key_value.h"
#include "version/config_store.h"
#include "version/config_tracker.h"

namespace lynxglade::version {

struct ConfigWatcherOptions {
  // Time between two reads of the head by an instance that watches, by one
  // that does not, and by one that is behind or not ready.
  base::Duration watcher_period = std::chrono::seconds(1);
  base::Duration other_period = std::chrono::seconds(10);
  base::Duration behind_period = std::chrono::milliseconds(200);
  // Pause before a broken watch is opened again.
  base::Duration rewatch_pause = std::chrono::milliseconds(200);
};

struct ConfigWatcherHooks {
  // Whether this instance is one of its zone's watchers now; must not block.
  std::function<bool()> should_watch;
  // A whole configuration from a peer, as EncodeHeld() bytes; asked for when
  // the service cannot be read and this instance is not ready or behind. May
  // block; may be empty.
  std::function<std::optional<std::string>()> fetch_from_peer;
  // Thread-safe; spreads the reads of many instances.
  base::RandomSource random;
};

// One step of reading; the logic of the reader thread, without the thread.
// Brings the tracker up to the service's head. Returns whether the service
// could be read.
bool RefreshConfig(const ConfigStore& store,
                   ConfigTracker* tracker,
                   StoreError* last_error);

class ConfigWatcher {
 public:
  // All references must outlive this object.
  ConfigWatcher(const connection::KeyValue& service,
                const ConfigStore& store,
                ConfigTracker& tracker,
                ConfigWatcherHooks hooks,
                base::Metrics& metrics,
                ConfigWatcherOptions options = {});
  // Stops and joins both threads.
  ~ConfigWatcher();
  ConfigWatcher(const ConfigWatcher&) = delete;
  ConfigWatcher& operator=(const ConfigWatcher&) = delete;

  void Start();
  // Makes the reader read now, such as after a peer told of a newer head.
  // Thread-safe; does not block.
  void Nudge();

 private:
  void ReadLoop(const std::stop_token& stop);
  void WatchLoop(const std::stop_token& stop);
  void ReadOnce();
  void AskPeer();
  base::Duration NextPeriod() const;
  // Hands a watch's events to the tracker; false when a read is needed.
  bool Take(const std::vector<connection::KvEvent>& events);
  // Waits; woken by Nudge() (reader only) and by stop.
  void Sleep(const std::stop_token& stop, base::Duration time, bool nudgeable);

  const connection::KeyValue& service_;
  const ConfigStore& store_;
  ConfigTracker& tracker_;
  const ConfigWatcherHooks hooks_;
  base::Metrics& metrics_;
  const ConfigWatcherOptions options_;

  std::mutex mutex_;
  std::condition_variable_any wake_;
  bool nudged_ = false;
  // Last, so that they are joined before what they use goes.
  std::jthread reader_;
  std::jthread watcher_;
};

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_CONFIG_WATCHER_H_
