// Connections to targets through other instances: the instance that asks, and
// the one that is asked, on loopback.
#include "process/peers/target_connector.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "connection/event/caller_server.h"
#include "process/peers/target_tunnels.h"

namespace lynxglade::process::peers {
namespace {

using connection::event::Awaitable;
using connection::event::CallerReply;
using connection::event::CallerRequest;
using connection::event::Channel;
using connection::event::ChannelPool;
using connection::event::ConnectEnd;
using connection::event::ErrorCode;
using connection::event::Into;
using connection::event::Tcp;
using request::passthrough::EngineEntry;
using request::passthrough::EngineHandle;
using request::passthrough::EngineTable;
using request::passthrough::TargetPath;
using request::passthrough::TargetPaths;
namespace asio = connection::event::asio;

Tcp::endpoint Loopback(std::uint16_t port = 0) {
  return {asio::ip::address_v4::loopback(), port};
}

EngineEntry Target(int n, std::uint16_t port) {
  EngineEntry entry;
  entry.id = base::TargetId("t" + std::to_string(n));
  entry.service = base::ServiceName("s");
  entry.zone = base::ZoneId("a");
  entry.ip = "127.0.0.1";
  entry.port = port;
  return entry;
}

// A port where nothing listens.
std::uint16_t ClosedPort(asio::io_context& loop) {
  return Tcp::acceptor(loop, Loopback()).local_endpoint().port();
}

// An instance that is refused by all targets, and does not know yet that others
// are not.
class RefusedInstance {
 public:
  RefusedInstance(asio::io_context& loop,
                  const std::vector<InstancePeer>& peers,
                  base::Metrics& metrics)
      : tunnels_(loop,
                 targets_,
                 paths_,
                 {},
                 {.peers = [&peers]() -> const std::vector<InstancePeer>& {
                    return peers;
                  },
                  .busy = [] { return false; }},
                 base::BootClock::now,
                 metrics),
        server_(
            loop,
            {.endpoint = Loopback()},
            [] { return connection::event::CallerServerLimits(); },
            [this](std::shared_ptr<CallerRequest> request, CallerReply& reply) {
              return tunnels_.Serve(std::move(request), reply);
            },
            base::BootClock::now,
            metrics) {
    std::string reason;
    EXPECT_TRUE(server_.Start(&reason)) << reason;
    targets_.Put(Target(0, ClosedPort(loop)), {});
  }
  std::uint16_t port() const { return server_.port(); }

 private:
  EngineTable targets_{base::Duration(0)};
  TargetPaths paths_;
  TargetTunnels tunnels_;
  connection::event::CallerServer server_;
};

// The asker sees the target at an address where nothing listens; the helper
// sees it where it is.
class TargetConnectorTest : public testing::Test {
 protected:
  TargetConnectorTest()
      : tunnels_(loop_,
                 helper_targets_,
                 helper_paths_,
                 {.max_tunnels = 2},
                 {.peers = [this]() -> const std::vector<InstancePeer>& {
                    return known_to_helper_;
                  },
                  .busy = [this] { return busy_; }},
                 base::BootClock::now,
                 metrics_),
        server_(
            loop_,
            {.endpoint = Loopback()},
            [] { return connection::event::CallerServerLimits(); },
            [this](std::shared_ptr<CallerRequest> request, CallerReply& reply) {
              return tunnels_.Serve(std::move(request), reply);
            },
            base::BootClock::now,
            metrics_),
        connector_(
            loop_,
            targets_,
            paths_,
            {.choice = {.instance = base::InstanceId("me"),
                        .zone = base::ZoneId("a")}},
            {.peers = [this]() -> const std::vector<InstancePeer>& {
               return peers_;
             },
             .on_cut = [this](request::passthrough::Engine&) { ++cuts_; }},
            base::BootClock::now,
            base::SeededRandom(1),
            metrics_),
        pool_(loop_, base::BootClock::now, {}, connector_.PoolHooks()) {
    std::string reason;
    EXPECT_TRUE(server_.Start(&reason)) << reason;
    InstancePeer helper;
    helper.instance = base::InstanceId("helper");
    helper.zone = base::ZoneId("a");
    helper.endpoint = {asio::ip::address_v4::loopback(), server_.port()};
    InstancePeer me = helper;
    me.instance = base::InstanceId("me");
    peers_ = {helper, me};
    known_to_helper_ = peers_;
    for (int i = 0; i < 3; ++i) {
      const EngineEntry there = Target(i, listener_.local_endpoint().port());
      helper_targets_.Put(there, {});
      targets_.Put(Target(i, ClosedPort(loop_)), {});
    }
  }

  EngineHandle Find(int n) const {
    return targets_.Find(base::TargetId("t" + std::to_string(n)));
  }
  TargetPath PathTo(int n) const {
    return paths_.PathTo(Find(n)->entry, base::BootClock::now());
  }

  void RunUntil(const std::function<bool()>& done) {
    while (!done()) {
      loop_.restart();
      ASSERT_GT(loop_.run_one_for(std::chrono::seconds(30)), 0U);
    }
  }
  ConnectEnd Open(int n) {
    std::optional<ConnectEnd> end;
    const std::uint16_t port = Find(n)->entry.port;
    asio::co_spawn(
        loop_,
        [&]() -> Awaitable<void> {
          channel_ =
              pool_.Take(Loopback(port), connection::event::ChannelReuse::kAny);
          end = co_await pool_.Open(channel_);
        },
        asio::detached);
    RunUntil([&] { return end.has_value(); });
    return *end;
  }

  asio::io_context loop_;
  base::Metrics metrics_;
  Tcp::acceptor listener_{loop_, Loopback()};
  // The helper.
  EngineTable helper_targets_{base::Duration(0)};
  TargetPaths helper_paths_;
  std::vector<InstancePeer> known_to_helper_;
  bool busy_ = false;
  TargetTunnels tunnels_;
  connection::event::CallerServer server_;
  // The asker.
  EngineTable targets_{base::Duration(0)};
  TargetPaths paths_;
  std::vector<InstancePeer> peers_;
  int cuts_ = 0;
  TargetConnector connector_;
  ChannelPool pool_;
  std::shared_ptr<Channel> channel_;
};

TEST_F(TargetConnectorTest, ConnectsThroughAnotherInstance) {
  EXPECT_EQ(Open(0), ConnectEnd::kConnected);
  EXPECT_EQ(channel_->via.str(), "helper");
  EXPECT_EQ(PathTo(0), TargetPath::kThroughOthers);
  EXPECT_EQ(cuts_, 1);
  EXPECT_EQ(tunnels_.open(), 1U);
  channel_->Abandon();
  RunUntil([this] { return tunnels_.open() == 0; });
}

// Guards against RECOVER: each target of a cut path has to fail on its own.
TEST_F(TargetConnectorTest, TwoTargetsStandForTheOthers) {
  Open(0);
  Open(1);
  EXPECT_EQ(PathTo(2), TargetPath::kThroughOthers);
}

TEST_F(TargetConnectorTest, TargetThatNoneReachesFailsAtOnce) {
  listener_.close();
  EXPECT_EQ(Open(0), ConnectEnd::kRefused);
  EXPECT_EQ(PathTo(0), TargetPath::kNone);
  // The others are tried.
  EXPECT_EQ(PathTo(1), TargetPath::kOwn);
}

// An instance is no open proxy: it serves those that are present only, and
// connects to known targets only.
TEST_F(TargetConnectorTest, OnlyPresentInstancesAndKnownTargetsAreServed) {
  known_to_helper_.clear();
  EXPECT_NE(Open(0), ConnectEnd::kConnected);
  known_to_helper_ = peers_;
  helper_targets_.Remove(base::TargetId("t1"), {});
  EXPECT_NE(Open(1), ConnectEnd::kConnected);
  // Neither says anything of the targets.
  EXPECT_EQ(PathTo(0), TargetPath::kOwn);
  EXPECT_EQ(PathTo(1), TargetPath::kOwn);
}

// Guards against circles: an instance that is cut off itself asks no third one.
TEST_F(TargetConnectorTest, InstanceThatIsCutOffItselfHelpsNone) {
  const base::Time now = base::BootClock::now();
  helper_paths_.OnOwnFailure(Target(0, 1), true, now, now);
  EXPECT_NE(Open(0), ConnectEnd::kConnected);
  EXPECT_EQ(tunnels_.open(), 0U);
}

TEST_F(TargetConnectorTest, BusyInstanceSaysSo) {
  busy_ = true;
  EXPECT_NE(Open(0), ConnectEnd::kConnected);
  EXPECT_EQ(PathTo(0), TargetPath::kOwn);
}

TEST_F(TargetConnectorTest, TunnelsAreBounded) {
  EXPECT_EQ(Open(0), ConnectEnd::kConnected);
  const auto first = channel_;
  EXPECT_EQ(Open(1), ConnectEnd::kConnected);
  const auto second = channel_;
  EXPECT_NE(Open(2), ConnectEnd::kConnected);
}

// A cut is no crash: what another instance reaches is alive.
TEST_F(TargetConnectorTest, ReachesThroughOthers) {
  std::optional<ConnectEnd> end;
  const auto reach = [&]() -> Awaitable<void> {
    end = co_await connector_.Reach(Find(0));
  };
  asio::co_spawn(loop_, reach(), asio::detached);
  RunUntil([&] { return end.has_value(); });
  EXPECT_EQ(*end, ConnectEnd::kConnected);
  end.reset();
  listener_.close();
  asio::co_spawn(loop_, reach(), asio::detached);
  RunUntil([&] { return end.has_value(); });
  EXPECT_EQ(*end, ConnectEnd::kRefused);
}

// Guards against contents that are quarantined for crashes that were none: when
// a cut begins, instances that it refuses take each other's word that a target
// is gone.
TEST_F(TargetConnectorTest, RefusalsOfSomeInstancesAreNoCrash) {
  std::vector<std::unique_ptr<RefusedInstance>> refused;
  for (int i = 0; i < 4; ++i) {
    refused.push_back(
        std::make_unique<RefusedInstance>(loop_, known_to_helper_, metrics_));
    InstancePeer peer = peers_.front();
    peer.instance = base::InstanceId("refused" + std::to_string(i));
    peer.endpoint.port(refused.back()->port());
    peers_.push_back(peer);
  }
  for (int i = 0; i < 10; ++i) {
    std::optional<ConnectEnd> end;
    const auto reach = [&]() -> Awaitable<void> {
      end = co_await connector_.Reach(Find(0));
    };
    asio::co_spawn(loop_, reach(), asio::detached);
    RunUntil([&] { return end.has_value(); });
    EXPECT_EQ(*end, ConnectEnd::kConnected);
  }
}

// Guards against BUDGET: while the keys of lost instances were in the store, no
// crash was confirmed, and a request crashed target after target.
class LostInstancesTest : public TargetConnectorTest {
 protected:
  // All other instances refuse connections, or do not answer them.
  void LoseOthers(bool refuse) {
    InstancePeer lost = peers_.front();
    peers_ = {peers_.back()};
    for (int i = 0; i < 8; ++i) {
      lost.instance = base::InstanceId("lost" + std::to_string(i));
      lost.endpoint.port(refuse ? ClosedPort(loop_)
                                : silent_.local_endpoint().port());
      peers_.push_back(lost);
    }
  }
  // Where the target really is.
  void Place(int n,
             const std::string& service,
             const std::string& zone,
             bool reached) {
    EngineEntry entry =
        Target(n, reached ? listener_.local_endpoint().port() : RefusingPort());
    entry.service = base::ServiceName(service);
    entry.zone = base::ZoneId(zone);
    targets_.Put(entry, {});
  }
  ConnectEnd Reach(int n) {
    std::optional<ConnectEnd> end;
    const auto reach = [&]() -> Awaitable<void> {
      end = co_await connector_.Reach(Find(n));
    };
    asio::co_spawn(loop_, reach(), asio::detached);
    RunUntil([&] { return end.has_value(); });
    return *end;
  }

  // A port of its own where nothing listens.
  std::uint16_t RefusingPort() {
    closed_.emplace_back(loop_, Loopback());
    return closed_.back().local_endpoint().port();
  }

  // Accepts connections and says nothing.
  Tcp::acceptor silent_{loop_, Loopback()};
  std::deque<Tcp::socket> closed_;
};

TEST_F(LostInstancesTest, OwnRefusalCountsWhereNeighboursAreReached) {
  for (const bool refuse : {true, false}) {
    LoseOthers(refuse);
    Place(1, "s", "a", true);
    EXPECT_EQ(Reach(0), ConnectEnd::kRefused);
  }
}

// Guards against sound contents that are quarantined for a cut: an instance
// that its targets refuse cannot tell it from crashes.
TEST_F(LostInstancesTest, OwnRefusalIsNoCrashWhereNeighboursRefuse) {
  LoseOthers(/*refuse=*/true);
  EXPECT_EQ(Reach(0), ConnectEnd::kNoAnswer);
  Place(3, "other", "a", true);
  Place(4, "s", "b", true);
  EXPECT_EQ(Reach(0), ConnectEnd::kNoAnswer);
}

TEST_F(LostInstancesTest, ATargetWithoutNeighboursIsJudgedByZoneAndService) {
  LoseOthers(/*refuse=*/true);
  Place(1, "s", "b", true);
  Place(2, "other", "a", true);
  EXPECT_EQ(Reach(0), ConnectEnd::kRefused);
  Place(1, "s", "b", false);
  EXPECT_EQ(Reach(0), ConnectEnd::kNoAnswer);
  Place(1, "s", "b", true);
  Place(2, "other", "a", false);
  EXPECT_EQ(Reach(0), ConnectEnd::kNoAnswer);
}

TEST_F(LostInstancesTest, AnInstanceThatWasAlwaysAloneIsJudgedAlike) {
  peers_ = {peers_.back()};
  EXPECT_EQ(Reach(0), ConnectEnd::kNoAnswer);
  Place(1, "s", "a", true);
  EXPECT_EQ(Reach(0), ConnectEnd::kRefused);
}

TEST_F(LostInstancesTest, TheOnlyTargetThereIsMayHaveCrashed) {
  LoseOthers(/*refuse=*/true);
  targets_.RemoveInvalid(base::TargetId("t1"));
  targets_.RemoveInvalid(base::TargetId("t2"));
  EXPECT_EQ(Reach(0), ConnectEnd::kRefused);
}

// Tunnels are not used longer than the cut lasts, nor through an instance that
// leaves.
TEST_F(TargetConnectorTest, TunnelsAreNotReusedThroughAnInstanceThatLeaves) {
  ASSERT_EQ(Open(0), ConnectEnd::kConnected);
  const auto tunnel = channel_;
  EXPECT_TRUE(pool_.IsTrusted(*tunnel));
  const std::vector<InstancePeer> all = peers_;
  std::erase_if(peers_, [](const InstancePeer& it) {
    return it.instance.str() == "helper";
  });
  EXPECT_FALSE(pool_.IsTrusted(*tunnel));
  peers_ = all;
  paths_.OnOwnConnection(Find(0)->entry);
  EXPECT_FALSE(pool_.IsTrusted(*tunnel));
}

// Connections that lived on through the cut are used, those that were idle when
// it began are not.
TEST_F(TargetConnectorTest, ConnectionsOfBeforeTheCutAreNotTrusted) {
  Channel channel(loop_);
  channel.endpoint = Loopback(Find(0)->entry.port);
  channel.idle_since = base::BootClock::now();
  EXPECT_TRUE(pool_.IsTrusted(channel));
  ASSERT_EQ(Open(0), ConnectEnd::kConnected);
  EXPECT_FALSE(pool_.IsTrusted(channel));
  channel.idle_since = base::BootClock::now();
  EXPECT_TRUE(pool_.IsTrusted(channel));
}

}  // namespace
}  // namespace lynxglade::process::peers
