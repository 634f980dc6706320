// Items of the platform's key-value store, as read by an entry instance.
#ifndef LYNXGLADE_PROCESS_STORE_STORE_ITEMS_H_
#define LYNXGLADE_PROCESS_STORE_STORE_ITEMS_H_

#include <cstddef>
#include <numeric>
#include <string>
#include <vector>

#include "base/time.h"
#include "base/units.h"

namespace lynxglade::process::store {

struct StoreItem {
  std::string key;
  std::string value;
  base::Revision revision;
  // The key was deleted; `value` is empty.
  bool deleted = false;
};

// Items, and the store revision at which they were read.
struct StoreItems {
  std::vector<StoreItem> items;
  base::Revision revision;
  // How long before they were received the store was read; longer than zero if
  // another instance read it.
  base::Duration age{};
};

// Bytes of the keys and values.
inline std::size_t BytesOf(const std::vector<StoreItem>& items) {
  return std::accumulate(items.begin(), items.end(), std::size_t{0},
                         [](std::size_t n, const StoreItem& it) {
                           return n + it.key.size() + it.value.size();
                         });
}

}  // namespace lynxglade::process::store

#endif  // LYNXGLADE_PROCESS_STORE_STORE_ITEMS_H_
