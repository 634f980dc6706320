#include "process/peers/prefill_sharing.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "process/peers/peer_fixture.h"

namespace lynxglade::process::peers {
namespace {

using request::passthrough::EngineEntry;
using request::passthrough::EngineTable;
using request::passthrough::KeyOf;
using request::passthrough::PeerPrefill;
using request::passthrough::PeerPrefills;
namespace asio = connection::event::asio;
using Udp = asio::ip::udp;

const base::TargetId kEngine("e1");

RC_GTEST_PROP(PrefillReport, RoundTrip, ()) {
  std::vector<PeerPrefill> prefills;
  const int n = *rc::gen::inRange(0, 50);
  for (int i = 0; i < n; ++i) {
    prefills.push_back({*rc::gen::arbitrary<std::uint32_t>(),
                        *rc::gen::inRange(0, 10),
                        *rc::gen::inRange<std::int64_t>(0, 100'000'000)});
  }
  const auto read = DecodePrefills(EncodePrefills(prefills));
  RC_ASSERT(read.has_value());
  RC_ASSERT(*read == prefills);
}

RC_GTEST_PROP(PrefillReport, CorruptedBytesAreRejectedOrBounded, ()) {
  std::string bytes = EncodePrefills({{1, 2, 3}, {4, 5, 6'000'000}});
  const int changes = *rc::gen::inRange(1, 6);
  for (int i = 0; i < changes; ++i) {
    bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
        static_cast<char>(*rc::gen::inRange(0, 256));
  }
  const auto prefills = DecodePrefills(bytes);
  RC_ASSERT((!prefills || prefills->size() <= 200U));
}

TEST(PrefillReport, OtherVersionsAreRejected) {
  EXPECT_FALSE(DecodePrefills("\x81\x02"));
  EXPECT_TRUE(DecodePrefills("\x81\x01"));
  EXPECT_FALSE(DecodePrefills(""));
}

InstancePeer Peer(const std::string& name, const std::string& zone) {
  return {base::InstanceId(name), base::ZoneId(zone),
          Udp::endpoint(asio::ip::address_v4::loopback(), 1)};
}

TEST(SharingPeers, SmallFleetSharesAcrossZones) {
  const std::vector<InstancePeer> all{Peer("a1", "a"), Peer("a2", "a"),
                                      Peer("b1", "b")};
  const PrefillSharingOptions options{.instance = base::InstanceId("a1"),
                                      .zone = base::ZoneId("a")};
  EXPECT_EQ(SharingPeers(all, options).size(), 2U);
}

// Guards against each instance receiving hundreds of reports per second, most
// of them from other zones.
TEST(SharingPeers, LargeFleetSharesWithinTheZone) {
  std::vector<InstancePeer> all;
  for (int i = 0; i < 79; ++i) {
    all.push_back(Peer("i" + std::to_string(i), "z" + std::to_string(i % 5)));
  }
  const PrefillSharingOptions options{.instance = base::InstanceId("i0"),
                                      .zone = base::ZoneId("z0")};
  EXPECT_EQ(SharingPeers(all, options).size(), 15U);
}

class PrefillSharingTest : public PeerTest {
 protected:
  struct Instance : PeerParts {
    Instance(PrefillSharingTest& test, const std::string& name)
        : PeerParts(test, name),
          engines(base::Duration(0)),
          sharing(engines,
                  presence,
                  peers,
                  datagrams,
                  {.instance = base::InstanceId(name),
                   .zone = base::ZoneId("a"),
                   .period = std::chrono::milliseconds(2)},
                  base::BootClock::now) {
      EngineEntry entry;
      entry.id = kEngine;
      engines.Put(entry, base::Time());
    }
    std::int64_t Heard() const {
      return peers.PrefillTokens(kEngine, 9, base::BootClock::now());
    }

    EngineTable engines;
    PeerPrefills peers;
    PrefillSharing sharing;
  };
};

TEST_F(PrefillSharingTest, PeerSeesAndClearsPrefillTokens) {
  Instance a(*this, "a");
  Instance b(*this, "b");
  StartPeers({&a, &b});
  a.sharing.Start();
  b.sharing.Start();
  a.engines.Find(kEngine)->prefills[1].prefill_tokens = 700;
  store::RunUntil(loop_, [&] { return b.Heard() == 700; });
  EXPECT_EQ(a.Heard(), 0);
  a.engines.Find(kEngine)->prefills[1].prefill_tokens = 0;
  store::RunUntil(loop_, [&] { return b.Heard() == 0; });
}

TEST_F(PrefillSharingTest, DatagramFromUnknownEndpointIsIgnored) {
  Instance a(*this, "a");
  StartPeers({&a});
  a.sharing.Start();
  Udp::socket stranger(loop_,
                       Udp::endpoint(asio::ip::address_v4::loopback(), 0));
  stranger.send_to(
      asio::buffer('\x01' + EncodePrefills({{KeyOf(kEngine), 0, 5}})),
      a.endpoint);
  store::RunUntil(loop_, [&] {
    return a.Counted("lynxglade_peer_datagrams_total", "from_unknown") == 1;
  });
  EXPECT_EQ(a.Heard(), 0);
}

TEST_F(PrefillSharingTest, StartReportsPortInUse) {
  Instance a(*this, "a");
  StartPeers({&a});
  PeerDatagrams taken(loop_, a.presence, a.endpoint, a.metrics);
  std::string reason;
  EXPECT_FALSE(taken.Start(&reason));
  EXPECT_FALSE(reason.empty());
}

}  // namespace
}  // namespace lynxglade::process::peers
