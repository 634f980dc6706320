// Delivers accepted configurations from the key-value service to the tracker.
//
// A reader thread reads the head periodically and when triggered. A watcher
// thread keeps a watch open on the few instances of a zone that `should_watch`
// selects. The other instances receive changes from peers; their slower
// periodic reads catch missed ones.
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
  // Interval between reads of the head on an instance that watches, on one that
  // does not, and on one that is behind or not ready. A random jitter is added.
  base::Duration watcher_period = std::chrono::seconds(1);
  base::Duration other_period = std::chrono::seconds(10);
  base::Duration behind_period = std::chrono::milliseconds(200);
  // Delay before an ended watch is opened again.
  base::Duration rewatch_delay = std::chrono::milliseconds(200);
};

struct ConfigWatcherHooks {
  // Whether this instance should watch the service now; must not block.
  std::function<bool()> should_watch;
  // Fetches a full configuration from a peer as EncodeSnapshot() bytes. Called
  // when the service cannot be read while this instance is not ready or is
  // behind. May block; may be empty.
  std::function<std::optional<std::string>()> fetch_from_peer;
  // Thread-safe; source of the jitter of read intervals.
  base::RandomSource random;
};

// Reads the service's head and brings the tracker up to it. Returns false when
// the head, the snapshot or the deltas could not be read, or a delta did not
// apply.
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
  // Triggers an immediate read of the head. Thread-safe; does not block.
  void TriggerRead();

 private:
  void ReadLoop(const std::stop_token& stop);
  void WatchLoop(const std::stop_token& stop);
  void ReadOnce();
  void FetchFromPeer();
  base::Duration NextPeriod() const;
  // Passes watch events to the tracker; returns false when a read is needed.
  bool HandleEvents(const std::vector<connection::KvEvent>& events);
  // Waits for `time` or until stopped; TriggerRead() ends the wait if
  // `nudgeable`.
  void Wait(const std::stop_token& stop, base::Duration time, bool triggerable);

  const connection::KeyValue& service_;
  const ConfigStore& store_;
  ConfigTracker& tracker_;
  const ConfigWatcherHooks hooks_;
  base::Metrics& metrics_;
  const ConfigWatcherOptions options_;

  std::mutex mutex_;
  std::condition_variable_any wake_;
  bool read_triggered_ = false;
  // Last, so that the threads are joined before other members are destroyed.
  std::jthread reader_;
  std::jthread watcher_;
};

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_CONFIG_WATCHER_H_
