#include "process/peers/quarantine_sharing.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "process/peers/peer_fixture.h"
#include "request/passthrough/quarantine_options.h"

namespace lynxglade::process::peers {
namespace {

using request::ContentHash;
using request::DecodedMark;
using request::Evidence;
using request::Quarantine;
using request::QuarantineDenial;
using request::QuarantineMark;
using std::chrono::milliseconds;

constexpr base::Time kNow = base::Time() + std::chrono::hours(1);

QuarantineMark RandomMark() {
  QuarantineMark mark;
  mark.epoch = *rc::gen::inRange<std::uint64_t>(1, 100);
  mark.counter = *rc::gen::inRange<std::uint64_t>(0, 100);
  mark.owner = base::InstanceId(*rc::gen::element<std::string>("", "i1"));
  mark.owned_until = kNow + milliseconds(*rc::gen::inRange(0, 1000));
  mark.rerun_target = base::TargetId(*rc::gen::element<std::string>("", "t"));
  mark.quarantined = *rc::gen::arbitrary<bool>();
  mark.on_probation = *rc::gen::arbitrary<bool>();
  mark.expires = kNow + milliseconds(*rc::gen::inRange(0, 600'000));
  const int crashes = *rc::gen::inRange(0, 8);
  for (int i = 0; i < crashes; ++i) {
    mark.evidence.push_back(
        {.crash_id = "i1/" + std::to_string(i),
         .target = base::TargetId("10.0.0.1:80"),
         .at = kNow - milliseconds(*rc::gen::inRange(0, 5000)),
         .shared = *rc::gen::inRange(1, 50),
         .confirmed = *rc::gen::arbitrary<bool>(),
         .alone = *rc::gen::arbitrary<bool>(),
         .explained = *rc::gen::arbitrary<bool>(),
         .answering = *rc::gen::arbitrary<bool>()});
  }
  return mark;
}

RC_GTEST_PROP(QuarantineMessages, RoundTrip, ()) {
  std::vector<DecodedMark> marks;
  const auto n = *rc::gen::inRange<std::uint64_t>(0, 12);
  for (std::uint64_t i = 0; i < n; ++i) {
    marks.push_back({ContentHash(i, 7), RandomMark()});
  }
  const std::string bytes = EncodeMarks(marks, kNow);
  const auto read = DecodeMarks(bytes, kNow);
  RC_ASSERT(read.has_value());
  RC_ASSERT(read->size() == marks.size());
  RC_ASSERT(EncodeMarks(*read, kNow) == bytes);
}

RC_GTEST_PROP(QuarantineMessages,
              ArbitraryBytesAreRejectedOrBounded,
              (std::string bytes)) {
  std::string message = EncodeMarks({{ContentHash(1), RandomMark()}}, kNow);
  message[*rc::gen::inRange<std::size_t>(0, message.size())] =
      static_cast<char>(*rc::gen::inRange(0, 256));
  for (const auto& it : {bytes, message}) {
    const auto read = DecodeMarks(it, kNow);
    const auto bounded = [&read] {
      return read->size() <= kMaxMarks &&
             std::ranges::all_of(*read, [](const DecodedMark& row) {
               return row.mark.evidence.size() <= kMaxMarkCrashes;
             });
    };
    RC_ASSERT((!read || bounded()));
  }
}

class QuarantineSharingTest : public PeerTest {
 protected:
  struct Instance : PeerParts {
    Instance(QuarantineSharingTest& test,
             const std::string& name,
             QuarantineSharingOptions options)
        : PeerParts(test, name),
          quarantine(request::passthrough::FleetQuarantineOptions(),
                     base::InstanceId(name),
                     [this](const ViewItem& it) {
                       ++published;
                       sharing.OnPublish(it);
                     }),
          sharing(
              test.loop_,
              quarantine,
              presence,
              datagrams,
              [this] { return view_age; },
              options,
              base::BootClock::now,
              base::SeededRandom(1),
              metrics) {
      sharing.Start();
    }
    // The content runs at the target, which crashes.
    void Crash(std::uint64_t content, const char* target) {
      QuarantineDenial denial{};
      const base::Time now = base::BootClock::now();
      const base::AttemptId attempt("a");
      ASSERT_TRUE(quarantine.TryStart(
          ContentHash(content), base::TargetId(target), attempt, now, &denial));
      quarantine.OnLost(attempt, now);
      quarantine.OnTargetCrashed(base::TargetId(target), now);
    }
    request::QuarantineCounts Count() const {
      return quarantine.Count(base::BootClock::now());
    }
    std::int64_t Sent() {
      return Counted("lynxglade_peer_datagrams_total", "sent");
    }

    base::Duration view_age{};
    int published = 0;
    Quarantine quarantine;
    QuarantineSharing sharing;
  };

  // Content 1 is quarantined by one instance's evidence, and the other is told.
  void CrashTwiceAt(Instance& crashing, Instance& told) {
    crashing.Crash(1, "t1");
    crashing.Crash(1, "t2");
    store::RunUntil(loop_, [&] { return told.Count().quarantined == 1; });
  }
  std::unique_ptr<Instance> Make(const std::string& name,
                                 QuarantineSharingOptions options = {
                                     .delay = milliseconds(1),
                                     .repeat_interval = milliseconds(1)}) {
    return std::make_unique<Instance>(*this, name, options);
  }
};

// Guards against a content that each instance counts for itself.
TEST_F(QuarantineSharingTest, CrashesAtTwoInstancesQuarantineItAtAll) {
  const auto a = Make("a");
  const auto b = Make("b");
  const auto c = Make("c");
  StartPeers({a.get(), b.get(), c.get()});
  a->Crash(1, "t1");
  store::RunUntil(loop_, [&] {
    return b->Count().suspects == 1 && c->Count().suspects == 1;
  });
  b->Crash(1, "t2");
  store::RunUntil(loop_, [&] {
    return a->Count().quarantined == 1 && c->Count().quarantined == 1;
  });
  EXPECT_EQ(c->published, 0) << "an instance passes no mark on";
}

TEST_F(QuarantineSharingTest, OutdatedInstanceAsksForWhatItMissed) {
  // Nothing is repeated to the instance that comes later.
  const auto a = Make("a", {.delay = milliseconds(1), .repeats = 1});
  const auto b = Make("b");
  StartPeers({a.get(), b.get()});
  CrashTwiceAt(*a, *b);
  const auto late = Make("late");
  late->view_age = base::Duration::max();
  store::RunUntil(loop_, [&] { return store_.items().size() == 3; });
  std::vector<store::StoreItem> items;
  for (const auto& [key, item] : store_.items()) {
    items.push_back(item);
  }
  for (Instance* it : {a.get(), b.get(), late.get()}) {
    it->presence.OnList(items);
  }
  std::string reason;
  ASSERT_TRUE(late->datagrams.Start(&reason)) << reason;
  late->sharing.Tick();
  store::RunReady(loop_);
  EXPECT_EQ(late->Count().quarantined, 0u);
  late->view_age = milliseconds(100);
  late->sharing.Tick();
  store::RunUntil(loop_, [&] { return late->Count().quarantined == 1; });
}

// What an instance receives is bounded for the fleet: the last round is kept
// for verdicts.
TEST_F(QuarantineSharingTest, SuspectsWaitForRoundsAndVerdictsDoNot) {
  const auto a = Make("a", {.delay = milliseconds(1),
                            .repeats = 1,
                            .rounds_received_per_second = 0.001,
                            .max_saved_rounds = 2});
  const auto b = Make("b");
  StartPeers({a.get(), b.get()});
  a->Crash(1, "t1");
  store::RunUntil(loop_, [&] { return b->Count().suspects == 1; });
  a->Crash(2, "t1");
  EXPECT_EQ(b->Count().suspects, 1u);
  a->Crash(1, "t2");
  a->sharing.OnPublish(
      *a->quarantine.Export(ContentHash(1), base::BootClock::now()));
  EXPECT_EQ(a->Count().quarantined, 1u);
}

TEST_F(QuarantineSharingTest, CommonLiftIsNotSent) {
  const auto a = Make("a");
  const auto b = Make("b");
  StartPeers({a.get(), b.get()});
  CrashTwiceAt(*a, *b);
  b->sharing.Lift(ContentHash(1));
  EXPECT_EQ(b->Count().quarantined, 0u);
  EXPECT_EQ(b->Count().suspects, 1u) << "on probation";
  store::RunReady(loop_);
  EXPECT_EQ(a->Count().quarantined, 1u);
}

}  // namespace
}  // namespace lynxglade::process::peers
