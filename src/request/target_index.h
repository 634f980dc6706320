// A target table arranged for routing: built once per table, read by every
// request.
//
// Holds, per service, model and version, the serving targets of each role,
// split by zone. Targets that do not serve (draining, leaving, changing,
// ejected by state) are counted but never listed, so that nothing that picks
// from an index can give them new work.
#ifndef LYNXGLADE_REQUEST_TARGET_INDEX_H_
#define LYNXGLADE_REQUEST_TARGET_INDEX_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "request/target.h"

namespace lynxglade::request {

// A serving target with what routing computes once.
struct IndexedTarget {
  const Target* target = nullptr;
  // Hash of the target's id.
  std::uint64_t id_hash = 0;
  // Reported work ahead, in seconds at the target's own rates; for a target
  // that reports no rates, its requests times the unit time.
  double reported_seconds = 0;
};

// Serving targets of one role: all, with each zone's adjacent.
struct TargetPool {
  struct ZoneRange {
    base::ZoneId zone;
    std::size_t begin = 0;
    std::size_t end = 0;
  };
  std::vector<IndexedTarget> members;
  std::vector<ZoneRange> zones;
  // Mean reported work ahead; what an old report is drawn towards.
  double mean_seconds = 0;
  // Seconds a request takes at a target that reports no rates.
  double seconds_per_request = 0;

  bool empty() const noexcept { return members.empty(); }
  // The zone's members, an empty range when it has none.
  ZoneRange FindZone(const base::ZoneId& zone) const noexcept;
};

// Everything that serves one (service, model, version).
struct TargetGroup {
  base::ServiceName service;
  base::ModelName model;
  base::ModelVersion version;  // empty: any
  // By EngineRole.
  std::array<TargetPool, 4> pools;
  // Targets of the group in any state.
  std::size_t known = 0;

  const TargetPool& Pool(EngineRole role) const noexcept {
    return pools[static_cast<std::size_t>(role)];
  }
  std::size_t serving() const noexcept;
};

struct TargetIndexOptions {
  // Time a request takes at a target that reports no rates.
  base::Duration time_per_request = std::chrono::milliseconds(50);
};

// Immutable after construction; thread-safe. Keeps its table alive.
class TargetIndex {
 public:
  // An index of nothing.
  TargetIndex();
  explicit TargetIndex(std::shared_ptr<const TargetTable> table,
                       TargetIndexOptions options = {});
  TargetIndex(TargetIndex&&) noexcept = default;
  TargetIndex& operator=(TargetIndex&&) noexcept = default;
  TargetIndex(const TargetIndex&) = delete;
  TargetIndex& operator=(const TargetIndex&) = delete;

  // Null when no target of that kind is known. An empty version means any;
  // an empty model is a plain service's.
  const TargetGroup* Find(const base::ServiceName& service,
                          const base::ModelName& model,
                          const base::ModelVersion& version) const noexcept;
  // Whether any target of the service is known, in whatever state.
  bool HasService(const base::ServiceName& service) const noexcept;

  const TargetTable& table() const noexcept { return *table_; }
  const TargetIndexOptions& options() const noexcept { return options_; }

 private:
  void Add(const Target& target, const base::ModelVersion& version);

  std::shared_ptr<const TargetTable> table_;
  TargetIndexOptions options_;
  // By hash of service, model and version; Find checks the names.
  std::unordered_map<std::uint64_t, TargetGroup> groups_;
  std::unordered_map<base::ServiceName, std::size_t> services_;
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_TARGET_INDEX_H_
