#include "process/peers/change_history.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "process/peers/made_changes.h"

namespace lynxglade::process::peers {
namespace {

TEST(ChangeHistory, EmptyHistoryHasNoAnswer) {
  ChangeHistory history;
  EXPECT_FALSE(history.After(base::Revision(0)));
}

TEST(ChangeHistory, RestartsAfterAGap) {
  ChangeHistory history;
  history.Add(base::Revision(1), Changes(2, 5));
  history.Add(base::Revision(8), Changes(9, 10));
  EXPECT_FALSE(history.After(base::Revision(5)));
  EXPECT_EQ(history.After(base::Revision(8))->items.size(), 2U);
}

// With overlapping watch results, After() returns each change once and in
// order, or nullopt.
RC_GTEST_PROP(ChangeHistory, ReturnsEachChangeOnceOrNullopt, ()) {
  ChangeHistory history({.max_changes = 12, .max_bytes = 10});
  std::int64_t newest = 0;
  for (int step = 0; step < 40; ++step) {
    const auto after = *rc::gen::inRange<std::int64_t>(0, newest + 3);
    const auto to = after + *rc::gen::inRange<std::int64_t>(0, 6);
    history.Add(base::Revision(after), Changes(after + 1, to));
    newest = std::max(newest, to);
    const auto from = *rc::gen::inRange<std::int64_t>(0, newest + 2);
    const auto found = history.After(base::Revision(from));
    if (!found) {
      continue;
    }
    RC_ASSERT(found->revision >= base::Revision(from));
    std::vector<std::int64_t> revisions;
    std::ranges::transform(
        found->items, std::back_inserter(revisions),
        [](const store::StoreItem& it) { return it.revision.value(); });
    std::vector<std::int64_t> expected;
    for (std::int64_t i = from + 1; i <= history.revision().value(); ++i) {
      expected.push_back(i);
    }
    RC_ASSERT(revisions == expected);
  }
}

}  // namespace
}  // namespace lynxglade::process::peers
