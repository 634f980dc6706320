// Which targets this instance reaches itself, and which only other instances
// reach.
//
// A connection of its own that fails says little: the target may be down for
// all. Only where another instance reaches the target at the same time is the
// own way to blame. Two such targets of a service in an availability zone make
// all of them suspect, since what is cut is most often a path and not a single
// target. An observation counts for a bounded time; while requests use it,
// probes of this instance's own renew or refute it.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_TARGET_PATHS_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_TARGET_PATHS_H_

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "request/passthrough/engine_table.h"

namespace lynxglade::request::passthrough {

// How connections to a target are made.
enum class TargetPath {
  kOwn,
  // Through another instance.
  kThroughOthers,
  // Neither this instance nor those that it asked reach it.
  kNone,
};
std::string_view ToString(TargetPath path) noexcept;

// Targets of one service in one zone, which are most often reached or not
// reached together.
struct TargetGroup {
  base::ServiceName service;
  base::ZoneId zone;

  friend auto operator<=>(const TargetGroup&, const TargetGroup&) = default;
};
inline TargetGroup GroupOf(const EngineEntry& target) {
  return {target.service, target.zone};
}

struct TargetPathsOptions {
  // Targets of a service in a zone that only others reach, after which the same
  // is assumed of all there.
  std::size_t min_targets = 2;
  // How long an observation counts.
  base::Duration ttl = std::chrono::milliseconds(3000);
  // Between probes of the same target, and of the targets of a group that only
  // others reach, one of which stands for all.
  base::Duration probe_interval = std::chrono::milliseconds(500);
  // Observations that no request has used for this long are not renewed.
  base::Duration max_unused = std::chrono::milliseconds(3000);
};

// Not thread-safe: used on the event loop only.
class TargetPaths {
 public:
  explicit TargetPaths(TargetPathsOptions options = {});
  TargetPaths(const TargetPaths&) = delete;
  TargetPaths& operator=(const TargetPaths&) = delete;

  // A connection of this instance's own was made.
  void OnOwnConnection(const EngineEntry& target);
  // One that was begun at `began` failed. `others_reach`: another instance
  // reached the target; otherwise those that were asked did not.
  void OnOwnFailure(const EngineEntry& target,
                    bool others_reach,
                    base::Time began,
                    base::Time now);

  // How to connect to the target, for a request.
  TargetPath Use(const EngineEntry& target, base::Time now);
  TargetPath PathTo(const EngineEntry& target, base::Time now) const;
  // Since when connections of its own to the target, or to targets like it,
  // have failed while others reach it. Those that were last used before may be
  // dead.
  std::optional<base::Time> CutSince(const EngineEntry& target,
                                     base::Time now) const;
  // Targets to connect to now, to renew the observations that are in use; each
  // counts as probed.
  std::vector<base::TargetId> TakeProbes(base::Time now);

  bool empty() const noexcept { return groups_.empty(); }
  // Number of targets observed to be reached by others only.
  std::size_t CountThroughOthers(base::Time now) const;

 private:
  struct Observation {
    TargetPath path = TargetPath::kOwn;
    base::Time since{};
    base::Time seen_at{};
    base::Time probed_at{};
  };
  struct Group {
    std::map<base::TargetId, Observation> targets;
    base::Time used_at{};
    base::Time probed_at{};
  };

  bool IsFresh(const Observation& it, base::Time now) const noexcept {
    return now - it.seen_at < options_.ttl;
  }
  std::size_t CountThroughOthers(const Group& group, base::Time now) const;
  void AddProbes(Group& group,
                 base::Time now,
                 std::vector<base::TargetId>& probes) const;

  const TargetPathsOptions options_;
  std::map<TargetGroup, Group> groups_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_TARGET_PATHS_H_
