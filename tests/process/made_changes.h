// Builders of store changes for tests.
#ifndef LYNXGLADE_TESTS_PROCESS_MADE_CHANGES_H_
#define LYNXGLADE_TESTS_PROCESS_MADE_CHANGES_H_

#include <cstdint>
#include <string>

#include "process/store_items.h"

namespace lynxglade::process {

// A write of one of five keys at the revision.
inline StoreItem Item(std::int64_t revision, const std::string& value = "v") {
  StoreItem item;
  item.key = "k" + std::to_string(revision % 5);
  item.value = value;
  item.revision = base::Revision(revision);
  return item;
}

// One change per revision, from `from` to `to`.
inline StoreItems Changes(std::int64_t from, std::int64_t to) {
  StoreItems changes;
  changes.revision = base::Revision(to);
  for (std::int64_t i = from; i <= to; ++i) {
    changes.items.push_back(Item(i));
  }
  return changes;
}

}  // namespace lynxglade::process

#endif  // LYNXGLADE_TESTS_PROCESS_MADE_CHANGES_H_
