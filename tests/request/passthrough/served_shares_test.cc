#include "request/passthrough/served_shares.h"

#include <chrono>
#include <cstdint>
#include <string>

#include <gtest/gtest.h>

#include "base/random.h"

namespace lynxglade::request::passthrough {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::ServiceName kService("llm");
const std::string kRoute = "drafts";
const base::Time kNow = base::Time() + std::chrono::hours(1);

// Sizes of 1 to 100; the largest tenth is above 90, the fifth below above 70.
class ServedSharesTest : public testing::Test {
 protected:
  // Offers requests of all sizes; those of the largest tenth are served as
  // often as `largest_served` says, all others always.
  void Offer(int rounds, double largest_served) {
    double due = 0;
    for (std::int64_t i = 0; i < 100 * rounds; ++i) {
      now_ += milliseconds(10);
      const std::int64_t size = 1 + i * 37 % 100;
      const ShareStanding standing = Standing(size);
      bool served = true;
      if (standing.size == SizeClass::kLargest) {
        due += largest_served;
        served = due >= 1;
        due -= served ? 1 : 0;
      }
      sizes_.RecordEnd(kService, kRoute, size, served, now_);
    }
  }
  ShareStanding Standing(std::int64_t size) {
    return sizes_.Classify(kService, kRoute, size, now_);
  }

  base::Time now_ = kNow;
  ServedShares sizes_{base::SeededRandom(1)};
};

TEST_F(ServedSharesTest, ClassesFollowRecentSizes) {
  Offer(3, 1);
  EXPECT_EQ(Standing(50).size, SizeClass::kTypical);
  EXPECT_EQ(Standing(80).size, SizeClass::kLarge);
  EXPECT_EQ(Standing(99).size, SizeClass::kLargest);
}

TEST_F(ServedSharesTest, WithoutSizesAllAreTypical) {
  EXPECT_EQ(Standing(1'000'000).size, SizeClass::kTypical);
}

TEST_F(ServedSharesTest, NothingIsWithheldAtTheStart) {
  EXPECT_EQ(Standing(50).capacity_fraction, 1);
  EXPECT_NEAR(Standing(50).deviations, ServedSharesOptions().max_deviations,
              0.2);
}

TEST_F(ServedSharesTest, NothingIsWithheldWhileAllAreServed) {
  Offer(6, 1);
  EXPECT_EQ(Standing(50).capacity_fraction, 1);
  EXPECT_EQ(Standing(99).capacity_fraction, 1);
  EXPECT_EQ(Standing(50).deviations, ServedSharesOptions().min_deviations);
}

// Guards against SIZES: smaller requests take what is scarce while the largest
// are served less than their share.
TEST_F(ServedSharesTest, SmallerRequestsGiveWayToLargestThatAreLeftOut) {
  Offer(5, 0.4);
  EXPECT_NEAR(Standing(50).capacity_fraction,
              1 - ServedSharesOptions().max_withheld, 0.1);
  EXPECT_LT(Standing(80).capacity_fraction, 1);
  EXPECT_EQ(Standing(99).capacity_fraction, 1);
  EXPECT_GT(Standing(50).deviations, 2);
}

// What cannot be served costs the others a bounded part.
TEST_F(ServedSharesTest, LargestThatAreNeverServedWithholdABoundedPart) {
  Offer(50, 0);
  EXPECT_GE(Standing(50).capacity_fraction,
            1 - ServedSharesOptions().max_withheld - 1e-9);
}

TEST_F(ServedSharesTest, PressureFallsOnceTheLargestAreServed) {
  Offer(5, 0.2);
  Offer(40, 1);
  EXPECT_EQ(Standing(50).capacity_fraction, 1);
}

TEST_F(ServedSharesTest, RoutesAreApart) {
  Offer(5, 0.2);
  EXPECT_EQ(sizes_.Classify(kService, "other", 1, now_).size,
            SizeClass::kTypical);
  EXPECT_LT(Standing(50).capacity_fraction,
            sizes_.Classify(kService, "other", 1, now_).capacity_fraction);
}

// Two kinds, of which one is served as often as `rare_served` says.
class ServedKindsTest : public testing::Test {
 protected:
  void Offer(int n, double rare_served) {
    double due = 0;
    for (int i = 0; i < n; ++i) {
      now_ += milliseconds(10);
      shares_.RecordEnd(kService, "note", 100, true, now_);
      due += rare_served;
      shares_.RecordEnd(kService, "album", 100, due >= 1, now_);
      due -= due >= 1 ? 1 : 0;
    }
  }
  ShareStanding Standing(const std::string& route) {
    return shares_.Classify(kService, route, 100, now_);
  }
  double GuaranteedPart(const std::string& route) {
    constexpr int kTries = 1'000;
    int guaranteed = 0;
    for (int i = 0; i < kTries; ++i) {
      guaranteed += Standing(route).guaranteed ? 1 : 0;
    }
    return static_cast<double>(guaranteed) / kTries;
  }

  base::Time now_ = kNow;
  ServedShares shares_{base::SeededRandom(1)};
};

// Guards against STARVED: the least urgent kind waits behind all others.
TEST_F(ServedKindsTest, RarelyServedKindIsMostUrgentInPart) {
  Offer(500, 0.18);
  // 0.18 of 0.59: between the whole and no guarantee.
  EXPECT_GT(GuaranteedPart("album"), 0.2);
  EXPECT_LT(GuaranteedPart("album"), 0.8);
  EXPECT_EQ(GuaranteedPart("note"), 0);
}

TEST_F(ServedKindsTest, HardlyServedKindIsAlwaysMostUrgent) {
  Offer(500, 0.02);
  EXPECT_EQ(GuaranteedPart("album"), 1);
  EXPECT_EQ(Standing("note").yields_to, "album");
  EXPECT_EQ(Standing("note").yield, 1);
}

// Above the floor priority decides.
TEST_F(ServedKindsTest, KindAboveItsFloorHasNoGuarantee) {
  Offer(500, 0.5);
  EXPECT_EQ(GuaranteedPart("album"), 0);
  EXPECT_EQ(Standing("note").yield, 0);
}

TEST_F(ServedKindsTest, GuaranteeEndsOnceTheKindIsServed) {
  Offer(500, 0.02);
  Offer(5'000, 1);
  EXPECT_EQ(GuaranteedPart("album"), 0);
}

// What peers have served counts, and is forgotten without new reports.
TEST_F(ServedKindsTest, ReportsOfPeersCountUntilTheyExpire) {
  ServedShares other{base::SeededRandom(2)};
  for (int i = 0; i < 100; ++i) {
    other.RecordEnd(kService, "note", 100, true, now_);
    other.RecordEnd(kService, "album", 100, false, now_);
  }
  shares_.Put(base::InstanceId("other"), other.Own(now_), now_);
  EXPECT_EQ(GuaranteedPart("album"), 1);
  now_ += std::chrono::seconds(6);
  EXPECT_EQ(GuaranteedPart("album"), 0);
}

}  // namespace
}  // namespace lynxglade::request::passthrough
