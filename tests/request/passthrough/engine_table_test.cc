#include "request/passthrough/engine_table.h"

#include <string>

#include <gtest/gtest.h>

namespace lynxglade::request::passthrough {
namespace {

using std::chrono::milliseconds;

constexpr base::Duration kGrace = milliseconds(2000);
const base::Time kNow = base::Time() + std::chrono::hours(1);
const base::ServiceName kService("llm");

EngineEntry Entry(const std::string& id) {
  EngineEntry entry;
  entry.id = base::TargetId(id);
  entry.service = kService;
  return entry;
}

TEST(EngineTable, AnEntryThatVanishesIsGoneAtOnce) {
  EngineTable table(kGrace);
  table.Put(Entry("a"), kNow);
  const EngineHandle held = table.Find(base::TargetId("a"));
  table.Remove(base::TargetId("a"), kNow);
  EXPECT_EQ(table.Find(base::TargetId("a")), nullptr);
  EXPECT_TRUE(table.OfService(kService).empty());
  // A request in flight that holds it sees that it takes nothing new.
  EXPECT_TRUE(held->entry.draining);
}

TEST(EngineTable, AfterTheStoreWasAwayMissingEntriesHaveTimeToReturn) {
  EngineTable table(kGrace);
  table.Put(Entry("a"), kNow);
  table.Put(Entry("b"), kNow);
  table.OnStoreReturned(kNow);
  table.Replace({}, kNow);
  EXPECT_EQ(table.OfService(kService).size(), 2U);
  table.Put(Entry("a"), kNow);
  table.Expire(kNow + kGrace);
  ASSERT_EQ(table.OfService(kService).size(), 1U);
  EXPECT_EQ(table.OfService(kService)[0]->entry.id.str(), "a");
}

TEST(EngineTable, TheGraceEndsForGood) {
  EngineTable table(kGrace);
  table.Put(Entry("a"), kNow);
  table.OnStoreReturned(kNow);
  table.Remove(base::TargetId("a"), kNow + kGrace);
  EXPECT_EQ(table.size(), 0U);
}

TEST(EngineTable, AListWithoutAnOutageDropsWhatIsMissing) {
  EngineTable table(kGrace);
  table.Put(Entry("a"), kNow);
  table.Replace({Entry("b")}, kNow);
  EXPECT_EQ(table.Find(base::TargetId("a")), nullptr);
  EXPECT_NE(table.Find(base::TargetId("b")), nullptr);
}

TEST(EngineTable, AChangedEntryKeepsWhatWasSeenOfTheLoad) {
  EngineTable table(kGrace);
  table.Put(Entry("a"), kNow);
  table.Find(base::TargetId("a"))->in_flight = 3;
  EngineEntry changed = Entry("a");
  changed.draining = true;
  table.Put(changed, kNow);
  EXPECT_EQ(table.Find(base::TargetId("a"))->in_flight, 3);
  EXPECT_TRUE(table.Find(base::TargetId("a"))->entry.draining);
}

}  // namespace
}  // namespace lynxglade::request::passthrough
