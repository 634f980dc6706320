// Builders of store changes for tests.
#ifndef LYNXGLADE_TESTS_PROCESS_PEERS_MADE_CHANGES_H_
#define LYNXGLADE_TESTS_PROCESS_PEERS_MADE_CHANGES_H_

#include <cstdint>
#include <string>

#include "process/store/store_items.h"

namespace lynxglade::process::peers {

// A write of one of five keys at the revision.
inline store::StoreItem Item(std::int64_t revision,
                             const std::string& value = "v") {
  store::StoreItem item;
  item.key = "k" + std::to_string(revision % 5);
  item.value = value;
  item.revision = base::Revision(revision);
  return item;
}

// One change per revision, from `from` to `to`.
inline store::StoreItems Changes(std::int64_t from, std::int64_t to) {
  store::StoreItems changes;
  changes.revision = base::Revision(to);
  for (std::int64_t i = from; i <= to; ++i) {
    changes.items.push_back(Item(i));
  }
  return changes;
}

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_TESTS_PROCESS_PEERS_MADE_CHANGES_H_
