#include "request/passthrough/target_paths.h"

#include <algorithm>

namespace lynxglade::request::passthrough {

std::string_view ToString(TargetPath path) noexcept {
  switch (path) {
    case TargetPath::kOwn:
      return "own";
    case TargetPath::kThroughOthers:
      return "through_others";
    case TargetPath::kNone:
      break;
  }
  return "none";
}

TargetPaths::TargetPaths(TargetPathsOptions options) : options_(options) {}

// The path to the others of the group is most likely whole again, too; if not,
// the next connections find out.
void TargetPaths::OnOwnConnection(const EngineEntry& target) {
  const auto group = groups_.find(GroupOf(target));
  if (group == groups_.end()) {
    return;
  }
  std::erase_if(group->second.targets, [&](const auto& it) {
    return it.first == target.id ||
           it.second.path == TargetPath::kThroughOthers;
  });
  if (group->second.targets.empty()) {
    groups_.erase(group);
  }
}

void TargetPaths::OnOwnFailure(const EngineEntry& target,
                               bool others_reach,
                               base::Time began,
                               base::Time now) {
  Group& group = groups_[GroupOf(target)];
  if (group.targets.empty()) {
    group.used_at = now;
  }
  Observation& it = group.targets[target.id];
  const TargetPath path =
      others_reach ? TargetPath::kThroughOthers : TargetPath::kNone;
  if (it.path != path || !IsFresh(it, now)) {
    it.since = began;
  }
  it.path = path;
  it.seen_at = now;
  it.probed_at = now;
}

TargetPath TargetPaths::Use(const EngineEntry& target, base::Time now) {
  const auto group = groups_.find(GroupOf(target));
  if (group == groups_.end()) {
    return TargetPath::kOwn;
  }
  group->second.used_at = now;
  return PathTo(target, now);
}

TargetPath TargetPaths::PathTo(const EngineEntry& target,
                               base::Time now) const {
  const auto group = groups_.find(GroupOf(target));
  if (group == groups_.end()) {
    return TargetPath::kOwn;
  }
  const auto it = group->second.targets.find(target.id);
  if (it != group->second.targets.end() && IsFresh(it->second, now)) {
    return it->second.path;
  }
  return CountThroughOthers(group->second, now) >= options_.min_targets
             ? TargetPath::kThroughOthers
             : TargetPath::kOwn;
}

std::optional<base::Time> TargetPaths::CutSince(const EngineEntry& target,
                                                base::Time now) const {
  if (PathTo(target, now) != TargetPath::kThroughOthers) {
    return std::nullopt;
  }
  const Group& group = groups_.at(GroupOf(target));
  base::Time since = now;
  for (const auto& [id, it] : group.targets) {
    if (it.path == TargetPath::kThroughOthers && IsFresh(it, now)) {
      since = std::min(since, it.since);
    }
  }
  return since;
}

std::vector<base::TargetId> TargetPaths::TakeProbes(base::Time now) {
  for (auto& [key, group] : groups_) {
    std::erase_if(group.targets,
                  [&](const auto& it) { return !IsFresh(it.second, now); });
  }
  std::erase_if(groups_, [&](const auto& it) {
    return it.second.targets.empty() ||
           now - it.second.used_at > options_.max_unused;
  });
  std::vector<base::TargetId> probes;
  for (auto& [key, group] : groups_) {
    AddProbes(group, now, probes);
  }
  return probes;
}

void TargetPaths::AddProbes(Group& group,
                            base::Time now,
                            std::vector<base::TargetId>& probes) const {
  std::map<base::TargetId, Observation>::value_type* through_others = nullptr;
  for (auto& row : group.targets) {
    Observation& it = row.second;
    if (it.path == TargetPath::kNone &&
        now - it.probed_at >= options_.probe_interval) {
      it.probed_at = now;
      probes.push_back(row.first);
    } else if (it.path == TargetPath::kThroughOthers &&
               (!through_others ||
                it.probed_at < through_others->second.probed_at)) {
      through_others = &row;
    }
  }
  if (through_others && now - group.probed_at >= options_.probe_interval) {
    group.probed_at = now;
    through_others->second.probed_at = now;
    probes.push_back(through_others->first);
  }
}

std::size_t TargetPaths::CountThroughOthers(base::Time now) const {
  std::size_t n = 0;
  for (const auto& [key, group] : groups_) {
    n += CountThroughOthers(group, now);
  }
  return n;
}

std::size_t TargetPaths::CountThroughOthers(const Group& group,
                                            base::Time now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(group.targets, [&](const auto& it) {
        return it.second.path == TargetPath::kThroughOthers &&
               IsFresh(it.second, now);
      }));
}

}  // namespace lynxglade::request::passthrough
