#include "process/usage/usage_table.h"

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::process::usage {
namespace {

const base::OrganisationId kA("a");
const base::OrganisationId kB("b");
const OriginId kHere("here");
const OriginId kThere("there");
const WindowId kWindow(100);

constexpr auto kAnyOrigin = [](const OriginId&) { return true; };

TEST(UsageTable, AddsUpTheCountsOfAllProcesses) {
  UsageTable table;
  table.Count(kHere, kWindow, kA);
  table.Count(kHere, kWindow, kA);
  table.Count(kHere, WindowId(101), kA);
  EXPECT_EQ(table.Merge({kThere, kWindow, kA, 5}), 5);
  EXPECT_EQ(table.Merge({kThere, kWindow, kB, 1}), 1);
  EXPECT_EQ(table.Totals(kWindow), (UsageCounts{{kA, 7}, {kB, 1}}));
  EXPECT_EQ(table.Totals(WindowId(102)), UsageCounts{});
}

TEST(UsageTable, AnOlderCountChangesNothing) {
  UsageTable table;
  EXPECT_EQ(table.Merge({kThere, kWindow, kA, 5}), 5);
  EXPECT_EQ(table.Merge({kThere, kWindow, kA, 3}), 0);
  EXPECT_EQ(table.Merge({kThere, kWindow, kA, 5}), 0);
  EXPECT_EQ(table.Merge({kThere, kWindow, kA, 6}), 1);
}

TEST(UsageTable, ListsOnlyWhatChangedAfterAnAcknowledgement) {
  UsageTable table;
  table.Count(kHere, kWindow, kA);
  table.Count(kHere, kWindow, kB);
  ChangeNumber acknowledged;
  EXPECT_EQ(
      table.ChangedAfter(ChangeNumber(), 10, kAnyOrigin, &acknowledged).size(),
      2U);
  table.Count(kHere, kWindow, kA);
  ChangeNumber last;
  const auto rows = table.ChangedAfter(acknowledged, 10, kAnyOrigin, &last);
  EXPECT_EQ(rows, (std::vector<UsageRow>{{kHere, kWindow, kA, 2}}));
  EXPECT_TRUE(table.ChangedAfter(last, 10, kAnyOrigin, &last).empty());
}

TEST(UsageTable, ForgottenWindowsLeaveNoRows) {
  UsageTable table;
  table.Count(kHere, kWindow, kA);
  table.Count(kHere, WindowId(101), kA);
  table.ForgetBefore(WindowId(101));
  EXPECT_EQ(table.rows(), 1U);
  ChangeNumber last;
  EXPECT_EQ(table.ChangedAfter(ChangeNumber(), 10, kAnyOrigin, &last).size(),
            1U);
}

TEST(UsageTable, RowsAreBounded) {
  UsageTable table({.max_rows = 1});
  table.Count(kHere, kWindow, kA);
  table.Count(kHere, kWindow, kB);
  EXPECT_EQ(table.rows(), 1U);
  EXPECT_EQ(table.dropped(), 1U);
}

// Updates are lost, delayed, reordered and repeated; a collector that has
// acknowledged everything has the same totals as the sender.
RC_GTEST_PROP(UsageTable, UpdatesInAnyOrderGiveTheSameTotals, ()) {
  UsageTable sender;
  UsageTable collector;
  std::vector<std::vector<UsageRow>> in_flight;
  ChangeNumber acknowledged;
  const int steps = *rc::gen::inRange(1, 60);
  const auto update = [&](ChangeNumber* last) {
    return sender.ChangedAfter(acknowledged, 3, kAnyOrigin, last);
  };
  const auto take = [&](const std::vector<UsageRow>& rows) {
    std::ranges::for_each(rows,
                          [&](const UsageRow& it) { collector.Merge(it); });
  };
  for (int i = 0; i < steps; ++i) {
    sender.Count(kHere, WindowId(*rc::gen::inRange(0, 3)),
                 base::OrganisationId(std::to_string(*rc::gen::inRange(0, 5))));
    ChangeNumber last;
    const auto rows = update(&last);
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        // Lost, or arrives later.
        in_flight.push_back(rows);
        break;
      case 1:
        // Arrives, but its acknowledgement is lost.
        take(rows);
        break;
      default:
        take(rows);
        acknowledged = last;
    }
    if (!in_flight.empty() && *rc::gen::arbitrary<bool>()) {
      take(in_flight[*rc::gen::inRange<std::size_t>(0, in_flight.size())]);
    }
  }
  ChangeNumber last;
  for (auto rows = update(&last); !rows.empty(); rows = update(&last)) {
    take(rows);
    acknowledged = last;
  }
  for (int window = 0; window < 3; ++window) {
    RC_ASSERT(collector.Totals(WindowId(window)) ==
              sender.Totals(WindowId(window)));
  }
}

}  // namespace
}  // namespace lynxglade::process::usage
