#include "version/config_tracker.h"

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "version/sample.h"

namespace lynxglade::version {
namespace {

// A sequence of accepted configurations with the deltas between them.
struct History {
  std::vector<ConfigSnapshot> states{ConfigSnapshot{}};
  // deltas[i] leads from states[i] to states[i + 1].
  std::vector<ChainedDelta> deltas;

  void Grow() {
    Configuration next = *states.back().configuration;
    if (states.size() == 1) {
      next = SampleConfiguration();
    } else {
      Mutate(&next);
    }
    Add(next);
  }
  void Add(Configuration next) {
    const ConfigSnapshot& last = states.back();
    const ConfigDelta delta = MakeDelta(*last.configuration, next);
    next.revision = delta.revision;
    deltas.push_back(MakeChainedDelta(delta, last.digest));
    states.push_back({std::make_shared<const Configuration>(std::move(next)),
                      deltas.back().digest});
  }
  ConfigHead HeadAt(std::size_t n) const {
    return {states[n].revision(), states[n].digest, {}, 0, ""};
  }
};

struct Fixture {
  base::Metrics metrics;
  std::vector<base::Revision> applied;
  std::vector<base::Revision> published;
  ConfigTracker tracker{
      {[] { return base::Time{}; },
       [this](const ConfigSnapshot& it) { applied.push_back(it.revision()); },
       [this](base::Revision revision, const ChainedDelta&) {
         published.push_back(revision);
       },
       {}},
      metrics};
};

// Offers heads, deltas and snapshots in random order, repeatedly and mixed with
// corrupted deltas.
RC_GTEST_PROP(ConfigTrackerTest, RevisionOnlyIncreasesAlongTheHistory, ()) {
  History history;
  const auto length = *rc::gen::inRange<std::size_t>(1, 12);
  for (std::size_t i = 0; i < length; ++i) {
    history.Grow();
  }
  Fixture fixture;
  ConfigTracker& tracker = fixture.tracker;
  base::Revision last{0};
  for (int step = *rc::gen::inRange(0, 60); step > 0; --step) {
    const auto n = *rc::gen::inRange<std::size_t>(0, length);
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        tracker.OfferHead(history.HeadAt(n + 1), ConfigSource::kPeer);
        break;
      case 1:
        tracker.OfferSnapshot(history.states[n + 1], ConfigSource::kPeer);
        break;
      case 2: {
        ChainedDelta altered = history.deltas[n];
        altered.text += " ";
        RC_ASSERT(tracker.OfferDelta(altered, ConfigSource::kPeer) ==
                  OfferResult::kMalformed);
        break;
      }
      default:
        tracker.OfferDelta(history.deltas[n], ConfigSource::kPeer);
    }
    const ConfigSnapshot current = tracker.GetSnapshot();
    RC_ASSERT(current.revision() >= last);
    last = current.revision();
    const auto at = static_cast<std::size_t>(last.value());
    RC_ASSERT(current.digest == history.states[at].digest);
    RC_ASSERT(*current.configuration == *history.states[at].configuration);
    RC_ASSERT(*tracker.Get() == *current.configuration);
  }
  // Offering all deltas in reverse order reaches the newest revision.
  for (auto it = history.deltas.rbegin(); it != history.deltas.rend(); ++it) {
    tracker.OfferDelta(*it, ConfigSource::kPeer);
  }
  RC_ASSERT(tracker.Get()->revision.value() ==
            static_cast<std::int64_t>(length));
  RC_ASSERT(!tracker.behind());
  RC_ASSERT(tracker.ready());
  RC_ASSERT(std::ranges::is_sorted(fixture.applied));
  RC_ASSERT(std::ranges::adjacent_find(fixture.published) ==
            fixture.published.end());
}

TEST(ConfigTrackerTest, OlderHeadFromServiceIsRejectedAndCounted) {
  History history;
  history.Grow();
  Configuration next = *history.states.back().configuration;
  next.contracts.erase(base::ContractId("parish"));
  history.Add(next);
  Fixture fixture;
  ConfigTracker& tracker = fixture.tracker;
  tracker.OfferSnapshot(history.states[2], ConfigSource::kPeer);
  // A head read before the current revision was applied is late, not older.
  EXPECT_EQ(tracker.OfferHead(history.HeadAt(1), ConfigSource::kService,
                              base::Revision(1)),
            OfferResult::kKnown);
  EXPECT_FALSE(tracker.service_is_behind());
  EXPECT_EQ(tracker.OfferHead(history.HeadAt(1), ConfigSource::kService,
                              base::Revision(2)),
            OfferResult::kOlder);
  EXPECT_TRUE(tracker.service_is_behind());
  EXPECT_EQ(tracker.Get()->revision, base::Revision(2));
  EXPECT_EQ(fixture.metrics.CounterValue(
                "lynxglade_config_offers_total",
                {{"what", "head"}, {"source", "service"}, {"result", "older"}}),
            1u);
}

TEST(ConfigTrackerTest, DifferentHistoryIsRejected) {
  History history;
  history.Grow();
  History other = history;
  Configuration next = *history.states.back().configuration;
  next.contracts.erase(base::ContractId("parish"));
  history.Add(next);
  Configuration diverging = *other.states.back().configuration;
  diverging.contracts.erase(base::ContractId("archive"));
  other.Add(diverging);
  // Changes only a part that both histories have in common.
  diverging.services.begin()->second.role_change_price = 99;
  other.Add(diverging);

  Fixture fixture;
  ConfigTracker& tracker = fixture.tracker;
  tracker.OfferSnapshot(history.states[2], ConfigSource::kPeer);
  EXPECT_EQ(tracker.OfferDelta(other.deltas[1], ConfigSource::kService),
            OfferResult::kForked);
  EXPECT_EQ(tracker.OfferDelta(other.deltas[2], ConfigSource::kService),
            OfferResult::kForked);
  EXPECT_TRUE(tracker.forked());
  EXPECT_EQ(tracker.GetSnapshot().digest, history.states[2].digest);
}

TEST(ConfigTrackerTest, NewInstanceIsNotReadyWithoutConfiguration) {
  History history;
  history.Grow();
  Fixture fixture;
  ConfigTracker& tracker = fixture.tracker;
  EXPECT_FALSE(tracker.ready());
  tracker.OfferHead(history.HeadAt(1), ConfigSource::kPeer);
  // A service that lost all data reports that nothing was ever accepted.
  tracker.MarkStoreEmpty();
  EXPECT_FALSE(tracker.ready());
  EXPECT_TRUE(tracker.service_is_behind());
  EXPECT_EQ(tracker.OfferEncodedSnapshot("{}", ConfigSource::kPeer),
            OfferResult::kMalformed);
  EXPECT_EQ(tracker.OfferEncodedSnapshot(EncodeSnapshot(history.states[1]),
                                         ConfigSource::kPeer),
            OfferResult::kApplied);
  EXPECT_TRUE(tracker.ready());
}

}  // namespace
}  // namespace lynxglade::version
