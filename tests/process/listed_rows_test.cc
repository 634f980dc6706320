#include "process/listed_rows.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "process/view_store.h"

namespace lynxglade::process {
namespace {

using connection::InstanceTable;
using Handle = std::shared_ptr<const InstanceTable>;

ListedTarget Engine(const std::string& id, int port = 1) {
  ListedTarget out;
  out.row = {base::TargetId(id),
             base::ServiceName("llm"),
             base::ZoneId("a"),
             "127.0.0.1",
             port,
             false,
             true};
  return out;
}

Handle List(std::int64_t revision, const std::vector<ListedTarget>& targets) {
  InstanceTable out;
  out.revision = base::Revision(revision);
  std::ranges::transform(targets, std::back_inserter(out.engines),
                         &ListedTarget::row);
  return std::make_shared<const InstanceTable>(std::move(out));
}

// Ports of the engines in the list, by id.
std::map<std::string, int> PortsOf(const InstanceTable& list) {
  std::map<std::string, int> out;
  std::ranges::transform(list.engines, std::inserter(out, out.end()),
                         [](const connection::TargetRow& row) {
                           return std::pair(row.id.str(), row.port);
                         });
  return out;
}

TEST(ListedRowsTest, FactPreservesAllFieldsOfARow) {
  ListedTarget plain = Engine("p", 7);
  plain.engine = false;
  plain.row.fenced = false;
  plain.row.leaving = true;
  const auto list = ApplyNewerFacts(
      List(0, {}), {MakeListedFact(Engine("e"), base::Revision(3)),
                    MakeListedFact(plain, base::Revision(4))});
  EXPECT_EQ(list->revision.value(), 4);
  ASSERT_EQ(list->engines.size(), 1u);
  EXPECT_EQ(list->engines[0].service.str(), "llm");
  EXPECT_EQ(list->engines[0].zone.str(), "a");
  EXPECT_EQ(list->engines[0].address, "127.0.0.1");
  EXPECT_TRUE(list->engines[0].fenced);
  EXPECT_FALSE(list->engines[0].leaving);
  ASSERT_EQ(list->plains.size(), 1u);
  EXPECT_EQ(list->plains[0].port, 7);
  EXPECT_TRUE(list->plains[0].leaving);
  EXPECT_FALSE(list->plains[0].fenced);
}

TEST(ListedRowsTest, OnlyNewerFactsOverrideTheList) {
  const std::vector<ViewItem> facts = {
      MakeListedFact(Engine("changed", 2), base::Revision(6)),
      MakeListedFact(Engine("old", 2), base::Revision(5)),
      MakeTombstone(base::TargetId("gone"), base::Revision(6)),
      MakeTombstone(base::TargetId("back"), base::Revision(4)),
      MakeListedFact(Engine("dropped"), base::Revision(5)),
      MakeListedFact(Engine("new"), base::Revision(7))};
  const std::vector<ListedTarget> rows = {Engine("changed"), Engine("old"),
                                          Engine("gone"), Engine("back")};
  const auto list = ApplyNewerFacts(List(5, rows), facts);
  EXPECT_EQ(list->revision.value(), 7);
  EXPECT_EQ(PortsOf(*list),
            (std::map<std::string, int>{
                {"changed", 2}, {"old", 1}, {"back", 1}, {"new", 1}}));
  // A list as new as all facts is returned unchanged.
  const Handle newest = List(7, rows);
  EXPECT_EQ(ApplyNewerFacts(newest, facts), newest);
}

TEST(ListedRowsTest, IgnoresInvalidFacts) {
  ViewItem fact = MakeListedFact(Engine("e"), base::Revision(3));
  const auto is_accepted = [&](const std::string& body, std::uint64_t epoch) {
    fact.body = body;
    fact.version.epoch = epoch;
    return ApplyNewerFacts(List(0, {}), {fact})->revision.value() > 0;
  };
  const std::string good = fact.body;
  EXPECT_TRUE(is_accepted(good, 3));
  EXPECT_FALSE(is_accepted(good, ~std::uint64_t{0}));
  EXPECT_FALSE(is_accepted("[]", 3));
  EXPECT_FALSE(is_accepted("{", 3));
  EXPECT_FALSE(
      is_accepted(R"({"a":"127.0.0.1","p":70000,"s":"llm","z":"a"})", 3));
  EXPECT_FALSE(is_accepted(R"({"a":"127.0.0.1","p":7,"z":"a"})", 3));
}

TEST(ListedRowsTest, DoesNotPublishOversizedOrDuplicateRows) {
  const ListedTarget big = Engine(std::string(kMaxViewKeyBytes + 1, 'e'));
  const auto list = List(1, {big, Engine("e", 1), Engine("e", 2)});
  const auto published = FactsToPublish(*list, {}, 100);
  ASSERT_EQ(published.size(), 1u);
  EXPECT_TRUE(
      FactsToPublish(*list, {MakeListedFact(Engine("e", 1), base::Revision(1))},
                     100)
          .empty());
  EXPECT_TRUE(FactsToPublish(*List(0, {Engine("e")}), {}, 100).empty());
}

// Publishes some of a series of lists through a store in small batches. An
// instance without a list sees the latest published one, no fact is published
// twice, and an outdated list changes nothing.
RC_GTEST_PROP(ListedRowsProperty, StoreFollowsThePublishedLists, ()) {
  ViewStore store(DefaultViewRules(),
                  [] { return base::Time{std::chrono::hours(1)}; });
  const auto held = [&] { return store.Snapshot(ViewKind::kListed); };
  const auto publish = [&](const InstanceTable& list) {
    std::size_t published = 0;
    for (auto facts = FactsToPublish(list, held(), 2); !facts.empty();
         facts = FactsToPublish(list, held(), 2)) {
      for (const ViewItem& fact : facts) {
        RC_ASSERT(store.Merge(fact) == MergeResult::kNewer);
      }
      published += facts.size();
    }
    return published;
  };
  Handle before = List(0, {});
  for (std::int64_t revision = 1; revision < 12; ++revision) {
    std::vector<ListedTarget> rows;
    for (int i = 0; i < 5; ++i) {
      // 0: not listed.
      if (const int port = *rc::gen::inRange(0, 3); port != 0) {
        rows.push_back(Engine(std::to_string(i), port));
      }
    }
    const Handle list = List(revision, rows);
    if (*rc::gen::arbitrary<bool>()) {
      publish(*list);
      RC_ASSERT(PortsOf(*ApplyNewerFacts(List(0, {}), held())) ==
                PortsOf(*list));
      // Publishing again adds nothing, and an outdated list changes nothing.
      RC_ASSERT(publish(*list) == 0u);
      RC_ASSERT(PortsOf(*ApplyNewerFacts(before, held())) == PortsOf(*list));
      before = list;
    }
  }
}

}  // namespace
}  // namespace lynxglade::process
