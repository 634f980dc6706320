#include "process/peers/limit_sharing.h"

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "process/peers/peer_fixture.h"

namespace lynxglade::process::peers {
namespace {

using request::passthrough::AnswerTimes;
using request::passthrough::Engine;
using request::passthrough::EngineEntry;
using request::passthrough::EngineTable;
using request::passthrough::LimitStatement;
using request::passthrough::SendLimits;
using std::chrono::milliseconds;

const base::TargetId kTarget("t1");

RC_GTEST_PROP(LimitMessages, RoundTrip, ()) {
  std::vector<LimitReport> reports;
  const int n = *rc::gen::inRange(0, 32);
  for (int i = 0; i < n; ++i) {
    LimitReport report;
    report.target = base::TargetId("t" + std::to_string(i));
    if (*rc::gen::arbitrary<bool>()) {
      report.start_time = base::StartMillis(*rc::gen::inRange(0, 1'000'000));
    }
    if (*rc::gen::arbitrary<bool>()) {
      report.rate = base::PerSecond(*rc::gen::inRange(0, 1000) / 8.0);
    }
    report.sent_ago = milliseconds(*rc::gen::inRange(0, 60'000));
    report.received_ago = milliseconds(*rc::gen::inRange(0, 60'000));
    reports.push_back(report);
  }
  const auto read = DecodeLimits(EncodeLimits(reports));
  RC_ASSERT(read.has_value());
  RC_ASSERT(*read == reports);
}

RC_GTEST_PROP(LimitMessages,
              ArbitraryBytesAreRejectedOrBounded,
              (std::string bytes)) {
  std::string message =
      EncodeLimits({{.target = kTarget, .rate = base::PerSecond(4.6)}});
  message[*rc::gen::inRange<std::size_t>(0, message.size())] =
      static_cast<char>(*rc::gen::inRange(0, 256));
  for (const auto& it : {bytes, message}) {
    const auto read = DecodeLimits(it);
    const auto bounded = [&read] {
      return read->size() <= kMaxLimitReports &&
             std::ranges::all_of(*read, [](const LimitReport& report) {
               return report.sent_ago <= kMaxLimitReportAge &&
                      (!report.rate || report.rate->value() >= 0);
             });
    };
    RC_ASSERT((!read || bounded()));
  }
}

// Two instances of one zone and one of another, too many to share across zones.
class LimitSharingTest : public PeerTest {
 protected:
  struct Instance : PeerParts {
    Instance(LimitSharingTest& test,
             const std::string& name,
             const std::string& zone)
        : PeerParts(test, name, zone),
          engines(base::Duration(0)),
          limits({.instance = base::InstanceId(name)},
                 {.members =
                      [] {
                        return std::vector<request::passthrough::FleetMember>();
                      },
                  .members_version = [] { return std::uint64_t{1}; },
                  .instance_count = [] { return 2; },
                  .view_age = [] { return base::Duration(0); },
                  .on_own_change =
                      [this](const Engine& engine, const AnswerTimes& times) {
                        sharing.OnOwnChange(engine, times);
                      }},
                 base::BootClock::now,
                 metrics),
          sharing(engines,
                  limits,
                  presence,
                  datagrams,
                  {.group = {.instance = base::InstanceId(name),
                             .zone = base::ZoneId(zone),
                             .max_cross_zone_instances = 1},
                   .period = milliseconds(1)},
                  base::BootClock::now,
                  base::SeededRandom(1)) {
      AddTarget(1);
    }
    void AddTarget(int start) {
      EngineEntry entry;
      entry.id = kTarget;
      entry.start_time = base::StartMillis(start);
      engines.Put(entry, base::Time());
    }
    // Receives an answer to a request sent now.
    void Answer(const LimitStatement& statement) {
      const base::Time now = base::BootClock::now();
      limits.Observe(*engines.Find(kTarget), statement, {now, now}, "r1");
    }
    std::optional<base::PerSecond> Limit() const {
      return engines.Find(kTarget)->limit.named.rate();
    }

    EngineTable engines;
    SendLimits limits;
    LimitSharing sharing;
  };

  void SetUp() override {
    StartPeers({&first_, &second_, &other_zone_, &other_zone_second_});
    first_.sharing.Start();
    second_.sharing.Start();
    other_zone_.sharing.Start();
    other_zone_second_.sharing.Start();
  }
  static LimitStatement Named(double rate) {
    return {.kind = LimitStatement::Kind::kNamed,
            .rate = base::PerSecond(rate)};
  }
  void Settle() {
    for (int i = 0; i < 200; ++i) {
      store::RunReady(loop_);
    }
  }

  Instance first_{*this, "first", "a"};
  Instance second_{*this, "second", "a"};
  Instance other_zone_{*this, "third", "b"};
  Instance other_zone_second_{*this, "fourth", "b"};
};

TEST_F(LimitSharingTest, PeersLearnALimitAndItsEnd) {
  first_.Answer(Named(4.6));
  store::RunUntil(loop_, [this] { return second_.Limit().has_value(); });
  EXPECT_EQ(second_.Limit(), base::PerSecond(4.6));
  first_.Answer(Named(9));
  store::RunUntil(loop_,
                  [this] { return second_.Limit() == base::PerSecond(9); });
  first_.Answer({});
  store::RunUntil(loop_, [this] { return !second_.Limit().has_value(); });
}

// An instance that never sends to the target must learn that the limit is over.
TEST_F(LimitSharingTest, OtherZonesLearnAsWell) {
  first_.Answer(Named(4.6));
  store::RunUntil(loop_, [this] {
    return other_zone_.Limit().has_value() &&
           other_zone_second_.Limit().has_value();
  });
  first_.Answer({});
  store::RunUntil(loop_, [this] {
    return !other_zone_.Limit().has_value() &&
           !other_zone_second_.Limit().has_value();
  });
}

TEST_F(LimitSharingTest, LimitOfAnEarlierLifetimeIsIgnored) {
  second_.AddTarget(2);
  first_.Answer(Named(4.6));
  store::RunUntil(loop_, [this] { return other_zone_.Limit().has_value(); });
  Settle();
  EXPECT_FALSE(second_.Limit().has_value());
}

// What is sent does not grow with the number of answers that name the limit.
TEST_F(LimitSharingTest, RepeatedLimitIsNotSentAgain) {
  first_.Answer(Named(4.6));
  store::RunUntil(loop_, [this] { return second_.Limit().has_value(); });
  store::RunUntil(loop_, [this] {
    return first_.Counted("lynxglade_peer_datagrams_total", "sent") == 9;
  });
  for (int i = 0; i < 20; ++i) {
    first_.Answer(Named(4.6));
    Settle();
  }
  EXPECT_EQ(first_.Counted("lynxglade_peer_datagrams_total", "sent"), 9);
  EXPECT_EQ(second_.Counted("lynxglade_peer_datagrams_total", "sent"), 0);
}

}  // namespace
}  // namespace lynxglade::process::peers
