#include "process/peers/tunnel_choice.h"

#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace lynxglade::process::peers {
namespace {

using connection::event::TunnelReply;
using request::passthrough::TargetGroup;
using std::chrono::milliseconds;

const base::Time kNow = base::Time() + std::chrono::hours(1);
const TargetGroup kGroup{base::ServiceName("s"), base::ZoneId("a")};
const TargetGroup kOtherGroup{base::ServiceName("s"), base::ZoneId("b")};

InstancePeer Peer(const std::string& id, const std::string& zone) {
  return {.instance = base::InstanceId(id), .zone = base::ZoneId(zone)};
}

class TunnelChoiceTest : public testing::Test {
 protected:
  std::string Choose(const std::vector<base::InstanceId>& tried = {},
                     base::Time now = kNow,
                     const TargetGroup& group = kGroup) {
    const auto peer = choice_.Choose(peers_, group, tried, now);
    return peer ? peer->instance.str() : "";
  }
  void Reply(const std::string& id, TunnelReply reply) {
    choice_.OnReply(base::InstanceId(id), kGroup, reply, kNow);
  }

  std::vector<InstancePeer> peers_{Peer("me", "a"), Peer("a1", "a"),
                                   Peer("a2", "a"), Peer("b1", "b"),
                                   Peer("b2", "b")};
  TunnelChoice choice_{
      {.instance = base::InstanceId("me"), .zone = base::ZoneId("a")},
      base::SeededRandom(1)};
};

TEST_F(TunnelChoiceTest, InstancesOfTheOwnZoneComeFirst) {
  for (int i = 0; i < 50; ++i) {
    EXPECT_EQ(Choose().front(), 'a');
  }
}

// Guards against a zone that is cut off as a whole: its instances ask each
// other only.
TEST_F(TunnelChoiceTest, AfterOneOfTheOwnZoneOtherZonesAreAsked) {
  for (int i = 0; i < 50; ++i) {
    EXPECT_EQ(Choose({base::InstanceId("a1")}).front(), 'b');
  }
  EXPECT_EQ(Choose({base::InstanceId("a1"), base::InstanceId("b1"),
                    base::InstanceId("b2")}),
            "a2");
}

TEST_F(TunnelChoiceTest, InstanceThatIsCutOffIsLeftOutForItsGroup) {
  Reply("a1", TunnelReply::kNoOwnWay);
  Reply("a2", TunnelReply::kNoOwnWay);
  EXPECT_TRUE(choice_.IsCutOff(kGroup, kNow));
  for (int i = 0; i < 50; ++i) {
    EXPECT_EQ(Choose().front(), 'b');
    EXPECT_EQ(Choose({}, kNow, kOtherGroup).front(), 'a');
    EXPECT_EQ(Choose({}, kNow + milliseconds(1000)).front(), 'a');
  }
  EXPECT_FALSE(choice_.IsCutOff(kGroup, kNow + milliseconds(1000)));
}

TEST_F(TunnelChoiceTest, BusyInstanceIsLeftOutForAll) {
  for (const TunnelReply it : {TunnelReply::kBusy, TunnelReply::kNoReply}) {
    Reply("a1", it);
    for (int i = 0; i < 50; ++i) {
      EXPECT_EQ(Choose(), "a2");
      EXPECT_EQ(Choose({}, kNow, kOtherGroup), "a2");
    }
  }
}

TEST_F(TunnelChoiceTest, NoneIsLeftIfAllAreTried) {
  peers_ = {Peer("me", "a"), Peer("a1", "a")};
  EXPECT_EQ(Choose({base::InstanceId("a1")}), "");
}

TEST_F(TunnelChoiceTest, TunnelsAreSpread) {
  peers_ = {Peer("me", "b")};
  for (int i = 0; i < 20; ++i) {
    peers_.push_back(Peer("p" + std::to_string(i), "a"));
  }
  std::map<std::string, int> chosen;
  for (int i = 0; i < 400; ++i) {
    const std::string id = Choose();
    ++chosen[id];
    Reply(id, TunnelReply::kOpened);
  }
  for (const auto& [id, n] : chosen) {
    EXPECT_LE(n, 2 * 400 / 20) << id;
  }
}

}  // namespace
}  // namespace lynxglade::process::peers
