#include "process/shard_lease.h"

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

class ShardLeaseTest : public testing::Test {
 protected:
  ShardLeaseTest() : lease_(Settings(), base::SeededRandom(1)) {}

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
    EXPECT_EQ(lease_.Next(sent)->kind, LeaseCallKind::kRead);
    lease_.OnRead(sent, KvRange{}, KvError::kNone);
    EXPECT_EQ(lease_.Next(sent)->kind, LeaseCallKind::kGrant);
    lease_.OnGrant(sent, KvLeaseId(5), KvError::kNone);
    const auto create = lease_.Next(sent);
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

  ShardLease lease_;
};

TEST_F(ShardLeaseTest, ExpiryCountsFromWhenTheCallWasSent) {
  Grant(kStart);
  // The answer took 12 s; the TTL counts from the grant.
  lease_.OnCreate(kStart + seconds(12), Committed(40), KvError::kNone);
  EXPECT_EQ(lease_.FenceForOrders(kStart + seconds(19)),
            base::FencingToken(40));
  EXPECT_FALSE(lease_.FenceForOrders(kStart + seconds(20)));
  // A renewal sent at 13 s and answered at 25 s holds until 13 + 30 - 10.
  EXPECT_EQ(lease_.Next(kStart + seconds(13))->kind, LeaseCallKind::kKeepAlive);
  lease_.OnKeepAlive(kStart + seconds(25), seconds(30), KvError::kNone);
  EXPECT_TRUE(lease_.FenceForOrders(kStart + seconds(32)));
  EXPECT_FALSE(lease_.FenceForOrders(kStart + seconds(33)));
}

TEST_F(ShardLeaseTest, AcquiresAfterLostAnswerIfTheKeyHasItsId) {
  const std::string value = Grant(kStart);
  lease_.OnCreate(kStart, std::nullopt, KvError::kAmbiguous);
  EXPECT_EQ(lease_.state(), LeaseState::kUncertain);
  EXPECT_FALSE(lease_.FenceForOrders(kStart));
  EXPECT_EQ(lease_.Next(kStart)->kind, LeaseCallKind::kRead);
  lease_.OnRead(kStart, Found(value, 77), KvError::kNone);
  EXPECT_EQ(lease_.FenceForOrders(kStart), base::FencingToken(77));
}

TEST_F(ShardLeaseTest, RevokesItsLeaseIfAnUnansweredCreateIsNotFound) {
  Grant(kStart);
  lease_.OnCreate(kStart, std::nullopt, KvError::kAmbiguous);
  lease_.Next(kStart);
  lease_.OnRead(kStart, KvRange{}, KvError::kNone);
  // The create may still arrive; revoking the lease keeps it from taking
  // effect.
  EXPECT_EQ(lease_.Next(kStart)->kind, LeaseCallKind::kRevoke);
  EXPECT_FALSE(lease_.FenceForOrders(kStart));
}

TEST_F(ShardLeaseTest, DoesNotAcquireWithAnotherHoldersKey) {
  Grant(kStart);
  lease_.OnCreate(kStart, std::nullopt, KvError::kAmbiguous);
  lease_.Next(kStart);
  lease_.OnRead(kStart, Found(R"({"holder":"you","mark":"x"})", 78),
                KvError::kNone);
  EXPECT_FALSE(lease_.FenceForOrders(kStart));
  EXPECT_EQ(lease_.holder()->id, base::InstanceId("you"));
}

TEST_F(ShardLeaseTest, HasNoFenceAfterExpiryUntilRenewed) {
  Grant(kStart);
  lease_.OnCreate(kStart, Committed(40), KvError::kNone);
  const base::Time late = kStart + std::chrono::minutes(5);
  EXPECT_FALSE(lease_.FenceForOrders(late));
  EXPECT_EQ(lease_.Next(late)->kind, LeaseCallKind::kKeepAlive);
  EXPECT_EQ(lease_.state(), LeaseState::kUncertain);
  lease_.OnKeepAlive(late, base::Duration::zero(), KvError::kNone);
  EXPECT_EQ(lease_.state(), LeaseState::kLost);
}

TEST_F(ShardLeaseTest, ReleaseRevokesTheLease) {
  Grant(kStart);
  lease_.OnCreate(kStart, Committed(40), KvError::kNone);
  lease_.Release();
  EXPECT_FALSE(lease_.FenceForOrders(kStart));
  EXPECT_FALSE(lease_.released());
  EXPECT_EQ(lease_.Next(kStart)->kind, LeaseCallKind::kRevoke);
  lease_.OnRevoke(kStart, true);
  EXPECT_TRUE(lease_.released());
  EXPECT_FALSE(lease_.Next(kStart));
}

}  // namespace
}  // namespace lynxglade::process
