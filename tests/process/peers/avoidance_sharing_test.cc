#include "process/peers/avoidance_sharing.h"

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "process/peers/peer_fixture.h"

namespace lynxglade::process::peers {
namespace {

using request::passthrough::AvoidedEngine;
using request::passthrough::EngineEntry;
using request::passthrough::EngineTable;
using request::passthrough::PeerAvoidance;
using std::chrono::milliseconds;

const base::TargetId kEngine("e1");

RC_GTEST_PROP(AvoidedMessages, RoundTrip, ()) {
  std::vector<AvoidedEngine> avoided;
  const int n = *rc::gen::inRange(0, 100);
  for (int i = 0; i < n; ++i) {
    avoided.push_back({*rc::gen::arbitrary<std::uint32_t>(),
                       milliseconds(*rc::gen::inRange(0, 60'000))});
  }
  const auto read = DecodeAvoided(EncodeAvoided(avoided));
  RC_ASSERT(read.has_value());
  RC_ASSERT(*read == avoided);
}

RC_GTEST_PROP(AvoidedMessages,
              ArbitraryBytesAreRejectedOrBounded,
              (std::string bytes)) {
  std::string message = EncodeAvoided({{7, milliseconds(500)}});
  message[*rc::gen::inRange<std::size_t>(0, message.size())] =
      static_cast<char>(*rc::gen::inRange(0, 256));
  for (const auto& it : {bytes, message}) {
    const auto read = DecodeAvoided(it);
    const auto bounded = [&read] {
      return read->size() <= 200 &&
             std::ranges::all_of(*read, [](const AvoidedEngine& engine) {
               return engine.left <= milliseconds(60'000);
             });
    };
    RC_ASSERT((!read || bounded()));
  }
}

// Two instances. Each gets a peer list of `peers_` entries, all of them the
// other instance.
class AvoidanceSharingTest : public PeerTest {
 protected:
  struct Instance : PeerParts {
    Instance(AvoidanceSharingTest& test, const std::string& name)
        : PeerParts(test, name),
          engines(base::Duration(0)),
          sharing(
              engines,
              avoidance,
              datagrams,
              [&test, name] { return test.Others(name); },
              {.period = milliseconds(1)},
              base::BootClock::now) {
      EngineEntry entry;
      entry.id = kEngine;
      engines.Put(entry, base::Time());
    }
    std::int64_t Datagrams(const std::string& outcome) {
      return Counted("lynxglade_peer_datagrams_total", outcome);
    }

    EngineTable engines;
    // There is only one other instance to observe the failure.
    PeerAvoidance avoidance{
        {.min_observers = 1, .max_duration = std::chrono::hours(1)}};
    AvoidanceSharing sharing;
  };

  void SetUp() override {
    StartPeers({&first_, &second_});
    first_.sharing.Start();
    second_.sharing.Start();
  }
  std::vector<InstancePeer> Others(const std::string& name) const {
    const InstancePeer other = name == "first" ? second_.Peer() : first_.Peer();
    return std::vector<InstancePeer>(peers_, other);
  }
  // Makes the first instance avoid the engine for longer than a test runs.
  void Fail() {
    for (int i = 0; i < 5; ++i) {
      first_.engines.Find(kEngine)->health.OnFailure(base::BootClock::now());
    }
  }

  std::size_t peers_ = 8;
  Instance first_{*this, "first"};
  Instance second_{*this, "second"};
};

TEST_F(AvoidanceSharingTest, FailingTargetIsSentOnce) {
  Fail();
  store::RunUntil(loop_, [this] {
    return second_.avoidance.IsAvoided(kEngine, base::BootClock::now());
  });
  for (int i = 0; i < 100; ++i) {
    store::RunReady(loop_);
  }
  EXPECT_EQ(first_.Datagrams("sent"), 8);
  EXPECT_EQ(second_.Datagrams("sent"), 0);
}

// In a small fleet each instance observes enough failures itself.
TEST_F(AvoidanceSharingTest, SmallFleetSendsNothing) {
  peers_ = 7;
  Fail();
  for (int i = 0; i < 100; ++i) {
    store::RunReady(loop_);
  }
  EXPECT_EQ(first_.Datagrams("sent"), 0);
}

}  // namespace
}  // namespace lynxglade::process::peers
