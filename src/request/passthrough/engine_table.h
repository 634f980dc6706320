// The known targets, and what this instance has observed of their load.
//
// Entries come from the platform's store. An entry that disappears is dropped
// at once, except during a grace period after a store outage, in which targets
// whose entries expired register again.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_TABLE_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "request/passthrough/engine_health.h"
#include "request/passthrough/engine_limit.h"
#include "request/passthrough/engine_sampling.h"

namespace lynxglade::request::passthrough {

// What an engine does with a prompt. Plain targets have no stage: they run any
// request, but get no prompts where the service has staged engines.
enum class EngineStage { kPlain, kPrefill, kDecode };
std::string_view ToString(EngineStage stage) noexcept;

// A target as described by its entry in the store.
struct EngineEntry {
  base::TargetId id;
  base::ServiceName service;
  // IP address and port.
  std::string ip;
  std::uint16_t port = 0;
  base::ZoneId zone;
  int slots = 1;
  EngineStage stage = EngineStage::kDecode;
  // Finishes its requests and accepts no new ones.
  bool draining = false;
  // The platform may reclaim it at short notice.
  bool is_spot = false;
  // Identifies one lifetime of the target; nothing on platforms that do not
  // report it. Any other value, earlier or later, is another lifetime, as
  // clocks may be adjusted.
  std::optional<base::StartMillis> start_time;
  // The store's revision of the entry; 0 if unknown.
  base::Revision written;

  friend bool operator==(const EngineEntry&, const EngineEntry&) = default;
};

// Load that a target reports with an answer.
struct ReportedLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  // How long work takes at the moment of the report, as a percentage of the
  // usual; 100 for targets that do not state it.
  int work_time_percent = 100;
};

// Pending prefills of one priority that this instance sent to an engine.
struct PrefillQueue {
  std::int64_t prefill_tokens = 0;
  // When each pending prefill would end if it did not have to wait.
  std::multiset<base::Time> due;
  // How long the last prefill waited for others, and when it ended.
  base::Duration last_wait{};
  base::Time last_wait_at{};
};

// One target with this instance's requests and estimates. Handles are shared: a
// request in flight keeps its target's state after the entry is gone.
struct Engine {
  EngineEntry entry;
  // When it joined or last changed its stage, as seen by this instance; the
  // epoch for entries of the first list read.
  base::Time stage_since{};
  // Requests of this instance at the target.
  int in_flight = 0;
  // By priority, 0 first: an engine prefills more urgent prompts first.
  std::map<int, PrefillQueue> prefills;
  // The newest load report, and when it was received.
  ReportedLoad reported;
  base::Time reported_at{};
  EngineHealth health;
  // The request limit that it names, and what was sent to it.
  EngineLimit limit;
  // How often the entry has changed.
  int entry_changes = 0;
  // No request is sent before this time: the target at the address replied that
  // a request was not meant for it. Cleared when the entry changes.
  base::Time misdirected_until{};
  // The target at the address, if it named itself then: nothing is sent while
  // that one is listed.
  std::weak_ptr<Engine> refuted_by;
  // Of the targets listed at this one's address, the one with the next newer
  // entry.
  std::weak_ptr<Engine> successor;
  // Prefill time relative to the other engines of the service; set by
  // PrefillTimes.
  double slowness = 1;
  // The same for generation; set by GenerationTimes.
  double generation_slowness = 1;
};
using EngineHandle = std::shared_ptr<Engine>;

// The target at the engine's address rejected a request as not meant for it.
// `entry_changes`: of the entry when the request was sent; a newer entry is not
// affected. `holder`: the target that rejected it; null if it is not known.
// Excluding the engine guards against reused addresses during a store outage:
// every further request there would count against the retry budget of that
// target's service.
void MarkMisdirected(Engine& engine,
                     int entry_changes,
                     const EngineHandle& holder,
                     base::Time now) noexcept;

// Whether the engine is the target at its address, as far as is known. Two
// entries with one address are of one process after the other, so the newer one
// holds it, unless the process there denied that.
bool HoldsAddress(const Engine& engine, base::Time now) noexcept;

// Whether the engine's last load report is still valid.
bool HasFreshReport(const Engine& engine, base::Time now) noexcept;

// Whether all slots were taken, according to its last load report.
bool IsFull(const Engine& engine) noexcept;

// Requests at the engine: the larger of what it reported recently and what this
// instance has there.
int KnownLoad(const Engine& engine, base::Time now) noexcept;

// Hook: number of requests that an engine should have at most.
using EngineCapacity =
    std::function<double(const Engine& engine, base::Time now)>;

// Not thread-safe: used on the event loop only.
class EngineTable {
 public:
  // `grace`: how long after the end of a store outage missing entries are kept.
  explicit EngineTable(base::Duration grace);
  EngineTable(const EngineTable&) = delete;
  EngineTable& operator=(const EngineTable&) = delete;

  // Adds or updates an entry. A target of another lifetime gets a new handle
  // without any state; the old handle takes no new requests.
  void Put(const EngineEntry& entry, base::Time now);
  // Drops a target whose entry disappeared: now, or at the end of the grace
  // period after a store outage.
  void Remove(const base::TargetId& id, base::Time now);
  // Drops a target whose key holds no valid entry. Without grace, as the key
  // itself is present.
  void RemoveInvalid(const base::TargetId& id);
  // Replaces all entries; missing ones are treated as by Remove().
  void Replace(const std::vector<EngineEntry>& entries, base::Time now);
  // The store answers again after an outage.
  void OnStoreRecovered(base::Time now) noexcept;
  // Drops the entries whose grace period is over. To be called about every 200
  // ms.
  void Expire(base::Time now);

  // Sets the sample of the known targets that requests use.
  void UseLevels(SamplingLevels levels);

  // Null if unknown.
  EngineHandle Find(const base::TargetId& id) const;
  // The target at an address, of several the one with the newest entry; null if
  // there is none.
  EngineHandle FindByAddress(std::string_view ip, std::uint16_t port) const;
  // Targets of a service that requests use, ordered by id, draining ones
  // included.
  const std::vector<EngineHandle>& OfService(
      const base::ServiceName& service) const;
  // Whether the service has targets that requests do not use.
  bool HasSpare(const base::ServiceName& service) const;
  // All known targets of a service.
  std::vector<EngineHandle> AllOfService(
      const base::ServiceName& service) const;
  // All known targets.
  std::vector<EngineHandle> All() const;
  // Visits the targets of all services.
  void ForEach(const std::function<void(const Engine&)>& visit) const;
  std::size_t size() const noexcept { return engines_.size(); }
  // Number of targets that requests use.
  std::size_t used() const;

 private:
  // Steps of Put() and Remove(); the index is out of date after them.
  void Upsert(const EngineEntry& entry, base::Time joined);
  void MarkMissing(const base::TargetId& id, base::Time now);
  // Adds and removes a target at its address.
  void Link(const EngineHandle& engine);
  void Unlink(const EngineHandle& engine);
  void Drop(const base::TargetId& id);
  void RebuildIndex() const;

  const base::Duration grace_;
  base::Time store_recovered_at_{};
  std::map<base::TargetId, EngineHandle> engines_;
  // By IP address and port, those with older entries first.
  std::map<std::pair<std::string, std::uint16_t>, std::vector<EngineHandle>>
      by_address_;
  SamplingLevels levels_;
  // Entries that disappeared during the grace period, and when they are
  // dropped.
  std::map<base::TargetId, base::Time> missing_;
  // Rebuilt when it is used after a change.
  mutable std::map<base::ServiceName, std::vector<EngineHandle>> by_service_;
  mutable bool indexed_ = true;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_TABLE_H_
