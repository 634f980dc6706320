// Client of the platform's key-value service (etcd v3 JSON gateway).
//
// HTTP calls go through KvTransport, so tests can replace it with an in-memory
// implementation.
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

// Why a call failed.
enum class KvError {
  kNone,
  // The call did not reach the service, or was a read without an answer:
  // nothing was changed.
  kUnreachable,
  // The service rejected the call because of a rate limit; nothing was changed.
  kRateLimited,
  // A write was sent and got no usable answer: it may have taken effect.
  kAmbiguous,
  // The answer is an error or cannot be parsed.
  kBadAnswer,
};
std::string_view ToString(KvError error) noexcept;

using KvLeaseId = base::StrongNumber<struct KvLeaseIdTag, std::int64_t>;

struct KvEntry {
  std::string key;
  std::string value;
  base::Revision create_revision;
  base::Revision mod_revision;
  KvLeaseId lease;
};

struct KvRange {
  std::vector<KvEntry> entries;
  // Revision of the store at the time of the read.
  base::Revision revision;
};

// One write of a transaction.
struct KvWrite {
  std::string key;
  // nullopt deletes the key.
  std::optional<std::string> value;
  KvLeaseId lease;
};

// Precondition of a transaction: the key has this modification revision, or
// does not exist if the revision is 0.
struct KvGuard {
  std::string key;
  base::Revision mod_revision;
};

struct KvTxnResult {
  // False if a guard did not hold; nothing was written then.
  bool committed = false;
  base::Revision revision;
  // Current entries of the guarded keys; empty if committed.
  std::vector<KvEntry> found;
};

// One change seen by a watch.
struct KvEvent {
  KvEntry entry;
  bool deleted = false;
};

// One HTTP call. If `on_chunk` is set, it receives the answer's body in pieces.
struct KvCall {
  std::string path;
  std::string body;
  base::Duration timeout{};
  // Returns false to end the streamed answer.
  std::function<bool(std::string_view)> on_chunk;
  // Ends a streamed answer from another thread, if the transport supports it.
  std::stop_token stop;
};
struct KvAnswer {
  int status = 0;
  std::string body;
};
// Executes one call. On failure returns nullopt and sets `error` to kAmbiguous
// if the call may have reached the service, else to kUnreachable.
using KvTransport =
    std::function<std::optional<KvAnswer>(const KvCall&, KvError* error)>;

// A watch ends if the service sends nothing for this long.
inline constexpr base::Duration kWatchIdleTimeout = std::chrono::seconds(30);

// Thread-safe if its transport is. Methods other than Watch() block for at most
// about `timeout`; do not call them from an actor or while holding a lock.
class KeyValue {
 public:
  KeyValue(KvTransport transport, base::Duration timeout);

  // Reads one key. A missing key gives a range without entries, not an error.
  std::optional<KvRange> Get(const std::string& key, KvError* last_error) const;
  // Reads the keys that start with `prefix`, at most `limit` (0: all).
  std::optional<KvRange> List(const std::string& prefix,
                              std::int64_t limit,
                              KvError* last_error) const;
  // Applies all writes atomically if all guards hold. After kAmbiguous, read
  // the keys back to find out whether the writes took effect before retrying.
  std::optional<KvTxnResult> Commit(const std::vector<KvGuard>& guards,
                                    const std::vector<KvWrite>& writes,
                                    KvError* last_error) const;

  std::optional<KvLeaseId> GrantLease(base::Duration ttl,
                                      KvError* last_error) const;
  // Returns the remaining TTL; zero if the lease has expired.
  std::optional<base::Duration> KeepAlive(KvLeaseId lease,
                                          KvError* last_error) const;
  bool RevokeLease(KvLeaseId lease, KvError* last_error) const;

  // Blocks and passes changes of keys under `prefix`, from revision `from` on,
  // to `on_events` until that returns false, `stop` is requested, the stream
  // breaks or the service sends nothing for kWatchIdleTimeout. `on_events` is
  // also called without events when the service reports progress. Returns kNone
  // if `on_events` or `stop` ended the watch, else the error.
  KvError Watch(const std::string& prefix,
                base::Revision from,
                const std::function<bool(const std::vector<KvEvent>&,
                                         base::Revision)>& on_events,
                std::stop_token stop = {}) const;

 private:
  KvTransport transport_;
  base::Duration timeout_;
};

// Makes a transport to "http://address:port" that keeps idle connections for
// reuse. Calls `on_call`, which may be empty, with the path of each call.
KvTransport MakeHttpKvTransport(
    const std::string& base_url,
    std::function<void(std::string_view path)> on_call);

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_KEY_VALUE_H_
