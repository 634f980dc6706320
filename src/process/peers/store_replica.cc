#include "process/peers/store_replica.h"

#include <algorithm>

namespace lynxglade::process::peers {

namespace {

using request::passthrough::SamplingLevels;

// Bytes of an item besides its value, about.
constexpr std::size_t kItemOverheadBytes = 48;

}  // namespace

StoreReplica::StoreReplica(ClassifyItem classify, StoreReplicaOptions options)
    : classify_(std::move(classify)), options_(options) {}

void StoreReplica::Clear() {
  listed_ = false;
  newest_item_ = base::Revision();
  records_.clear();
  revision_of_.clear();
  deletions_.clear();
  group_sizes_.clear();
}

void StoreReplica::Reset(const store::StoreItems& listed) {
  Clear();
  listed_ = true;
  revision_ = listed.revision;
  deletions_known_after_ = listed.revision;
  std::ranges::for_each(listed.items,
                        [this](const store::StoreItem& it) { ApplyItem(it); });
}

void StoreReplica::Apply(base::Revision after,
                         const store::StoreItems& changes) {
  if (!listed_) {
    return;
  }
  if (after > revision_) {
    Clear();
    return;
  }
  std::ranges::for_each(changes.items,
                        [this](const store::StoreItem& it) { ApplyItem(it); });
  revision_ = std::max(revision_, changes.revision);
  ForgetOldDeletions();
}

void StoreReplica::ApplyItem(const store::StoreItem& item) {
  const auto known = revision_of_.find(item.key);
  if (known != revision_of_.end() && known->second >= item.revision) {
    return;
  }
  Record record{item, std::nullopt};
  if (!item.deleted) {
    record.target = classify_(item);
  } else if (known != revision_of_.end()) {
    record.target = records_.at({known->second, item.key}).target;
  }
  RemoveRecord(item.key);
  newest_item_ = std::max(newest_item_, item.revision);
  const Position position(item.revision, item.key);
  if (item.deleted) {
    deletions_.push_back(position);
  } else if (record.target) {
    ++group_sizes_[record.target->group];
  }
  revision_of_[item.key] = item.revision;
  records_.emplace(position, std::move(record));
}

void StoreReplica::RemoveRecord(const std::string& key) {
  const auto known = revision_of_.find(key);
  if (known == revision_of_.end()) {
    return;
  }
  const auto record = records_.find({known->second, key});
  if (record->second.target && !record->second.item.deleted) {
    const auto group = group_sizes_.find(record->second.target->group);
    if (--group->second == 0) {
      group_sizes_.erase(group);
    }
  }
  records_.erase(record);
  revision_of_.erase(known);
}

void StoreReplica::ForgetOldDeletions() {
  while (deletions_.size() > options_.max_deletions) {
    const Position oldest = deletions_.front();
    deletions_.pop_front();
    const auto record = records_.find(oldest);
    if (record != records_.end()) {
      deletions_known_after_ = std::max(deletions_known_after_, oldest.first);
      revision_of_.erase(oldest.second);
      records_.erase(record);
    }
  }
}

std::vector<store::StoreItem> StoreReplica::ExistingItems() const {
  std::vector<store::StoreItem> existing;
  for (const auto& [position, record] : records_) {
    if (!record.item.deleted) {
      existing.push_back(record.item);
    }
  }
  return existing;
}

std::optional<ReplicaPage> StoreReplica::After(base::Revision after,
                                               const SamplingLevels* sample,
                                               std::size_t max_bytes) const {
  const bool knows_nothing = after <= base::Revision(0);
  if (!complete() || (!knows_nothing && after < deletions_known_after_)) {
    return std::nullopt;
  }
  return PageAfter(after, after, sample, max_bytes);
}

std::optional<ReplicaPage> StoreReplica::Snapshot(base::Revision after,
                                                  base::Revision start,
                                                  const SamplingLevels* sample,
                                                  std::size_t max_bytes) const {
  if (!complete() || start < deletions_known_after_) {
    return std::nullopt;
  }
  return PageAfter(after, start, sample, max_bytes);
}

ReplicaPage StoreReplica::PageAfter(base::Revision after,
                                    base::Revision deletions_after,
                                    const SamplingLevels* sample,
                                    std::size_t max_bytes) const {
  ReplicaPage page;
  page.changes.revision = std::max(revision_, after);
  std::size_t bytes = 0;
  auto it =
      records_.lower_bound({base::Revision(after.value() + 1), std::string()});
  for (; it != records_.end(); ++it) {
    const auto& [item, target] = it->second;
    const auto& items = page.changes.items;
    const bool new_revision =
        !items.empty() && item.revision != items.back().revision;
    if (bytes >= max_bytes && new_revision) {
      page.changes.revision = items.back().revision;
      page.more = true;
      break;
    }
    if ((item.deleted && item.revision <= deletions_after) ||
        (sample && target && !sample->Contains(target->group, target->id))) {
      continue;
    }
    bytes += item.key.size() + item.value.size() + kItemOverheadBytes;
    page.changes.items.push_back(item);
  }
  return page;
}

}  // namespace lynxglade::process::peers
