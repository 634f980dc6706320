#include "process/lease_keeper.h"

#include <gtest/gtest.h>

namespace lynxglade::process {
namespace {

using connection::KvEntry;
using connection::KvError;
using connection::KvLeaseId;
using connection::KvRange;
using connection::KvTxnResult;
using std::chrono::seconds;

const base::Time kStart{std::chrono::hours(1)};

class LeaseKeeperTest : public testing::Test {
 protected:
  LeaseKeeperTest() : keeper_(Settings(), base::SeededRandom(1)) {}

  static LeaseSettings Settings() {
    LeaseSettings settings;
    settings.key = "/lease";
    settings.holder = base::InstanceId("me");
    settings.ttl = seconds(30);
    settings.margin = seconds(10);
    return settings;
  }

  // Reads an absent key and gets a lease of the service at `sent`; returns the
  // value that the create would store.
  std::string Grant(base::Time sent) {
    EXPECT_EQ(keeper_.Next(sent)->kind, LeaseCallKind::kRead);
    keeper_.OnRead(sent, KvRange{}, KvError::kNone);
    EXPECT_EQ(keeper_.Next(sent)->kind, LeaseCallKind::kGrant);
    keeper_.OnGrant(sent, KvLeaseId(5), KvError::kNone);
    const auto create = keeper_.Next(sent);
    EXPECT_EQ(create->kind, LeaseCallKind::kCreate);
    return create->value;
  }

  static KvTxnResult Committed(std::int64_t revision) {
    KvTxnResult result;
    result.committed = true;
    result.revision = base::Revision(revision);
    return result;
  }

  static KvRange Found(const std::string& value, std::int64_t revision) {
    KvEntry entry;
    entry.key = "/lease";
    entry.value = value;
    entry.create_revision = base::Revision(revision);
    return {{entry}, base::Revision(revision)};
  }

  LeaseKeeper keeper_;
};

TEST_F(LeaseKeeperTest, CountsFromWhenCallsWereSentNotAnswered) {
  Grant(kStart);
  // The answer took 12 s; the service has counted since the grant.
  keeper_.OnCreate(kStart + seconds(12), Committed(40), KvError::kNone);
  EXPECT_EQ(keeper_.MayOrder(kStart + seconds(19)), base::FencingToken(40));
  EXPECT_FALSE(keeper_.MayOrder(kStart + seconds(20)));
  // A renewal sent at 13 s and answered at 25 s holds until 13 + 30 - 10.
  EXPECT_EQ(keeper_.Next(kStart + seconds(13))->kind,
            LeaseCallKind::kKeepAlive);
  keeper_.OnKeepAlive(kStart + seconds(25), seconds(30), KvError::kNone);
  EXPECT_TRUE(keeper_.MayOrder(kStart + seconds(32)));
  EXPECT_FALSE(keeper_.MayOrder(kStart + seconds(33)));
}

TEST_F(LeaseKeeperTest, LostAnswerOfAClaimIsFoundByItsMark) {
  const std::string value = Grant(kStart);
  keeper_.OnCreate(kStart, std::nullopt, KvError::kAmbiguous);
  EXPECT_EQ(keeper_.state(), LeaseState::kUncertain);
  EXPECT_FALSE(keeper_.MayOrder(kStart));
  EXPECT_EQ(keeper_.Next(kStart)->kind, LeaseCallKind::kRead);
  keeper_.OnRead(kStart, Found(value, 77), KvError::kNone);
  EXPECT_EQ(keeper_.MayOrder(kStart), base::FencingToken(77));
}

TEST_F(LeaseKeeperTest, ClaimThatIsNotThereIsMadeHarmless) {
  Grant(kStart);
  keeper_.OnCreate(kStart, std::nullopt, KvError::kAmbiguous);
  keeper_.Next(kStart);
  keeper_.OnRead(kStart, KvRange{}, KvError::kNone);
  // The create may still arrive; without its lease it can't take effect.
  EXPECT_EQ(keeper_.Next(kStart)->kind, LeaseCallKind::kRevoke);
  EXPECT_FALSE(keeper_.MayOrder(kStart));
}

TEST_F(LeaseKeeperTest, AnothersKeyIsNotAdopted) {
  Grant(kStart);
  keeper_.OnCreate(kStart, std::nullopt, KvError::kAmbiguous);
  keeper_.Next(kStart);
  keeper_.OnRead(kStart, Found(R"({"holder":"you","mark":"x"})", 78),
                 KvError::kNone);
  EXPECT_FALSE(keeper_.MayOrder(kStart));
  EXPECT_EQ(keeper_.holder()->id, base::InstanceId("you"));
}

TEST_F(LeaseKeeperTest, WakesAfterItsLeaseWithoutAuthority) {
  Grant(kStart);
  keeper_.OnCreate(kStart, Committed(40), KvError::kNone);
  const base::Time late = kStart + std::chrono::minutes(5);
  EXPECT_FALSE(keeper_.MayOrder(late));
  EXPECT_EQ(keeper_.Next(late)->kind, LeaseCallKind::kKeepAlive);
  EXPECT_EQ(keeper_.state(), LeaseState::kUncertain);
  keeper_.OnKeepAlive(late, base::Duration::zero(), KvError::kNone);
  EXPECT_EQ(keeper_.state(), LeaseState::kLost);
}

TEST_F(LeaseKeeperTest, PlannedStopGivesTheLeaseBack) {
  Grant(kStart);
  keeper_.OnCreate(kStart, Committed(40), KvError::kNone);
  keeper_.Release();
  EXPECT_FALSE(keeper_.MayOrder(kStart));
  EXPECT_FALSE(keeper_.released());
  EXPECT_EQ(keeper_.Next(kStart)->kind, LeaseCallKind::kRevoke);
  keeper_.OnRevoke(kStart, true);
  EXPECT_TRUE(keeper_.released());
  EXPECT_FALSE(keeper_.Next(kStart));
}

}  // namespace
}  // namespace lynxglade::process
