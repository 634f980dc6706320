#include "request/passthrough/named_limit.h"

#include <chrono>

#include <gtest/gtest.h>

namespace lynxglade::request::passthrough {
namespace {

using std::chrono::seconds;
using Change = NamedLimit::Change;

LimitStatement Named(double rate) {
  return {.kind = LimitStatement::Kind::kNamed, .rate = base::PerSecond(rate)};
}

LimitStatement Malformed() {
  return {.kind = LimitStatement::Kind::kMalformed};
}

AnswerTimes Times(int sent_s, int received_s) {
  const base::Time epoch = base::Time() + std::chrono::hours(1);
  return {epoch + seconds(sent_s), epoch + seconds(received_s)};
}

TEST(NamedLimit, AnswerWithoutALimitEndsIt) {
  NamedLimit limit;
  EXPECT_FALSE(limit.rate());
  EXPECT_EQ(limit.Observe(Named(4.6), Times(0, 1)), Change::kNamed);
  EXPECT_EQ(limit.rate(), base::PerSecond(4.6));
  EXPECT_EQ(limit.Observe({}, Times(2, 3)), Change::kEnded);
  EXPECT_FALSE(limit.rate());
}

TEST(NamedLimit, NewValueReplacesTheOld) {
  NamedLimit limit;
  limit.Observe(Named(4), Times(0, 1));
  EXPECT_EQ(limit.Observe(Named(8), Times(2, 3)), Change::kRaised);
  EXPECT_EQ(limit.Observe(Named(2), Times(2, 4)), Change::kLowered);
  EXPECT_EQ(limit.rate(), base::PerSecond(2));
  EXPECT_EQ(limit.Observe(Named(2), Times(4, 5)), Change::kNone);
}

// An answer that was under way when the limit was named must not lift it.
TEST(NamedLimit, OlderRequestNeitherRaisesNorEndsALimit) {
  NamedLimit limit;
  limit.Observe(Named(4), Times(2, 3));
  EXPECT_EQ(limit.Observe(Named(9), Times(1, 5)), Change::kNone);
  EXPECT_EQ(limit.Observe({}, Times(1, 5)), Change::kNone);
  EXPECT_EQ(limit.rate(), base::PerSecond(4));
}

// An old answer that ends late must not bring back a limit that is over.
TEST(NamedLimit, OlderRequestDoesNotRestoreALimit) {
  NamedLimit limit;
  limit.Observe(Named(4), Times(0, 1));
  limit.Observe({}, Times(3, 4));
  EXPECT_EQ(limit.Observe(Named(4), Times(2, 5)), Change::kNone);
  EXPECT_FALSE(limit.rate());
  limit.Observe(Named(3), Times(6, 7));
  limit.Observe(Named(8), Times(8, 9));
  EXPECT_EQ(limit.Observe(Named(3), Times(7, 10)), Change::kNone);
  EXPECT_EQ(limit.rate(), base::PerSecond(8));
}

// A request that was already under way may be the first to bring a limit.
TEST(NamedLimit, OlderRequestMayNameALimit) {
  NamedLimit limit;
  limit.Observe({}, Times(5, 6));
  EXPECT_EQ(limit.Observe(Named(4), Times(1, 7)), Change::kNamed);
}

TEST(NamedLimit, ZeroIsALimit) {
  NamedLimit limit;
  EXPECT_EQ(limit.Observe(Named(0), Times(0, 1)), Change::kNamed);
  EXPECT_EQ(limit.rate(), base::PerSecond(0));
}

TEST(NamedLimit, MalformedValueKeepsTheLimitOrIsZero) {
  NamedLimit limit;
  EXPECT_EQ(limit.Observe(Malformed(), Times(0, 1)), Change::kNamed);
  EXPECT_EQ(limit.rate(), base::PerSecond(0));
  limit.Observe(Named(5), Times(2, 3));
  EXPECT_EQ(limit.Observe(Malformed(), Times(4, 5)), Change::kNone);
  EXPECT_EQ(limit.rate(), base::PerSecond(5));
}

}  // namespace
}  // namespace lynxglade::request::passthrough
