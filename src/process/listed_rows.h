// Targets of the platform's instance list as facts that instances tell each
// other, so that one which cannot reach the list has what others last read.
//
// One fact a target (ViewKind::kListed): the row as JSON, under the revision
// of the list in which it was first seen so; a row that is gone leaves a
// tombstone. Pure functions. A list and facts are put together row by row:
// whichever has the greater revision wins, and the list wins a tie, so that
// nothing goes backwards.
#ifndef LYNXGLADE_PROCESS_LISTED_ROWS_H_
#define LYNXGLADE_PROCESS_LISTED_ROWS_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "connection/instance_list.h"
#include "process/view_item.h"

namespace lynxglade::process {

// A target as the platform's instance list has it.
struct ListedTarget {
  connection::TargetRow row;
  // False for plain services.
  bool engine = true;
  // Somebody has said what it runs; set by TargetRegistry::Rows() only.
  bool known = false;
};

// The fact that a list of this revision shows the target so.
ViewItem ListedFact(const ListedTarget& target, base::Revision revision);
// The fact that a list of this revision no longer has the target.
ViewItem UnlistedFact(const base::TargetId& id, base::Revision revision);
// The row; nothing when the fact is a tombstone or malformed.
std::optional<ListedTarget> ReadListedFact(const ViewItem& fact);

// The targets by `list` (never null) with the rows that newer facts tell of in
// place of its own. Its revision is the greatest that any row came from, so 0
// while there is neither list nor fact. `list` itself when no fact is newer.
std::shared_ptr<const connection::InstanceTable> WithNewerFacts(
    std::shared_ptr<const connection::InstanceTable> list,
    const std::vector<ViewItem>& facts);

// What to tell of `list`: rows and absences that differ from the facts held
// and are not older. At most `limit`, in the order of the list's rows, then
// of the tombstones' keys.
std::vector<ViewItem> FactsToPublish(const connection::InstanceTable& list,
                                     const std::vector<ViewItem>& facts,
                                     std::size_t limit);

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_LISTED_ROWS_H_
