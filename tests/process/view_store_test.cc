#include "process/view_store.h"

#include <chrono>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::process {
namespace {

using std::chrono::hours;
using std::chrono::minutes;

class ViewStoreTest : public ::testing::Test {
 protected:
  ViewItem Item(ViewKind kind,
                const std::string& key,
                std::uint64_t epoch,
                const std::string& body = "{}") const {
    return {kind, key, {epoch, 0}, base::InstanceId("source"), now_, body};
  }

  base::Time now_{hours(1)};
  ViewStore store_{DefaultViewRules(), [this] { return now_; }};
};

TEST_F(ViewStoreTest, MergesOnlyNewerVersions) {
  EXPECT_EQ(store_.Merge(Item(ViewKind::kTarget, "t", 2)), MergeResult::kNewer);
  EXPECT_EQ(store_.Merge(Item(ViewKind::kTarget, "t", 2)), MergeResult::kKnown);
  EXPECT_EQ(store_.Merge(Item(ViewKind::kTarget, "t", 1)), MergeResult::kOlder);
  EXPECT_EQ(store_.Merge(Item(ViewKind::kTarget, "t", 3)), MergeResult::kNewer);
  EXPECT_EQ(store_.Find({ViewKind::kTarget, "t"})->version.epoch, 3u);
}

TEST_F(ViewStoreTest, EqualVersionsConvergeInAnyOrder) {
  ViewStore other(DefaultViewRules(), [this] { return now_; });
  store_.Merge(Item(ViewKind::kTarget, "t", 1, "one"));
  store_.Merge(Item(ViewKind::kTarget, "t", 1, "two"));
  other.Merge(Item(ViewKind::kTarget, "t", 1, "two"));
  other.Merge(Item(ViewKind::kTarget, "t", 1, "one"));
  EXPECT_EQ(store_.Find({ViewKind::kTarget, "t"})->body,
            other.Find({ViewKind::kTarget, "t"})->body);
  EXPECT_EQ(store_.Digest().buckets, other.Digest().buckets);
}

TEST_F(ViewStoreTest, LateCopyOfExpiredFactIsRejected) {
  const ViewItem old = Item(ViewKind::kInstance, "i", 1);
  store_.Merge(old);
  now_ += minutes(16);
  EXPECT_EQ(store_.Merge(old), MergeResult::kExpired);
  EXPECT_EQ(store_.Expire(), 1u);
  // A late copy with an understated age.
  ViewItem late = old;
  late.as_of = now_;
  EXPECT_EQ(store_.Merge(late), MergeResult::kOlder);
  late.version.epoch = 2;
  EXPECT_EQ(store_.Merge(late), MergeResult::kNewer);
}

TEST_F(ViewStoreTest, FullKindKeepsHighestVersionsOrRejects) {
  ViewRules rules = DefaultViewRules();
  rules[static_cast<std::size_t>(ViewKind::kConfigDelta)].max_items = 2;
  rules[static_cast<std::size_t>(ViewKind::kTarget)].max_items = 1;
  ViewStore store(rules, [this] { return now_; });
  for (std::uint64_t revision = 1; revision <= 4; ++revision) {
    store.Merge(
        Item(ViewKind::kConfigDelta, std::to_string(revision), revision));
  }
  EXPECT_EQ(store.count(ViewKind::kConfigDelta), 2u);
  EXPECT_NE(store.Find({ViewKind::kConfigDelta, "4"}), nullptr);
  EXPECT_EQ(store.Merge(Item(ViewKind::kConfigDelta, "2", 2)),
            MergeResult::kOlder);
  EXPECT_EQ(store.Merge(Item(ViewKind::kTarget, "a", 1)), MergeResult::kNewer);
  EXPECT_EQ(store.Merge(Item(ViewKind::kTarget, "b", 1)), MergeResult::kFull);
}

// Brings `to` up to date with `from` by digest, summary and facts.
void Synchronise(const ViewStore& from, ViewStore* to) {
  for (const SummaryBucket& bucket : to->SummaryOfDifferences(from.Digest())) {
    for (const ViewName& name : from.NamesToSend(bucket)) {
      to->Merge(*from.Find(name));
    }
  }
}

RC_GTEST_PROP(ViewStoreProperty, ExchangeInBothDirectionsMakesStoresEqual, ()) {
  const base::Time now{hours(1)};
  const auto clock = [now] { return now; };
  ViewStore a(DefaultViewRules(), clock);
  ViewStore b(DefaultViewRules(), clock);
  const int count = *rc::gen::inRange(0, 60);
  for (int i = 0; i < count; ++i) {
    const ViewItem item{
        *rc::gen::element(ViewKind::kTarget, ViewKind::kQuarantine),
        std::to_string(*rc::gen::inRange(0, 12)),
        {*rc::gen::inRange<std::uint64_t>(1, 4), 0},
        base::InstanceId("source"),
        now,
        std::to_string(*rc::gen::inRange(0, 3))};
    (*rc::gen::arbitrary<bool>() ? a : b).Merge(item);
  }
  Synchronise(a, &b);
  Synchronise(b, &a);
  RC_ASSERT(a.Digest().buckets == b.Digest().buckets);
  RC_ASSERT(a.count(ViewKind::kTarget) == b.count(ViewKind::kTarget));
  RC_ASSERT(a.SummaryOfDifferences(b.Digest()).empty());
}

}  // namespace
}  // namespace lynxglade::process
