// Selects which engines of a large fleet the instances use.
//
// The load needs a number of engines that does not grow with the fleet. Of each
// group (a service's targets in one zone) that is larger than needed only those
// targets are used whose hashed id is below a threshold, which halves with each
// level. Instances at the same level agree without an exchange; a lower level
// adds targets and removes none.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_SAMPLING_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_SAMPLING_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>

#include "base/ids.h"

namespace lynxglade::request::passthrough {

// The targets of one service in one zone.
struct EngineGroup {
  base::ServiceName service;
  base::ZoneId zone;

  auto operator<=>(const EngineGroup&) const = default;
};

// The level of each group; a group that is missing is at level 0 and used
// whole.
class SamplingLevels {
 public:
  SamplingLevels() = default;
  // Levels of 0 are dropped.
  explicit SamplingLevels(std::map<EngineGroup, int> levels);

  // Whether instances use the target.
  bool Contains(const EngineGroup& group, const base::TargetId& id) const;
  int Of(const EngineGroup& group) const;
  // Whether every target of `other` is in this sample, too.
  bool Covers(const SamplingLevels& other) const;
  // Equal for equal levels on all instances; 0 if all targets are used.
  std::uint64_t digest() const noexcept { return digest_; }
  const std::map<EngineGroup, int>& groups() const noexcept { return levels_; }

  friend bool operator==(const SamplingLevels&,
                         const SamplingLevels&) = default;

 private:
  std::map<EngineGroup, int> levels_;
  std::uint64_t digest_ = 0;
};

struct EngineSamplingOptions {
  // Least expected number of used targets of a sampled group; a group of fewer
  // than twice as many is used whole.
  int min_targets = 64;
  // A level is kept while the expected number of used targets is within these
  // factors of `min_targets`, so that targets that come and go change no level.
  double min_kept_factor = 0.8;
  double max_kept_factor = 2.5;
};

// The levels for groups of these sizes. `doublings`: how often the samples are
// doubled beyond `min_targets` because the load needs more targets.
SamplingLevels NextLevels(const SamplingLevels& current,
                          const std::map<EngineGroup, std::size_t>& sizes,
                          int doublings,
                          const EngineSamplingOptions& options);

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_ENGINE_SAMPLING_H_
