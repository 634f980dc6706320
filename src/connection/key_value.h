// The platform's key-value service, as the rest of the system sees it.
//
// KeyValue speaks the etcd v3 JSON gateway over a hook that carries one HTTP
// call, so tests run it against an in-memory stand-in without a socket.
#ifndef LYNXGLADE_CONNECTION_KEY_VALUE_H_
#define LYNXGLADE_CONNECTION_KEY_VALUE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <stop_token>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "base/units.h"

namespace lynxglade::connection {

// Why a call gave no result.
enum class KvError {
  kNone,
  // The call never reached the service: nothing was changed.
  kUnreachable,
  // The service answered that it takes no more calls now; nothing changed.
  kRateLimited,
  // The call was sent and its answer lost: a write may have taken effect.
  kAmbiguous,
  // The service answered with something this client does not understand.
  kBadAnswer,
};
std::string_view ToString(KvError error) noexcept;

using KvLeaseId = base::StrongNumber<struct KvLeaseIdTag, std::int64_t>;

// One key with its value, as stored.
struct KvEntry {
  std::string key;
  std::string value;
  base::Revision create_revision;
  base::Revision mod_revision;
  KvLeaseId lease;
};

struct KvRange {
  std::vector<KvEntry> entries;
  // Revision of the whole service at which the answer holds.
  base::Revision revision;
};

// Writes that happen together or not at all.
struct KvWrite {
  std::string key;
  // No value deletes the key.
  std::optional<std::string> value;
  KvLeaseId lease;
};

// The key's modification revision must be this; revision 0 means the key must
// not exist.
struct KvGuard {
  std::string key;
  base::Revision mod_revision;
};

struct KvTxnResult {
  // False when a guard did not hold: nothing was written.
  bool committed = false;
  base::Revision revision;
  // The guarded keys as found; only filled when not committed.
  std::vector<KvEntry> found;
};

// One change seen by a watch.
struct KvEvent {
  KvEntry entry;
  bool deleted = false;
};

// One HTTP call. A body given back piecewise goes to `on_chunk` when set.
struct KvCall {
  std::string path;
  std::string body;
  base::Duration timeout{};
  // Returns false to end a streamed answer.
  std::function<bool(std::string_view)> on_chunk;
  // Ends a streamed answer from another thread, where the transport can.
  std::stop_token stop;
};
struct KvAnswer {
  int status = 0;
  std::string body;
};
// Carries one call. On failure returns nothing and says in `error` whether the
// call can have reached the service (kAmbiguous) or not (kUnreachable).
using KvTransport =
    std::function<std::optional<KvAnswer>(const KvCall&, KvError* error)>;

// Longest silence that a watch takes for a live connection.
inline constexpr base::Duration kWatchSilence = std::chrono::seconds(30);

// A client of the service. Thread-safe when its transport is; every method
// blocks for at most `timeout` and is never called from an actor or while a
// lock is held.
class KeyValue {
 public:
  KeyValue(KvTransport transport, base::Duration timeout);

  // Reads one key; an absent key is an entry-less range, not an error.
  std::optional<KvRange> Get(const std::string& key, KvError* last_error) const;
  // Reads all keys that start with `prefix`, at most `limit` (0: all).
  std::optional<KvRange> List(const std::string& prefix,
                              std::int64_t limit,
                              KvError* last_error) const;
  // Compare-and-swap. After kAmbiguous the caller reads back and looks for
  // its own mark in the value; it must not resend blindly.
  std::optional<KvTxnResult> Commit(const std::vector<KvGuard>& guards,
                                    const std::vector<KvWrite>& writes,
                                    KvError* last_error) const;

  std::optional<KvLeaseId> GrantLease(base::Duration ttl,
                                      KvError* last_error) const;
  // Returns the time to live that is left; zero when the lease is gone.
  std::optional<base::Duration> KeepAlive(KvLeaseId lease,
                                          KvError* last_error) const;
  bool RevokeLease(KvLeaseId lease, KvError* last_error) const;

  // Blocks and hands over changes of keys under `prefix` from `from` on until
  // `on_events` returns false or the stream breaks. `on_events` is also called
  // with no events when the service reports progress. Returns the error that
  // ended it (kNone when `on_events` or `stop` did). A service that says
  // nothing for kWatchSilence ends the watch too; the caller opens it again.
  KvError Watch(const std::string& prefix,
                base::Revision from,
                const std::function<bool(const std::vector<KvEvent>&,
                                         base::Revision)>& on_events,
                std::stop_token stop = {}) const;

 private:
  KvTransport transport_;
  base::Duration timeout_;
};

// A transport over cpp-httplib to "http://address:port", with a pool of kept
// connections. Counts calls through `on_call` (path), which may be empty.
KvTransport MakeHttpKvTransport(
    const std::string& base_url,
    std::function<void(std::string_view path)> on_call);

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_KEY_VALUE_H_
