#include "process/peers/quarantine_records.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "process/store/fake_store_port.h"
#include "request/passthrough/quarantine_options.h"
#include "request/quarantine.h"

namespace lynxglade::process::peers {
namespace {

using request::ContentHash;
using request::Quarantine;
using request::QuarantineDenial;
using std::chrono::milliseconds;

constexpr ContentHash kContent(1, 2);
const std::string kKey = "lynxglade/quarantine/" + ToHex(kContent);

class QuarantineRecordsTest : public testing::Test {
 protected:
  struct Instance {
    explicit Instance(QuarantineRecordsTest& test, const std::string& name)
        : quarantine(request::passthrough::FleetQuarantineOptions(),
                     base::InstanceId(name),
                     {}),
          records(test.loop_,
                  test.store_,
                  {.read =
                       [this](ContentHash it) {
                         return quarantine.Export(it, base::BootClock::now());
                       },
                   .time_left =
                       [this](ContentHash it) {
                         return quarantine.TimeLeft(it, base::BootClock::now());
                       },
                   .merge =
                       [this](const ViewItem& it) {
                         quarantine.Merge(it, base::BootClock::now());
                       },
                   .lift =
                       [this](ContentHash it) {
                         quarantine.Lift(it, base::BootClock::now());
                       }},
                  {.retry_interval = milliseconds(1)},
                  base::BootClock::now,
                  test.metrics_) {}
    void CrashTwice() {
      QuarantineDenial denial{};
      for (const char* target : {"t1", "t2"}) {
        const base::Time now = base::BootClock::now();
        ASSERT_TRUE(quarantine.TryStart(kContent, base::TargetId(target),
                                        base::AttemptId("a"), now, &denial));
        quarantine.OnLost(base::AttemptId("a"), now);
        quarantine.OnTargetCrashed(base::TargetId(target), now);
      }
      records.OnVerdict(kContent);
    }
    bool IsQuarantined() {
      return quarantine.IsQuarantined(kContent, base::BootClock::now());
    }

    Quarantine quarantine;
    QuarantineRecords records;
  };

  // Epoch of the record in the store; 0 if there is none.
  std::uint64_t RecordEpoch() const {
    const auto it = store_.items().find(kKey);
    return it == store_.items().end()
               ? 0
               : DecodeQuarantineRecord(kKey, it->second.value,
                                        base::BootClock::now())
                     ->version.epoch;
  }
  std::vector<store::StoreItem> Items() const {
    std::vector<store::StoreItem> items;
    for (const auto& [key, item] : store_.items()) {
      items.push_back(item);
    }
    return items;
  }
  void AwaitRecord() {
    store::RunUntil(loop_, [this] { return store_.items().contains(kKey); });
  }

  connection::event::asio::io_context loop_;
  store::FakeStorePort store_{loop_};
  base::Metrics metrics_;
};

TEST_F(QuarantineRecordsTest, StartingInstanceReadsTheVerdict) {
  Instance first(*this, "first");
  first.CrashTwice();
  AwaitRecord();
  Instance restarted(*this, "restarted");
  restarted.records.OnList(Items());
  EXPECT_TRUE(restarted.IsQuarantined());
  EXPECT_EQ(restarted.quarantine.Check(kContent, base::BootClock::now()),
            QuarantineDenial::kQuarantined);
}

TEST_F(QuarantineRecordsTest, VerdictIsWrittenOnceTheStoreAnswers) {
  Instance first(*this, "first");
  store_.Fail(store::StoreFault::kBusy);
  first.CrashTwice();
  store::RunReady(loop_);
  EXPECT_FALSE(store_.items().contains(kKey));
  store_.Fail(std::nullopt);
  AwaitRecord();
}

TEST_F(QuarantineRecordsTest, OperatorLiftsAQuarantineByDeletingItsKey) {
  Instance first(*this, "first");
  Instance other(*this, "other");
  first.CrashTwice();
  AwaitRecord();
  for (Instance* it : {&first, &other}) {
    it->records.OnList(Items());
    EXPECT_TRUE(it->IsQuarantined());
  }
  first.records.OnChange(
      {.key = kKey, .value = "", .revision = {}, .deleted = true});
  EXPECT_FALSE(first.IsQuarantined());
  store_.Remove(kKey);
  other.records.OnList(Items());
  EXPECT_FALSE(other.IsQuarantined());
}

// The record of a quarantine that has ended says nothing about the next one.
TEST_F(QuarantineRecordsTest, EndOfAnOldRecordDoesNotLiftANewQuarantine) {
  Instance first(*this, "first");
  first.CrashTwice();
  AwaitRecord();
  first.records.OnList(Items());
  ASSERT_TRUE(first.quarantine.Lift(kContent, base::BootClock::now()));
  QuarantineDenial denial{};
  const base::Time now = base::BootClock::now();
  ASSERT_TRUE(first.quarantine.TryStart(kContent, base::TargetId("t3"),
                                        base::AttemptId("a"), now, &denial));
  first.quarantine.OnLost(base::AttemptId("a"), now);
  first.quarantine.OnTargetCrashed(base::TargetId("t3"), now);
  ASSERT_TRUE(first.IsQuarantined());
  first.records.OnVerdict(kContent);
  first.records.OnChange(
      {.key = kKey, .value = "", .revision = {}, .deleted = true});
  EXPECT_TRUE(first.IsQuarantined());
  // The new record replaces the old one at once, under a lease of its own.
  const std::uint64_t epoch =
      first.quarantine.Export(kContent, base::BootClock::now())->version.epoch;
  store::RunUntil(loop_, [&] { return RecordEpoch() == epoch; });
  Instance restarted(*this, "restarted");
  restarted.records.OnList(Items());
  EXPECT_TRUE(restarted.IsQuarantined());
  // As it does once the old one is gone.
  store_.Remove(kKey);
  first.records.OnVerdict(kContent);
  AwaitRecord();
  EXPECT_EQ(RecordEpoch(), epoch);
}

TEST_F(QuarantineRecordsTest, MalformedRecordsAreIgnored) {
  Instance first(*this, "first");
  for (const char* value :
       {"", "[]", "{}", R"({"epoch":1,"sequence":-1,"mark":"{}"})",
        R"({"epoch":"1","sequence":1,"mark":"{}"})",
        R"({"epoch":1,"sequence":1,"mark":[]})"}) {
    first.records.OnChange({.key = kKey, .value = value, .revision = {}});
    EXPECT_FALSE(first.IsQuarantined()) << value;
  }
  first.records.OnChange({.key = "lynxglade/quarantine/x", .value = "{}"});
  first.records.OnChange({.key = "lynxglade/instances/a/i", .value = "{}"});
  EXPECT_EQ(first.quarantine.Count(base::BootClock::now()).suspects, 0u);
}

}  // namespace
}  // namespace lynxglade::process::peers
