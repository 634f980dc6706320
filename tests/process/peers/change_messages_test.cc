#include "process/peers/change_messages.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "process/peers/made_changes.h"

namespace lynxglade::process::peers {
namespace {

RC_GTEST_PROP(ChangeMessages, RoundTrip, ()) {
  store::StoreItems changes;
  changes.revision = base::Revision(1'000'000);
  const int n = *rc::gen::inRange(0, 30);
  for (int i = 0; i < n; ++i) {
    store::StoreItem item = Item(*rc::gen::inRange<std::int64_t>(1, 1'000'000),
                                 *rc::gen::arbitrary<std::string>());
    item.deleted = *rc::gen::arbitrary<bool>();
    if (item.deleted) {
      item.value.clear();
    }
    changes.items.push_back(item);
  }
  const auto bytes = EncodeChanges(changes);
  RC_ASSERT(bytes.has_value());
  const auto read = DecodeChanges(*bytes);
  RC_ASSERT(read.has_value());
  RC_ASSERT(read->revision == changes.revision);
  RC_ASSERT(read->items.size() == changes.items.size());
  for (std::size_t i = 0; i < changes.items.size(); ++i) {
    RC_ASSERT(read->items[i].key == changes.items[i].key);
    RC_ASSERT(read->items[i].value == changes.items[i].value);
    RC_ASSERT(read->items[i].revision == changes.items[i].revision);
    RC_ASSERT(read->items[i].deleted == changes.items[i].deleted);
  }
}

RC_GTEST_PROP(ChangeMessages,
              ArbitraryBytesAreRejectedOrConsistent,
              (std::string bytes)) {
  const auto read = DecodeChanges(bytes);
  const auto in_order = [&read] {
    return std::ranges::all_of(read->items, [&](const auto& it) {
      return it.revision <= read->revision;
    });
  };
  RC_ASSERT((!read || in_order()));
}

RC_GTEST_PROP(ChangeMessages, TruncatedMessageIsRejected, ()) {
  const auto bytes = EncodeChanges(Changes(1, 5));
  const auto n = *rc::gen::inRange<std::size_t>(0, bytes->size());
  RC_ASSERT(!DecodeChanges(std::string_view(*bytes).substr(0, n)));
}

}  // namespace
}  // namespace lynxglade::process::peers
