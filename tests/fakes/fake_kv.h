// A fake key-value service without sockets: rate limits, faults and watches on
// top of a KvStore.
//
// Used in process as a connection::KvTransport and behind the listener of
// fake_platform.
#ifndef LYNXGLADE_FAKES_FAKE_KV_H_
#define LYNXGLADE_FAKES_FAKE_KV_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include <nlohmann/json.hpp>

#include "base/random.h"
#include "base/time.h"
#include "connection/key_value.h"
#include "fakes/fault_switches.h"
#include "fakes/kv_gateway.h"
#include "fakes/kv_store.h"
#include "fakes/token_bucket.h"

namespace lynxglade::fakes {

// Rate limits in calls per second; 0: unlimited.
struct KvLimits {
  double writes_per_s = 0;
  double reads_per_s = 0;
  // Maximum time without a line on a watch that requested progress.
  base::Duration progress_interval = std::chrono::seconds(5);
};

// One open watch. Used by one thread.
struct KvWatch {
  KvWatchRequest request;
  // The first revision that has not been delivered yet.
  base::Revision next;
  base::Time last_line{};
  std::int64_t epoch = 0;
  bool created = false;
};

// Outcome of a call.
enum class KvOutcome {
  kAnswered,
  // The call did not arrive: its caller, or all callers, are cut off.
  kUnreachable,
  // The call or its response was lost.
  kLost,
};

// Thread-safe.
class FakeKv {
 public:
  explicit FakeKv(base::Clock clock,
                  KvLimits limits = {},
                  base::RandomSource random = base::SystemRandom());
  FakeKv(const FakeKv&) = delete;
  FakeKv& operator=(const FakeKv&) = delete;

  // Runs one call of `source` (any name; "" for none). Returns nullopt when
  // `outcome` is not kAnswered.
  std::optional<connection::KvAnswer> Handle(const connection::KvCall& call,
                                             const std::string& source,
                                             KvOutcome* outcome);

  // Starts a watch, or returns nullopt and sets `refusal` to the error
  // response.
  std::optional<KvWatch> OpenWatch(const std::string& body,
                                   connection::KvAnswer* refusal);
  void CloseWatch();
  // Returns the next line, an empty string when none arrives within `wait`, or
  // nullopt when the watch has ended.
  std::optional<std::string> NextLine(KvWatch& watch, base::Duration wait);

  // Switches with a count n apply to the next n calls, or until cleared for -1:
  // "lose_answer" (writes take effect, responses are lost), "lose_request"
  // (calls are lost before they run), "unreachable", "unavailable" (503).
  // "lose_nth" n loses the response to the n-th write from now,
  // "lose_probability" p the responses to a fraction p of the writes. "cut" and
  // "restore" take a source; "save_copy" and "load_copy" back up and restore
  // the store.
  void ApplyFaults(const nlohmann::json& switches);
  void Cut(const std::string& source);
  void Restore(const std::string& source);
  bool IsCut(const std::string& source) const;

  // Calls by path, rate-limited calls, lost calls and open watches.
  nlohmann::json StatsJson() const;
  base::Revision revision() const;

 private:
  std::optional<connection::KvAnswer> Run(const std::string& path,
                                          const std::string& body,
                                          KvOutcome* outcome);
  bool IsRateLimited(KvCallKind kind, base::Time now);
  bool TakeLostAnswer();
  void ExpireLeases(base::Time now);
  std::string EventsFor(KvWatch& watch) const;

  const base::Clock clock_;
  const KvLimits limits_;
  const base::RandomSource random_;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  KvStore store_;
  KvStore copy_;
  TokenBucket writes_;
  TokenBucket reads_;
  FaultSwitches faults_;
  std::set<std::string> cut_;
  // Incremented when a saved copy is restored.
  std::int64_t epoch_ = 0;
  std::map<std::string, std::int64_t> calls_;
  std::int64_t limited_ = 0;
  std::int64_t lost_ = 0;
  std::int64_t watches_ = 0;
};

// A transport backed by `kv`, which must outlive it. A cut or unreachable call
// fails with kUnreachable, a lost one with kAmbiguous. A watch blocks the
// calling thread.
connection::KvTransport MakeInProcessTransport(FakeKv& kv,
                                               std::string source = "");

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_FAKE_KV_H_
