#include "fakes/fake_kv.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::fakes {
namespace {

using base::Revision;
using connection::KeyValue;
using connection::KvError;
using connection::KvEvent;
using connection::KvLeaseId;

constexpr base::Duration kTimeout = std::chrono::seconds(1);

// A service on a manual clock.
struct Service {
  base::Time now{std::chrono::seconds(1000)};
  FakeKv kv;
  KeyValue client;

  explicit Service(KvLimits limits = {})
      : kv([this] { return now; }, limits, base::SeededRandom(1)),
        client(MakeInProcessTransport(kv, "a"), kTimeout) {}

  bool Put(const std::string& key, const std::string& value) {
    KvError ec = KvError::kNone;
    return client.Commit({}, {{key, value, {}}}, &ec).has_value();
  }
  std::string Value(const std::string& key) {
    KvError ec = KvError::kNone;
    const auto range = client.Get(key, &ec);
    return range && !range->entries.empty() ? range->entries[0].value : "";
  }
};

// Concurrent read-then-compare-and-swap: at most one of the writers that read
// the same revision commits, and no update is lost.
RC_GTEST_PROP(FakeKvTest, CompareAndSwapLosesNoUpdate, ()) {
  Service service;
  constexpr int kWriters = 3;
  std::map<int, std::pair<Revision, int>> read;
  int expected = 0;
  const auto steps = *rc::gen::container<std::vector<std::pair<int, bool>>>(
      rc::gen::pair(rc::gen::inRange(0, kWriters), rc::gen::arbitrary<bool>()));
  for (const auto& [writer, commits] : steps) {
    KvError ec = KvError::kNone;
    if (!commits) {
      const auto range = service.client.Get("n", &ec);
      RC_ASSERT(range.has_value());
      const bool absent = range->entries.empty();
      read[writer] = {absent ? Revision(0) : range->entries[0].mod_revision,
                      absent ? 0 : std::stoi(range->entries[0].value)};
      continue;
    }
    const auto [revision, n] = read[writer];
    const auto result = service.client.Commit(
        {{"n", revision}}, {{"n", std::to_string(n + 1), {}}}, &ec);
    RC_ASSERT(result.has_value());
    RC_ASSERT(result->committed == (n == expected));
    expected += static_cast<int>(result->committed);
  }
  RC_ASSERT(service.Value("n") ==
            (expected == 0 ? "" : std::to_string(expected)));
}

TEST(FakeKvTest, ExpiredLeaseDeletesItsKeysUnlessKeptAlive) {
  Service service;
  KvError ec = KvError::kNone;
  const auto lease = service.client.GrantLease(std::chrono::seconds(5), &ec);
  ASSERT_TRUE(lease);
  ASSERT_TRUE(service.client.Commit({}, {{"held", "x", *lease}}, &ec));
  service.now += std::chrono::seconds(4);
  EXPECT_EQ(service.client.KeepAlive(*lease, &ec), std::chrono::seconds(5));
  service.now += std::chrono::seconds(4);
  EXPECT_EQ(service.Value("held"), "x");
  service.now += std::chrono::seconds(1);
  EXPECT_EQ(service.Value("held"), "");
  EXPECT_EQ(service.client.KeepAlive(*lease, &ec), base::Duration{});
  // A write with an expired lease changes nothing.
  EXPECT_FALSE(service.client.Commit(
      {}, {{"other", "y", {}}, {"held", "x", *lease}}, &ec));
  EXPECT_EQ(service.Value("other"), "");
}

TEST(FakeKvTest, KeyOverwrittenWithoutLeaseSurvivesItsExpiry) {
  Service service;
  KvError ec = KvError::kNone;
  const auto lease = service.client.GrantLease(std::chrono::seconds(5), &ec);
  ASSERT_TRUE(service.client.Commit({}, {{"k", "x", *lease}}, &ec));
  ASSERT_TRUE(service.Put("k", "kept"));
  service.now += std::chrono::seconds(6);
  EXPECT_EQ(service.Value("k"), "kept");
}

// A watch from any earlier revision receives each later change under its prefix
// exactly once, in order.
RC_GTEST_PROP(FakeKvTest, WatchResumesFromARevision, ()) {
  Service service;
  const auto keys =
      *rc::gen::nonEmpty(rc::gen::container<std::vector<std::string>>(
          rc::gen::element<std::string>("p/a", "p/b", "q/a")));
  std::vector<std::pair<Revision, std::string>> written;
  for (const std::string& key : keys) {
    service.Put(key, "v");
    written.emplace_back(service.kv.revision(), key);
  }
  const auto first = *rc::gen::inRange<std::size_t>(0, written.size());
  const Revision from = written[first].first;
  std::vector<std::pair<Revision, std::string>> expected;
  std::copy_if(written.begin() + static_cast<std::ptrdiff_t>(first),
               written.end(), std::back_inserter(expected),
               [](const auto& it) { return it.second.starts_with("p/"); });
  std::vector<std::pair<Revision, std::string>> seen;
  if (!expected.empty()) {
    const KvError ec = service.client.Watch(
        "p/", from, [&](const std::vector<KvEvent>& events, Revision) {
          for (const KvEvent& it : events) {
            seen.emplace_back(it.entry.mod_revision, it.entry.key);
          }
          return seen.size() < expected.size();
        });
    RC_ASSERT(ec == KvError::kNone);
  }
  RC_ASSERT(seen == expected);
}

TEST(FakeKvTest, LostAnswerIsAmbiguousAndMayHaveTakenEffect) {
  Service service;
  KvError ec = KvError::kNone;
  service.kv.ApplyFaults({{"lose_nth", 2}});
  EXPECT_TRUE(service.Put("k", "1"));
  EXPECT_FALSE(service.client.Commit({}, {{"k", "2", {}}}, &ec));
  EXPECT_EQ(ec, KvError::kAmbiguous);
  EXPECT_EQ(service.Value("k"), "2");
  service.kv.ApplyFaults({{"lose_request", 1}});
  EXPECT_FALSE(service.client.Commit({}, {{"k", "3", {}}}, &ec));
  EXPECT_EQ(ec, KvError::kAmbiguous);
  EXPECT_EQ(service.Value("k"), "2");
}

TEST(FakeKvTest, LoadingCopyRestoresStateAndEndsWatches) {
  Service service;
  service.Put("k", "old");
  service.kv.ApplyFaults({{"save_copy", true}});
  const Revision saved = service.kv.revision();
  service.Put("k", "new");
  const KvError ec =
      service.client.Watch("k", service.kv.revision() + Revision(1),
                           [&](const std::vector<KvEvent>&, Revision) {
                             service.kv.ApplyFaults({{"load_copy", true}});
                             return true;
                           });
  EXPECT_EQ(ec, KvError::kUnreachable);
  EXPECT_EQ(service.Value("k"), "old");
  EXPECT_EQ(service.kv.revision(), saved);
}

TEST(FakeKvTest, RateLimitRefusesWithoutEffectAndCutSourceReachesNothing) {
  Service service({.writes_per_s = 2, .reads_per_s = 0});
  KvError ec = KvError::kNone;
  EXPECT_TRUE(service.Put("k", "1"));
  EXPECT_TRUE(service.Put("k", "2"));
  EXPECT_FALSE(service.client.Commit({}, {{"k", "3", {}}}, &ec));
  EXPECT_EQ(ec, KvError::kRateLimited);
  EXPECT_EQ(service.Value("k"), "2");
  service.now += std::chrono::milliseconds(500);
  EXPECT_TRUE(service.Put("k", "3"));

  service.kv.Cut("a");
  EXPECT_FALSE(service.client.Get("k", &ec));
  EXPECT_EQ(ec, KvError::kUnreachable);
  const KeyValue other(MakeInProcessTransport(service.kv, "b"), kTimeout);
  EXPECT_TRUE(other.Get("k", &ec));
}

}  // namespace
}  // namespace lynxglade::fakes
