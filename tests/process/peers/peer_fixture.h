// Fixture for several instances on one event loop that exchange datagrams over
// loopback and register themselves in a fake store.
#ifndef LYNXGLADE_TESTS_PROCESS_PEERS_PEER_FIXTURE_H_
#define LYNXGLADE_TESTS_PROCESS_PEERS_PEER_FIXTURE_H_

#include <initializer_list>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "process/peers/instance_presence.h"
#include "process/peers/peer_datagrams.h"
#include "process/store/fake_store_port.h"

namespace lynxglade::process::peers {

class PeerTest : public testing::Test {
 protected:
  using Udp = connection::event::asio::ip::udp;

  // The parts that every instance needs.
  struct PeerParts {
    PeerParts(PeerTest& test,
              const std::string& name,
              const std::string& zone_name = "a")
        : zone(zone_name),
          endpoint(FreeEndpoint()),
          presence(test.loop_,
                   test.store_,
                   {.instance = base::InstanceId(name),
                    .zone = zone,
                    .peer_endpoint = Endpoint{"127.0.0.1", endpoint.port()}},
                   base::BootClock::now),
          datagrams(test.loop_, presence, endpoint, metrics) {
      connection::event::asio::co_spawn(test.loop_, presence.Run(),
                                        connection::event::asio::detached);
    }
    InstancePeer Peer() const { return {presence.instance(), zone, endpoint}; }
    std::int64_t Counted(const std::string& metric,
                         const std::string& outcome) {
      return metrics.GetCounter(metric, {{"outcome", outcome}}).Get();
    }

    base::ZoneId zone;
    Udp::endpoint endpoint;
    base::Metrics metrics;
    InstancePresence presence;
    PeerDatagrams datagrams;
  };

  // A free port; another process may take it before it is bound.
  static Udp::endpoint FreeEndpoint() {
    connection::event::asio::io_context loop;
    const Udp::socket socket(
        loop,
        Udp::endpoint(connection::event::asio::ip::address_v4::loopback(), 0));
    return socket.local_endpoint();
  }

  // Makes the peers known to each other and opens their ports.
  void StartPeers(std::initializer_list<PeerParts*> peers) {
    store::RunUntil(loop_,
                    [&] { return store_.items().size() == peers.size(); });
    std::vector<store::StoreItem> items;
    for (const auto& [key, item] : store_.items()) {
      items.push_back(item);
    }
    for (PeerParts* it : peers) {
      it->presence.OnList(items);
      std::string reason;
      ASSERT_TRUE(it->datagrams.Start(&reason)) << reason;
    }
  }

  connection::event::asio::io_context loop_;
  store::FakeStorePort store_{loop_};
};

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_TESTS_PROCESS_PEERS_PEER_FIXTURE_H_
