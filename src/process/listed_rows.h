// Shares the targets of the platform's instance list among instances as facts,
// so that an instance that cannot reach the list uses what others last read.
//
// There is one fact per target (ViewKind::kListed): the row as JSON, versioned
// by the revision of the list that it was read from; a removed row leaves a
// tombstone. Lists and facts are merged row by row: the greater revision wins,
// and the list wins a tie, so that no row reverts to an older revision.
#ifndef LYNXGLADE_PROCESS_LISTED_ROWS_H_
#define LYNXGLADE_PROCESS_LISTED_ROWS_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "connection/instance_list.h"
#include "process/view_item.h"

namespace lynxglade::process {

// A target in the platform's instance list.
struct ListedTarget {
  connection::TargetRow row;
  // False for plain services.
  bool engine = true;
  // Whether role and model are known; set by TargetRegistry::Rows() only.
  bool known = false;
};

// Fact for a target listed at this revision.
ViewItem MakeListedFact(const ListedTarget& target, base::Revision revision);
// Tombstone for a target no longer listed at this revision.
ViewItem MakeTombstone(const base::TargetId& id, base::Revision revision);
// The row in the fact; empty if the fact is a tombstone or malformed.
std::optional<ListedTarget> ParseListedFact(const ViewItem& fact);

// Returns `list` (not null) with rows replaced, added or removed by newer
// facts; `list` itself if no fact is newer. The revision of the result is the
// greatest one of the list and the facts used, or 0 if there is neither.
std::shared_ptr<const connection::InstanceTable> ApplyNewerFacts(
    std::shared_ptr<const connection::InstanceTable> list,
    const std::vector<ViewItem>& facts);

// Returns the facts to publish so that peers learn about `list`: rows and
// tombstones that differ from the held facts and are newer. At most `limit`:
// rows in the order of the list first, then tombstones by key.
std::vector<ViewItem> FactsToPublish(const connection::InstanceTable& list,
                                     const std::vector<ViewItem>& facts,
                                     std::size_t limit);

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_LISTED_ROWS_H_
