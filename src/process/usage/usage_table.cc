#include "process/usage/usage_table.h"

#include <algorithm>

namespace lynxglade::process::usage {

UsageTable::UsageTable(UsageTableOptions options) : options_(options) {}

void UsageTable::Count(const OriginId& origin,
                       WindowId window,
                       const base::OrganisationId& organisation) {
  const Key key{window, origin, organisation};
  if (Entry* entry = FindOrAdd(key)) {
    ++entry->count;
    MarkChanged(key, *entry);
  }
}

std::int64_t UsageTable::Merge(const UsageRow& row) {
  const Key key{row.window, row.origin, row.organisation};
  Entry* entry = FindOrAdd(key);
  if (!entry || entry->count >= row.count) {
    return 0;
  }
  const std::int64_t raised = row.count - entry->count;
  entry->count = row.count;
  MarkChanged(key, *entry);
  return raised;
}

void UsageTable::ForgetBefore(WindowId first) {
  const auto end =
      counts_.lower_bound(Key{first, OriginId(), base::OrganisationId()});
  std::for_each(counts_.begin(), end, [this](const auto& it) {
    by_change_.erase(it.second.changed);
  });
  counts_.erase(counts_.begin(), end);
}

UsageCounts UsageTable::Totals(WindowId window) const {
  UsageCounts totals;
  auto it =
      counts_.lower_bound(Key{window, OriginId(), base::OrganisationId()});
  for (; it != counts_.end() && it->first.window == window; ++it) {
    totals[it->first.organisation] += it->second.count;
  }
  return totals;
}

UsageRow UsageTable::RowOf(const Key& key) const {
  return {key.origin, key.window, key.organisation, counts_.at(key).count};
}

UsageTable::Entry* UsageTable::FindOrAdd(const Key& key) {
  const auto it = counts_.find(key);
  if (it != counts_.end()) {
    return &it->second;
  }
  if (counts_.size() >= options_.max_rows) {
    ++dropped_;
    return nullptr;
  }
  return &counts_[key];
}

void UsageTable::MarkChanged(const Key& key, Entry& entry) {
  by_change_.erase(entry.changed);
  last_change_ += ChangeNumber(1);
  entry.changed = last_change_;
  by_change_[entry.changed] = &counts_.find(key)->first;
}

}  // namespace lynxglade::process::usage
