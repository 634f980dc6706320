// The targets this instance knows, and what it has seen of their load.
//
// Entries come from the platform's store. An entry that vanishes is gone at
// once, but for the first seconds after the store was away: targets whose
// entries lapsed meanwhile register again in that time.
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
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "request/passthrough/engine_health.h"

namespace lynxglade::request::passthrough {

// What an engine does with a prompt. Plain targets have no stage: they run
// whatever they are sent, and are not given prompts where others have one.
enum class EngineStage { kPlain, kPrefill, kDecode };
std::string_view ToString(EngineStage stage) noexcept;

// A target as its entry in the store describes it.
struct EngineEntry {
  base::TargetId id;
  base::ServiceName service;
  // IP number and port.
  std::string ip;
  std::uint16_t port = 0;
  base::ZoneId zone;
  int slots = 1;
  EngineStage stage = EngineStage::kDecode;
  // It finishes what it has and takes nothing new.
  bool draining = false;
  // Nothing on platforms that do not tell. Another value, earlier or later, is
  // another life of the target: clocks step, so they are not compared.
  std::optional<base::BornMillis> born;

  friend bool operator==(const EngineEntry&, const EngineEntry&) = default;
};

// The load a target reports with an answer.
struct ReportedLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

// The prompts of one priority that this instance has an engine read.
struct PrefillQueue {
  std::int64_t prefill_tokens = 0;
  // When each read under way would end if nothing else were to be read first.
  std::multiset<base::Time> due;
  // How long the last read waited for others, and when it ended.
  base::Duration last_wait{};
  base::Time last_wait_at{};
};

// One target with this instance's own sends. Handles are shared: a request in
// flight keeps its target's state past the entry's end.
struct Engine {
  EngineEntry entry;
  // When it joined or last changed its stage, as seen here; long ago for what
  // was there when this instance began.
  base::Time stage_since{};
  // Requests of this instance at the target.
  int in_flight = 0;
  // By priority, 0 first: an engine reads the prompts of a more urgent request
  // before those of others.
  std::map<int, PrefillQueue> prefills;
  // The newest report, and how many requests were sent since.
  ReportedLoad reported;
  base::Time reported_at{};
  EngineHealth health;
  // Times that the entry has changed.
  int entry_changes = 0;
  // Until then nothing is sent there: a target at its address said that it is
  // another, or does not do this. Ends when the entry changes.
  base::Time misdirected_until{};
  // How long it takes to read against the other engines of its service, as
  // learnt by PrefillTimes.
  double slowness = 1;
  // The same of what it generates, as learnt by GenerationTimes.
  double generation_slowness = 1;
};
using EngineHandle = std::shared_ptr<Engine>;

// A target at the engine's address rejected a request as not meant for it,
// which was sent when the entry had changed `entry_changes` times. Whatever the
// address is now, each further request would count against its service's
// retries: where addresses were reused in a zone without the store, 315
// arrivals of another service came in ten seconds.
void MarkMisdirected(Engine& engine,
                     int entry_changes,
                     base::Time now) noexcept;

// Whether the engine's last report says something of its load now.
bool HasFreshReport(const Engine& engine, base::Time now) noexcept;

// Requests at the engine, by what it reported in the last second and what this
// instance has there.
int KnownLoad(const Engine& engine, base::Time now) noexcept;

// Requests that an engine is to have at most; a hook of those who spread work
// over engines.
using EngineCapacity =
    std::function<double(const Engine& engine, base::Time now)>;

// Not thread-safe: lives on the event loop.
class EngineTable {
 public:
  // `grace` is how long after the store's return a missing entry is kept.
  explicit EngineTable(base::Duration grace);
  EngineTable(const EngineTable&) = delete;
  EngineTable& operator=(const EngineTable&) = delete;

  // One entry was written. A target that was born again starts from nothing:
  // what was learnt of its life before stays with the old handle, which takes
  // no new requests.
  void Put(const EngineEntry& entry, base::Time now);
  // An entry vanished: dropped now, or at the end of the grace if the store
  // has only just come back.
  void Remove(const base::TargetId& id, base::Time now);
  // What lies under the target's key names no target to use. No grace: the key
  // is there, and its target would have written something else.
  void RemoveInvalid(const base::TargetId& id);
  // The store's whole list; what is not in it is treated as by Remove().
  void Replace(const std::vector<EngineEntry>& entries, base::Time now);
  // The store answers again after a failure.
  void OnStoreReturned(base::Time now) noexcept;
  // Drops the entries whose grace has ended. Call about every 200 ms.
  void Expire(base::Time now);

  // Null if unknown.
  EngineHandle Find(const base::TargetId& id) const;
  // Targets of a service, draining ones included, in order of their ids.
  const std::vector<EngineHandle>& OfService(
      const base::ServiceName& service) const;
  // Of all services.
  void ForEach(const std::function<void(const Engine&)>& visit) const;
  std::size_t size() const noexcept { return engines_.size(); }

 private:
  // The steps of Put() and Remove(); RebuildIndex() has to follow.
  void Upsert(const EngineEntry& entry, base::Time joined);
  void MarkMissing(const base::TargetId& id, base::Time now);
  void Drop(const base::TargetId& id);
  void RebuildIndex();

  const base::Duration grace_;
  base::Time store_returned_at_{};
  std::map<base::TargetId, EngineHandle> engines_;
  // Entries that vanished within the grace, and when they are dropped.
  std::map<base::TargetId, base::Time> missing_;
  std::map<base::ServiceName, std::vector<EngineHandle>> by_service_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_TABLE_H_
