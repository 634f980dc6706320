// Counts of the requests that began to run, by window and organisation.
//
// Each process counts only its own requests, in counts that never fall. Tables
// are merged by maximum, so that updates may arrive in any order and more than
// once.
#ifndef LYNXGLADE_PROCESS_USAGE_USAGE_TABLE_H_
#define LYNXGLADE_PROCESS_USAGE_USAGE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/units.h"

namespace lynxglade::process::usage {

// Number of a reporting window: the time since the Unix epoch divided by the
// length of a window.
using WindowId = base::StrongNumber<struct WindowIdTag, std::int64_t>;
// One process of an instance; a restart has another.
using OriginId = base::StrongId<struct OriginIdTag>;
// Position in the order of changes of one table.
using ChangeNumber = base::StrongNumber<struct ChangeNumberTag, std::uint64_t>;

// Counts of one window.
using UsageCounts = std::map<base::OrganisationId, std::int64_t>;

// What one process counted.
struct UsageRow {
  OriginId origin;
  WindowId window;
  base::OrganisationId organisation;
  std::int64_t count = 0;

  auto operator<=>(const UsageRow&) const = default;
};

struct UsageTableOptions {
  // Bounds memory; further rows are dropped and counted.
  std::size_t max_rows = 200'000;
};

// Not thread-safe: runs on the event loop.
class UsageTable {
 public:
  explicit UsageTable(UsageTableOptions options = {});
  UsageTable(const UsageTable&) = delete;
  UsageTable& operator=(const UsageTable&) = delete;

  // Counts one request.
  void Count(const OriginId& origin,
             WindowId window,
             const base::OrganisationId& organisation);
  // Takes a count of another process. Returns by how much it was raised.
  std::int64_t Merge(const UsageRow& row);
  // Removes all windows before `first`.
  void ForgetBefore(WindowId first);

  // The counts of all processes.
  UsageCounts Totals(WindowId window) const;
  // At most `limit` rows that changed after `after`, oldest change first, whose
  // origin `wanted` accepts. `*last` receives the change up to which the rows
  // are complete.
  template <typename Wanted>
  std::vector<UsageRow> ChangedAfter(ChangeNumber after,
                                     std::size_t limit,
                                     Wanted wanted,
                                     ChangeNumber* last) const {
    std::vector<UsageRow> rows;
    *last = last_change_;
    for (auto it = by_change_.upper_bound(after); it != by_change_.end();
         ++it) {
      if (!wanted(it->second->origin)) {
        continue;
      }
      if (rows.size() == limit) {
        *last = ChangeNumber(it->first.value() - 1);
        break;
      }
      rows.push_back(RowOf(*it->second));
    }
    return rows;
  }

  std::size_t rows() const noexcept { return counts_.size(); }
  std::uint64_t dropped() const noexcept { return dropped_; }

 private:
  struct Key {
    WindowId window;
    OriginId origin;
    base::OrganisationId organisation;

    auto operator<=>(const Key&) const = default;
  };
  struct Entry {
    std::int64_t count = 0;
    ChangeNumber changed;
  };

  UsageRow RowOf(const Key& key) const;
  // Null if the table is full.
  Entry* FindOrAdd(const Key& key);
  void MarkChanged(const Key& key, Entry& entry);

  const UsageTableOptions options_;
  std::map<Key, Entry> counts_;
  // Keys in `counts_`, whose addresses are stable, by their last change.
  std::map<ChangeNumber, const Key*> by_change_;
  ChangeNumber last_change_;
  std::uint64_t dropped_ = 0;
};

}  // namespace lynxglade::process::usage

#endif  // LYNXGLADE_PROCESS_USAGE_USAGE_TABLE_H_
