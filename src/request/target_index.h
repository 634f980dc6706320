// An index of a target table for routing: built once per table, read by every
// request.
//
// Holds, per service, model and version, the serving targets of each role,
// grouped by zone. Targets in other states (draining, leaving, changing,
// ejected) are counted but not listed, so that no new work is routed to them.
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

// A serving target with values precomputed for routing.
struct IndexedTarget {
  const Target* target = nullptr;
  // Hash of the target's id.
  std::uint64_t id_hash = 0;
  // Reported backlog in seconds: its tokens at the target's reported rates, or
  // its requests times time_per_request if the target reports no rates.
  double reported_seconds = 0;
};

// Serving targets of one role, sorted by zone and id hash.
struct TargetPool {
  struct ZoneRange {
    base::ZoneId zone;
    std::size_t begin = 0;
    std::size_t end = 0;
  };
  std::vector<IndexedTarget> members;
  std::vector<ZoneRange> zones;
  // Mean reported backlog, towards which an old report decays.
  double mean_seconds = 0;
  // Run time assumed for a request at a target that reports no rates.
  double seconds_per_request = 0;

  bool empty() const noexcept { return members.empty(); }
  // The zone's members; an empty range if it has none.
  ZoneRange FindZone(const base::ZoneId& zone) const noexcept;
};

// The targets of one (service, model, version).
struct TargetGroup {
  base::ServiceName service;
  base::ModelName model;
  base::ModelVersion version;  // empty: any
  // Indexed by EngineRole.
  std::array<TargetPool, 4> pools;
  // Targets of the group in any state.
  std::size_t known = 0;

  const TargetPool& Pool(EngineRole role) const noexcept {
    return pools[static_cast<std::size_t>(role)];
  }
  std::size_t serving() const noexcept;
};

struct TargetIndexOptions {
  // Run time assumed for a request at a target that reports no rates.
  base::Duration time_per_request = std::chrono::milliseconds(50);
};

// Immutable, hence thread-safe. Shares ownership of its table.
class TargetIndex {
 public:
  // An empty index.
  TargetIndex();
  explicit TargetIndex(std::shared_ptr<const TargetTable> table,
                       TargetIndexOptions options = {});
  TargetIndex(TargetIndex&&) noexcept = default;
  TargetIndex& operator=(TargetIndex&&) noexcept = default;
  TargetIndex(const TargetIndex&) = delete;
  TargetIndex& operator=(const TargetIndex&) = delete;

  // Null if no such target is known. An empty version matches any; `model` is
  // empty for plain services.
  const TargetGroup* Find(const base::ServiceName& service,
                          const base::ModelName& model,
                          const base::ModelVersion& version) const noexcept;
  // Whether any target of the service is known, in any state.
  bool HasService(const base::ServiceName& service) const noexcept;

  const TargetTable& table() const noexcept { return *table_; }
  const TargetIndexOptions& options() const noexcept { return options_; }

 private:
  void Add(const Target& target, const base::ModelVersion& version);

  std::shared_ptr<const TargetTable> table_;
  TargetIndexOptions options_;
  // Keyed by the hash of service, model and version, with linear probing on
  // collisions.
  std::unordered_map<std::uint64_t, TargetGroup> groups_;
  std::unordered_map<base::ServiceName, std::size_t> services_;
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_TARGET_INDEX_H_
