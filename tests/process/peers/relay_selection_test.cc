#include "process/peers/relay_selection.h"

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::process::peers {
namespace {

InstancePeer Peer(const std::string& name,
                  const std::string& zone = "a",
                  int link_mbps = 0) {
  InstancePeer peer;
  peer.instance = base::InstanceId(name);
  peer.zone = base::ZoneId(zone);
  peer.link_mbps = link_mbps;
  return peer;
}

std::vector<InstancePeer> Peers(int n, const std::string& zone = "a") {
  std::vector<InstancePeer> peers;
  for (int i = 0; i < n; ++i) {
    peers.push_back(Peer(zone + std::to_string(i), zone));
  }
  return peers;
}

RelaySelectionOptions OptionsOf(const InstancePeer& peer) {
  return {.instance = peer.instance,
          .zone = peer.zone,
          .link_mbps = peer.link_mbps};
}

void Append(std::vector<InstancePeer>& all, std::vector<InstancePeer> some) {
  std::ranges::move(some, std::back_inserter(all));
}

TEST(SelectRelays, FewInstancesHaveNoRelays) {
  EXPECT_TRUE(SelectRelays(Peers(7), OptionsOf(Peer("a0"))).empty());
  EXPECT_EQ(SelectRelays(Peers(8), OptionsOf(Peer("a0"))).size(), 2U);
}

TEST(SelectRelays, SelectsOnlyInstancesOfTheZone) {
  std::vector<InstancePeer> peers = Peers(8);
  Append(peers, Peers(50, "b"));
  for (const auto& it : SelectRelays(peers, OptionsOf(Peer("a0")))) {
    EXPECT_TRUE(it.str().starts_with("a"));
  }
}

// Zones of four instances each: they share one relay instead of watching each
// for itself.
TEST(SelectRelays, SmallZonesShareTheirRelays) {
  std::vector<InstancePeer> peers = Peers(4);
  Append(peers, Peers(4, "b"));
  Append(peers, Peers(30, "c"));
  const auto relays = SelectRelays(peers, OptionsOf(Peer("a0")));
  EXPECT_EQ(relays.size(), 2U);
  EXPECT_EQ(SelectRelays(peers, OptionsOf(Peer("b1", "b"))), relays);
  for (const auto& it : relays) {
    EXPECT_FALSE(it.str().starts_with("c"));
  }
}

TEST(SelectRelays, PrefersFastLinks) {
  std::vector<InstancePeer> peers = Peers(100);
  peers.push_back(Peer("fast0", "a", 200));
  peers.push_back(Peer("fast1", "a", 200));
  for (const auto& it : SelectRelays(peers, OptionsOf(peers[0]))) {
    EXPECT_TRUE(it.str().starts_with("fast"));
  }
}

// What one relay sends is bounded at any size of the zone.
RC_GTEST_PROP(SelectRelays, InstancesPerRelayAreBounded, ()) {
  const int n = *rc::gen::inRange(8, 2000);
  const auto relays = SelectRelays(Peers(n), OptionsOf(Peer("a0")));
  RC_ASSERT(n / static_cast<int>(relays.size()) <= 256);
}

// All instances select the same relays, and when an instance leaves, the other
// relays stay.
RC_GTEST_PROP(SelectRelays, IsConsistentAndStable, ()) {
  const int n = *rc::gen::inRange(10, 80);
  std::vector<InstancePeer> peers = Peers(n);
  const auto relays = SelectRelays(peers, OptionsOf(peers[0]));
  for (const InstancePeer& peer : peers) {
    RC_ASSERT(SelectRelays(peers, OptionsOf(peer)) == relays);
  }
  const auto gone = *rc::gen::inRange(0, n);
  const base::InstanceId gone_id = peers[gone].instance;
  peers.erase(peers.begin() + gone);
  const auto after = SelectRelays(peers, OptionsOf(peers[0]));
  for (const base::InstanceId& it : relays) {
    RC_ASSERT((it == gone_id || std::ranges::find(after, it) != after.end()));
  }
}

}  // namespace
}  // namespace lynxglade::process::peers
