// What the platform's store holds, as far as an entry instance reads it.
#ifndef LYNXGLADE_PROCESS_STORE_ITEMS_H_
#define LYNXGLADE_PROCESS_STORE_ITEMS_H_

#include <string>
#include <vector>

#include "base/units.h"

namespace lynxglade::process {

struct StoreItem {
  std::string key;
  std::string value;
  base::Revision revision;
  // The key is gone; `value` is empty.
  bool deleted = false;
};

// Items and the revision that they are as of.
struct StoreItems {
  std::vector<StoreItem> items;
  base::Revision revision;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_STORE_ITEMS_H_
