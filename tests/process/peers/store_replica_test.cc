#include "process/peers/store_replica.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "process/peers/made_changes.h"

namespace lynxglade::process::peers {
namespace {

using request::passthrough::EngineGroup;
using request::passthrough::SamplingLevels;

constexpr std::size_t kNoLimit = 1'000'000;
const EngineGroup kGroup{base::ServiceName("llm"), base::ZoneId("a")};

// Keys that begin with "t" are targets of one group.
std::optional<ItemTarget> Classify(const store::StoreItem& item) {
  if (!item.key.starts_with("t")) {
    return std::nullopt;
  }
  return ItemTarget{base::TargetId(item.key), kGroup};
}

store::StoreItem ItemOf(const std::string& key,
                        std::int64_t revision,
                        bool deleted = false) {
  store::StoreItem item;
  item.key = key;
  item.revision = base::Revision(revision);
  item.deleted = deleted;
  if (!deleted) {
    item.value = "v" + std::to_string(revision);
  }
  return item;
}

store::StoreItems Items(std::int64_t revision,
                        std::vector<store::StoreItem> items) {
  store::StoreItems all;
  all.revision = base::Revision(revision);
  all.items = std::move(items);
  return all;
}

TEST(StoreReplica, AnswersNothingBeforeAListing) {
  StoreReplica replica(Classify);
  replica.Apply(base::Revision(0), Changes(1, 5));
  EXPECT_FALSE(replica.complete());
  EXPECT_FALSE(replica.After(base::Revision(0), nullptr, kNoLimit));
}

TEST(StoreReplica, DropsItsContentsAfterAGap) {
  StoreReplica replica(Classify);
  replica.Reset(Items(5, {ItemOf("a", 3)}));
  replica.Apply(base::Revision(7), Items(9, {ItemOf("b", 9)}));
  EXPECT_FALSE(replica.listed());
  EXPECT_FALSE(replica.After(base::Revision(5), nullptr, kNoLimit));
}

// Pages of a listing may be of different age: changes between them are missing
// until a watch has returned them.
TEST(StoreReplica, IsIncompleteWhileItemsAreNewerThanTheListing) {
  StoreReplica replica(Classify);
  replica.Reset(Items(5, {ItemOf("a", 3), ItemOf("b", 8)}));
  EXPECT_FALSE(replica.complete());
  replica.Apply(base::Revision(5),
                Items(9, {ItemOf("c", 6), ItemOf("b", 8), ItemOf("d", 9)}));
  EXPECT_TRUE(replica.complete());
  EXPECT_EQ(
      replica.After(base::Revision(5), nullptr, kNoLimit)->changes.items.size(),
      3U);
}

TEST(StoreReplica, ForgottenDeletionsNeedASnapshot) {
  StoreReplica replica(Classify, {.max_deletions = 2});
  replica.Reset(Items(3, {ItemOf("a", 1), ItemOf("b", 2), ItemOf("c", 3)}));
  replica.Apply(base::Revision(3),
                Items(6, {ItemOf("a", 4, true), ItemOf("b", 5, true),
                          ItemOf("c", 6, true)}));
  EXPECT_FALSE(replica.After(base::Revision(3), nullptr, kNoLimit));
  EXPECT_TRUE(replica.After(base::Revision(4), nullptr, kNoLimit));
  const auto snapshot = replica.Snapshot(base::Revision(-1), replica.revision(),
                                         nullptr, kNoLimit);
  ASSERT_TRUE(snapshot);
  EXPECT_TRUE(snapshot->changes.items.empty());
}

// A deletion reaches the instances that have the entry, although the item of a
// deletion does not say what it was.
TEST(StoreReplica, DeletionsAreSampledAsTheirEntries) {
  const SamplingLevels levels({{kGroup, 4}});
  StoreReplica replica(Classify);
  std::vector<store::StoreItem> entries;
  std::vector<store::StoreItem> deletions;
  std::size_t sampled = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string key = "t" + std::to_string(i);
    entries.push_back(ItemOf(key, i + 1));
    deletions.push_back(ItemOf(key, i + 1001, true));
    sampled += levels.Contains(kGroup, base::TargetId(key)) ? 1 : 0;
  }
  replica.Reset(Items(400, entries));
  EXPECT_EQ(replica.group_sizes().at(kGroup), 400U);
  const auto page = replica.After(base::Revision(400), &levels, kNoLimit);
  EXPECT_TRUE(page->changes.items.empty());
  replica.Apply(base::Revision(400), Items(1400, deletions));
  EXPECT_EQ(replica.After(base::Revision(400), &levels, kNoLimit)
                ->changes.items.size(),
            sampled);
  EXPECT_EQ(replica.After(base::Revision(400), nullptr, kNoLimit)
                ->changes.items.size(),
            400U);
  EXPECT_TRUE(replica.group_sizes().empty());
}

// An asker that applies pages from any revision that it knows, over any
// overlapping watches, ends with the store's contents; items come in the order
// of their revisions, and those of one revision on one page.
RC_GTEST_PROP(StoreReplica, PagesLeadToTheStoresContents, ()) {
  std::map<std::string, store::StoreItem> stored;
  std::vector<store::StoreItem> history;
  StoreReplica replica(Classify, {.max_deletions = 8});
  replica.Reset(Items(0, {}));
  std::map<std::string, std::string> seen;
  std::int64_t known = 0;
  std::int64_t revision = 0;
  for (int step = 0; step < 30; ++step) {
    const auto writes = *rc::gen::inRange(0, 6);
    for (int i = 0; i < writes; ++i) {
      ++revision;
      // A transaction changes several keys at one revision.
      const auto keys = *rc::gen::inRange(1, 3);
      for (int k = 0; k < keys; ++k) {
        const std::string key =
            "k" + std::to_string(*rc::gen::inRange(0, 4)) + std::to_string(k);
        const bool deleted =
            stored.contains(key) && *rc::gen::arbitrary<bool>();
        history.push_back(ItemOf(key, revision, deleted));
        if (deleted) {
          stored.erase(key);
        } else {
          stored[key] = history.back();
        }
      }
    }
    const auto after = std::max<std::int64_t>(
        0, replica.revision().value() - *rc::gen::inRange(0, 4));
    store::StoreItems changes;
    changes.revision = base::Revision(revision);
    std::ranges::copy_if(
        history, std::back_inserter(changes.items),
        [after](const auto& it) { return it.revision.value() > after; });
    replica.Apply(base::Revision(after), changes);
    if (*rc::gen::inRange(0, 3) == 0) {
      continue;
    }
    bool more = true;
    while (more) {
      const auto page = replica.After(base::Revision(known), nullptr, 100);
      if (!page) {
        const auto all = replica.Snapshot(
            base::Revision(-1), replica.revision(), nullptr, kNoLimit);
        seen.clear();
        for (const auto& it : all->changes.items) {
          seen[it.key] = it.value;
        }
        known = all->changes.revision.value();
        break;
      }
      std::int64_t last = known;
      for (const auto& it : page->changes.items) {
        RC_ASSERT(it.revision.value() >= last);
        last = it.revision.value();
        if (it.deleted) {
          seen.erase(it.key);
        } else {
          seen[it.key] = it.value;
        }
      }
      known = page->changes.revision.value();
      more = page->more;
    }
    std::map<std::string, std::string> expected;
    for (const auto& [key, item] : stored) {
      expected[key] = item.value;
    }
    RC_ASSERT(seen == expected);
  }
}

}  // namespace
}  // namespace lynxglade::process::peers
