// The stand-in key-value service without its sockets: rate limits, faults and
// watches over a KvStore.
//
// Runs in process as a connection::KvTransport, or behind fake_platform's
// listener; both use this class.
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

// Calls a second; 0 means no limit.
struct KvLimits {
  double writes_per_s = 0;
  double reads_per_s = 0;
  // Longest silence of a watch that asked for progress.
  base::Duration progress_interval = std::chrono::seconds(5);
};

// One watch under way. Belongs to one thread.
struct KvWatch {
  KvWatchRequest request;
  // First revision that was not handed over yet.
  base::Revision next;
  base::Time last_line{};
  std::int64_t epoch = 0;
  bool created = false;
};

// What became of a call.
enum class KvFate {
  kAnswered,
  // The caller is cut off, or all calls are: nothing arrived.
  kUnreachable,
  // The call, or its answer, was lost on the way.
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

  // Runs one call of `source` (any name; "" for none). Nothing when the fate
  // is not kAnswered.
  std::optional<connection::KvAnswer> Handle(const connection::KvCall& call,
                                             const std::string& source,
                                             KvFate* fate);

  // Starts a watch; nothing, with the answer to give, when it is refused.
  std::optional<KvWatch> OpenWatch(const std::string& body,
                                   connection::KvAnswer* refusal);
  void CloseWatch();
  // The next line; empty after `wait` without one; nothing when the watch has
  // ended.
  std::optional<std::string> NextLine(KvWatch& watch, base::Duration wait);

  // Counts n mean the next n calls, -1 until cleared: "lose_answer" (writes
  // take effect, answers are lost), "lose_request" (neither), "unreachable",
  // "unavailable" (503). "lose_nth" n loses the answer of the n-th write from
  // now, "lose_probability" p that of a part. "cut" and "restore" take a
  // source; "save_copy" and "load_copy" back up and go back.
  void ApplyFaults(const nlohmann::json& switches);
  void Cut(const std::string& source);
  void Restore(const std::string& source);
  bool IsCut(const std::string& source) const;

  // Calls by path, refusals, losses and open watches.
  nlohmann::json StatsJson() const;
  base::Revision revision() const;

 private:
  std::optional<connection::KvAnswer> Run(const std::string& path,
                                          const std::string& body,
                                          KvFate* fate);
  bool Limited(KvCallKind kind, base::Time now);
  bool LosesAnswer();
  void Settle(base::Time now);
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
  // Counts how often an older copy was loaded.
  std::int64_t epoch_ = 0;
  std::map<std::string, std::int64_t> calls_;
  std::int64_t limited_ = 0;
  std::int64_t lost_ = 0;
  std::int64_t watches_ = 0;
};

// A transport that ends in `kv`, which must outlive it. A cut or unreachable
// call gives kUnreachable, a lost one kAmbiguous. A watch blocks its thread.
connection::KvTransport MakeInProcessTransport(FakeKv& kv,
                                               std::string source = "");

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_FAKE_KV_H_
