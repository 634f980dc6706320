#include "process/read_sharing.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "process/fake_store_port.h"

namespace lynxglade::process {
namespace {

using request::passthrough::EngineEntry;
using request::passthrough::EngineTable;
using request::passthrough::KeyOf;
using request::passthrough::PeerRead;
using request::passthrough::PeerReads;
namespace asio = connection::event::asio;
using Udp = asio::ip::udp;

const base::TargetId kEngine("e1");

RC_GTEST_PROP(ReadReport, WhatIsWrittenIsRead, ()) {
  std::vector<PeerRead> reads;
  const int n = *rc::gen::inRange(0, 50);
  for (int i = 0; i < n; ++i) {
    reads.push_back({*rc::gen::arbitrary<std::uint32_t>(),
                     *rc::gen::inRange(0, 10),
                     *rc::gen::inRange<std::int64_t>(0, 100'000'000)});
  }
  const auto read = DecodeReads(EncodeReads(reads));
  RC_ASSERT(read.has_value());
  RC_ASSERT(*read == reads);
}

RC_GTEST_PROP(ReadReport, AnyBytesAreTakenOrRefused, ()) {
  std::string bytes = EncodeReads({{1, 2, 3}, {4, 5, 6'000'000}});
  const int changes = *rc::gen::inRange(1, 6);
  for (int i = 0; i < changes; ++i) {
    bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
        static_cast<char>(*rc::gen::inRange(0, 256));
  }
  const auto reads = DecodeReads(bytes);
  RC_ASSERT((!reads || reads->size() <= 200U));
}

TEST(ReadReport, OtherVersionsAreRefused) {
  EXPECT_FALSE(DecodeReads("\x81\x02"));
  EXPECT_TRUE(DecodeReads("\x81\x01"));
  EXPECT_FALSE(DecodeReads(""));
}

InstancePeer Peer(const std::string& name, const std::string& zone) {
  return {base::InstanceId(name), base::ZoneId(zone),
          Udp::endpoint(asio::ip::address_v4::loopback(), 1)};
}

TEST(SharingPeers, AFewInstancesTellAllOthers) {
  const std::vector<InstancePeer> all{Peer("a1", "a"), Peer("a2", "a"),
                                      Peer("b1", "b")};
  const ReadSharingOptions options{.instance = base::InstanceId("a1"),
                                   .zone = base::ZoneId("a")};
  EXPECT_EQ(SharingPeers(all, options).size(), 2U);
}

// 79 instances would hear 780 reports a second each, and four of five would
// cross zones.
TEST(SharingPeers, ManyTellTheirZone) {
  std::vector<InstancePeer> all;
  for (int i = 0; i < 79; ++i) {
    all.push_back(Peer("i" + std::to_string(i), "z" + std::to_string(i % 5)));
  }
  const ReadSharingOptions options{.instance = base::InstanceId("i0"),
                                   .zone = base::ZoneId("z0")};
  EXPECT_EQ(SharingPeers(all, options).size(), 15U);
}

// Two instances on one loop, with their own tables, over real datagrams.
class ReadSharingTest : public testing::Test {
 protected:
  struct Instance {
    Instance(ReadSharingTest& test, const std::string& name, int port)
        : engines(base::Duration(0)),
          presence(test.loop_,
                   test.store_,
                   {.instance = base::InstanceId(name),
                    .zone = base::ZoneId("a"),
                    .peer_endpoint = Endpoint{"127.0.0.1", port}},
                   base::BootClock::now),
          sharing(test.loop_,
                  engines,
                  presence,
                  peers,
                  {.instance = base::InstanceId(name),
                   .zone = base::ZoneId("a"),
                   .endpoint = Udp::endpoint(asio::ip::address_v4::loopback(),
                                             static_cast<std::uint16_t>(port)),
                   .period = std::chrono::milliseconds(2)},
                  base::BootClock::now,
                  test.metrics_) {
      EngineEntry entry;
      entry.id = kEngine;
      engines.Put(entry, base::Time());
      asio::co_spawn(test.loop_, presence.Run(), asio::detached);
    }
    std::int64_t Heard() const {
      return peers.UnreadTokens(kEngine, 9, base::BootClock::now());
    }

    EngineTable engines;
    InstancePresence presence;
    PeerReads peers;
    ReadSharing sharing;
  };

  // A port that was free a moment ago.
  static int FreePort() {
    asio::io_context loop;
    const Udp::socket socket(
        loop, Udp::endpoint(asio::ip::address_v4::loopback(), 0));
    return socket.local_endpoint().port();
  }
  void ShowPresence(Instance& instance) {
    std::vector<StoreItem> items;
    for (const auto& [key, item] : store_.items()) {
      items.push_back(item);
    }
    instance.presence.OnList(items);
  }
  void Start(Instance& instance) {
    std::string reason;
    ASSERT_TRUE(instance.sharing.Start(&reason)) << reason;
  }

  asio::io_context loop_;
  FakeStorePort store_{loop_};
  base::Metrics metrics_;
};

TEST_F(ReadSharingTest, EachKnowsWhatTheOtherHasRead) {
  Instance a(*this, "a", FreePort());
  Instance b(*this, "b", FreePort());
  RunUntil(loop_, [this] { return store_.items().size() == 2; });
  ShowPresence(a);
  ShowPresence(b);
  Start(a);
  Start(b);
  a.engines.Find(kEngine)->reads[1].unread_tokens = 700;
  RunUntil(loop_, [&] { return b.Heard() == 700; });
  EXPECT_EQ(a.Heard(), 0);
  a.engines.Find(kEngine)->reads[1].unread_tokens = 0;
  RunUntil(loop_, [&] { return b.Heard() == 0; });
}

TEST_F(ReadSharingTest, WhoIsNotInTheStoreIsNotHeard) {
  const int port = FreePort();
  Instance a(*this, "a", port);
  RunUntil(loop_, [this] { return store_.items().size() == 1; });
  ShowPresence(a);
  Start(a);
  Udp::socket stranger(loop_,
                       Udp::endpoint(asio::ip::address_v4::loopback(), 0));
  stranger.send_to(asio::buffer(EncodeReads({{KeyOf(kEngine), 0, 5}})),
                   Udp::endpoint(asio::ip::address_v4::loopback(),
                                 static_cast<std::uint16_t>(port)));
  auto& unknown = metrics_.GetCounter("lynxglade_read_reports_total",
                                      {{"outcome", "from_unknown"}});
  RunUntil(loop_, [&] { return unknown.Get() == 1; });
  EXPECT_EQ(a.Heard(), 0);
}

TEST_F(ReadSharingTest, APortThatIsTakenIsNamed) {
  const int port = FreePort();
  Instance a(*this, "a", port);
  Start(a);
  Instance b(*this, "b", port);
  std::string reason;
  EXPECT_FALSE(b.sharing.Start(&reason));
  EXPECT_FALSE(reason.empty());
}

}  // namespace
}  // namespace lynxglade::process
