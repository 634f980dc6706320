#include "process/peers/share_sharing.h"

#include <chrono>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/random.h"
#include "process/peers/peer_fixture.h"

namespace lynxglade::process::peers {
namespace {

using request::passthrough::RouteShares;
using request::passthrough::ServedShares;
namespace asio = connection::event::asio;
using Udp = asio::ip::udp;

const base::ServiceName kService("llm");

RC_GTEST_PROP(ShareReport, RoundTrip, ()) {
  std::vector<RouteShares> shares;
  const int n = *rc::gen::inRange(0, 60);
  for (int i = 0; i < n; ++i) {
    RouteShares route{*rc::gen::arbitrary<std::uint32_t>(), {}};
    for (auto& it : route.counts) {
      it.seen = *rc::gen::inRange(0, 100'000);
      it.served = *rc::gen::inRange(0, static_cast<int>(it.seen) + 1);
    }
    shares.push_back(route);
  }
  const auto read = DecodeShares(EncodeShares(shares));
  RC_ASSERT(read.has_value());
  RC_ASSERT(read->size() == shares.size());
  for (std::size_t i = 0; i < shares.size(); ++i) {
    RC_ASSERT((*read)[i].route == shares[i].route);
    for (std::size_t k = 0; k < shares[i].counts.size(); ++k) {
      RC_ASSERT((*read)[i].counts[k].seen == shares[i].counts[k].seen);
      RC_ASSERT((*read)[i].counts[k].served == shares[i].counts[k].served);
    }
  }
}

RC_GTEST_PROP(ShareReport, CorruptedBytesAreRejectedOrBounded, ()) {
  std::string bytes = EncodeShares({{1, {}}, {2, {}}});
  const int changes = *rc::gen::inRange(1, 6);
  for (int i = 0; i < changes; ++i) {
    bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
        static_cast<char>(*rc::gen::inRange(0, 256));
  }
  const auto shares = DecodeShares(bytes);
  RC_ASSERT((!shares || shares->size() <= 60U));
}

TEST(ShareReport, MoreServedThanSeenIsRejected) {
  RouteShares route{1, {}};
  route.counts[0] = {1, 2};
  EXPECT_FALSE(DecodeShares(EncodeShares({route})));
}

class ShareSharingTest : public PeerTest {
 protected:
  struct Instance : PeerParts {
    Instance(ShareSharingTest& test,
             const std::string& name,
             std::vector<InstancePeer>& others,
             std::size_t max_receivers,
             base::Duration period)
        : PeerParts(test, name),
          shares(base::SeededRandom(1)),
          sharing(
              shares,
              datagrams,
              [&others] { return others; },
              {.period = period, .max_receivers = max_receivers},
              base::BootClock::now,
              base::SeededRandom(2)) {}
    // What it knows of the route, by what it would decide.
    double RouteShare() {
      return shares.Classify(kService, "album", 1'000, base::BootClock::now())
          .route_share;
    }

    ServedShares shares;
    ShareSharing sharing;
  };
};

// Guards against STARVED in fleets whose instances see too few requests of a
// kind to know by themselves.
TEST_F(ShareSharingTest, PeerLearnsWhichRouteIsServedTooRarely) {
  std::vector<InstancePeer> receivers;
  Instance a(*this, "a", receivers, 16, std::chrono::milliseconds(2));
  Instance b(*this, "b", receivers, 16, std::chrono::milliseconds(2));
  receivers = {b.Peer()};
  StartPeers({&a, &b});
  const base::Time now = base::BootClock::now();
  for (int i = 0; i < 100; ++i) {
    a.shares.RecordEnd(kService, "album", 1'000, i < 5, now);
    a.shares.RecordEnd(kService, "note", 1'000, true, now);
  }
  EXPECT_EQ(b.RouteShare(), 1);
  a.sharing.Start();
  b.sharing.Start();
  store::RunUntil(loop_, [&] { return b.RouteShare() < 0.3; });
}

// Guards against reports that grow with the number of instances.
TEST_F(ShareSharingTest, TellsABoundedNumberOfPeers) {
  std::vector<InstancePeer> receivers;
  Instance a(*this, "a", receivers, 2, std::chrono::hours(1));
  Instance b(*this, "b", receivers, 2, std::chrono::hours(1));
  Instance c(*this, "c", receivers, 2, std::chrono::hours(1));
  Instance d(*this, "d", receivers, 2, std::chrono::hours(1));
  StartPeers({&a, &b, &c, &d});
  receivers = {b.Peer(), c.Peer(), d.Peer()};
  a.shares.RecordEnd(kService, "album", 1'000, true, base::BootClock::now());
  const auto heard = [&] {
    std::int64_t sum = 0;
    for (Instance* it : {&b, &c, &d}) {
      sum += it->Counted("lynxglade_peer_datagrams_total", "heard");
    }
    return sum;
  };
  for (Instance* it : {&b, &c, &d}) {
    it->sharing.Start();
  }
  a.sharing.Start();
  store::RunUntil(loop_, [&] { return heard() == 2; });
  EXPECT_EQ(a.Counted("lynxglade_peer_datagrams_total", "sent"), 2);
}

}  // namespace
}  // namespace lynxglade::process::peers
