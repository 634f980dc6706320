#include "request/target_index.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

#include "base/hash.h"

namespace lynxglade::request {

namespace {

std::uint64_t GroupHash(const base::ServiceName& service,
                        const base::ModelName& model,
                        const base::ModelVersion& version) noexcept {
  const std::uint64_t a = base::Hash64(service.str());
  return base::Hash64(version.str(), base::Hash64(model.str(), a));
}

bool IsGroup(const TargetGroup& group,
             const base::ServiceName& service,
             const base::ModelName& model,
             const base::ModelVersion& version) noexcept {
  return group.service == service && group.model == model &&
         group.version == version;
}

double ReportedSeconds(const Target& target,
                       const TargetIndexOptions& options) noexcept {
  const TargetLoad& load = target.load;
  if (load.prefill_tokens_per_s <= 0 && load.decode_tokens_per_s <= 0) {
    const std::chrono::duration<double> unit = options.time_per_request;
    return (load.running + load.waiting) * unit.count();
  }
  return WorkSeconds({load.queued_prefill, load.running_decode},
                     {load.prefill_tokens_per_s, load.decode_tokens_per_s});
}

void SortAndAverage(TargetPool& pool, const TargetIndexOptions& options) {
  pool.seconds_per_request =
      std::chrono::duration<double>(options.time_per_request).count();
  std::ranges::sort(pool.members, [](const auto& a, const auto& b) {
    return std::tie(a.target->zone, a.id_hash) <
           std::tie(b.target->zone, b.id_hash);
  });
  for (std::size_t i = 0; i < pool.members.size(); ++i) {
    const base::ZoneId& zone = pool.members[i].target->zone;
    if (pool.zones.empty() || pool.zones.back().zone != zone) {
      pool.zones.push_back({zone, i, i});
    }
    pool.zones.back().end = i + 1;
  }
  if (!pool.members.empty()) {
    const double sum = std::accumulate(
        pool.members.begin(), pool.members.end(), 0.0,
        [](double n, const auto& it) { return n + it.reported_seconds; });
    pool.mean_seconds = sum / static_cast<double>(pool.members.size());
  }
}

}  // namespace

TargetPool::ZoneRange TargetPool::FindZone(
    const base::ZoneId& zone) const noexcept {
  const auto it = std::ranges::find(zones, zone, &ZoneRange::zone);
  return it == zones.end() ? ZoneRange{} : *it;
}

std::size_t TargetGroup::serving() const noexcept {
  return std::accumulate(
      pools.begin(), pools.end(), std::size_t{0},
      [](std::size_t n, const auto& it) { return n + it.members.size(); });
}

TargetIndex::TargetIndex()
    : TargetIndex(std::make_shared<const TargetTable>()) {}

TargetIndex::TargetIndex(std::shared_ptr<const TargetTable> table,
                         TargetIndexOptions options)
    : table_(std::move(table)), options_(options) {
  for (const Target& it : table_->targets) {
    ++services_[it.service];
    Add(it, it.version);
    if (!it.version.empty()) {
      Add(it, base::ModelVersion());
    }
  }
  for (auto& [hash, group] : groups_) {
    std::ranges::for_each(
        group.pools, [this](TargetPool& it) { SortAndAverage(it, options_); });
  }
}

void TargetIndex::Add(const Target& target, const base::ModelVersion& version) {
  std::uint64_t hash = GroupHash(target.service, target.model, version);
  auto it = groups_.find(hash);
  // On a hash collision the later group takes the next free number.
  while (it != groups_.end() &&
         !IsGroup(it->second, target.service, target.model, version)) {
    it = groups_.find(++hash);
  }
  TargetGroup& group = groups_[hash];
  if (group.known == 0) {
    group.service = target.service;
    group.model = target.model;
    group.version = version;
  }
  ++group.known;
  // An engine without a loaded model cannot run requests.
  const bool loaded =
      target.role == EngineRole::kPlain || !target.model.empty();
  if (target.state == TargetState::kServing && loaded) {
    group.pools[static_cast<std::size_t>(target.role)].members.push_back(
        {&target, base::Hash64(target.id.str()),
         ReportedSeconds(target, options_)});
  }
}

const TargetGroup* TargetIndex::Find(
    const base::ServiceName& service,
    const base::ModelName& model,
    const base::ModelVersion& version) const noexcept {
  std::uint64_t hash = GroupHash(service, model, version);
  auto it = groups_.find(hash);
  while (it != groups_.end() && !IsGroup(it->second, service, model, version)) {
    it = groups_.find(++hash);
  }
  return it == groups_.end() ? nullptr : &it->second;
}

bool TargetIndex::HasService(const base::ServiceName& service) const noexcept {
  return services_.contains(service);
}

}  // namespace lynxglade::request
