// Identity checks of peers under mutual TLS, and the bound on a peer that
// floods an instance with messages.
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>

#include <gtest/gtest.h>

#include "base/metrics.h"
#include "base/random.h"
#include "base/time.h"
#include "connection/peer_link.h"
#include "connection/test_certificates.h"
#include "process/control_system.h"
#include "process/peer_messages.h"
#include "process/view_service.h"

namespace lynxglade::process {
namespace {

// Generous, so that only a real fault runs into it.
constexpr std::chrono::seconds kTimeout{30};

// A peer whose hello message and messages the test controls.
class Peer {
 public:
  Peer(connection::PeerLinkTls tls, const std::string& zone) {
    connection::PeerLinkOptions options;
    options.tls = std::move(tls);
    // Large enough not to limit the flood at the sender.
    options.max_queue_bytes = 256u << 20;
    connection::PeerLinkHooks hooks;
    hooks.make_hello = [zone](int port) {
      return EncodePeerMessage(
          HelloMessage{kPeerProtocolVersion, base::InstanceId("peer"),
                       base::ZoneId(zone), "127.0.0.1", port},
          base::BootClock::now());
    };
    hooks.check_hello = [](const std::string&,
                           const connection::PeerIdentity*) {
      return std::string();
    };
    hooks.on_up = [this](connection::PeerLinkId id, bool, const std::string&) {
      const std::lock_guard lock(mutex_);
      up_ = id;
      changed_.notify_all();
    };
    hooks.on_down = [this](connection::PeerLinkId, const std::string& reason) {
      const std::lock_guard lock(mutex_);
      down_ = reason;
      changed_.notify_all();
    };
    hooks.on_message = [this](connection::PeerLinkId, const std::string&) {
      const std::lock_guard lock(mutex_);
      ++messages_;
      changed_.notify_all();
    };
    links_.emplace(options, hooks);
    connection::PeerLinkError ec = connection::PeerLinkError::kNone;
    EXPECT_TRUE(links_->Start(&ec));
  }

  // Connects to the service at the port. Returns why it rejected the link;
  // empty when it was accepted, as shown by its first message.
  std::string Connect(int port) {
    links_->Dial("127.0.0.1", port);
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, kTimeout,
                      [this] { return down_.has_value() || messages_ > 0; });
    return down_.value_or(
        messages_ > 0 ? "" : "no message and no close within the timeout");
  }

  void Send(std::string message) {
    links_->Send(up_, std::move(message), connection::PeerMessageClass::kKeep);
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  connection::PeerLinkId up_ = 0;
  int messages_ = 0;
  std::optional<std::string> down_;
  std::optional<connection::PeerLinks> links_;
};

class PeerIdentityTest : public ::testing::Test {
 protected:
  PeerIdentityTest()
      : service_(control_.actors(),
                 {base::InstanceId("i"), base::ZoneId("zone-a"), "127.0.0.1", 0,
                  ServiceFiles()},
                 {base::BootClock::now, base::SystemRandom(),
                  [] { return std::vector<InstanceRow>(); }},
                 metrics_) {
    ViewServiceError ec = ViewServiceError::kNone;
    EXPECT_TRUE(service_.Start(&ec)) << ToString(ec);
  }

  PeerTlsFiles ServiceFiles() {
    authority_.Issue("service", "urn:lynxglade:zone-a:instance");
    return {authority_.CertificateFile("service"),
            authority_.KeyFile("service"), authority_.authority_file()};
  }

  connection::PeerLinkTls Files(const std::string& zone,
                                const std::string& role) {
    authority_.Issue("peer", "urn:lynxglade:" + zone + ":" + role);
    return {authority_.CertificateFile("peer"), authority_.KeyFile("peer"),
            authority_.authority_file()};
  }

  tests::TestAuthority authority_;
  base::Metrics metrics_;
  ControlSystem control_;
  ViewService service_;
};

TEST_F(PeerIdentityTest, ZoneAndRoleOfTheCertificateMustMatch) {
  Peer wrong_role(Files("zone-b", "tool"), "zone-b");
  EXPECT_NE(wrong_role.Connect(service_.port()).find("another role"),
            std::string::npos);
  Peer wrong_zone(Files("zone-b", "instance"), "zone-a");
  EXPECT_NE(wrong_zone.Connect(service_.port()).find("another zone"),
            std::string::npos);
  EXPECT_EQ(metrics_.CounterValue("lynxglade_peer_links_refused_total"), 2u);
  Peer good(Files("zone-b", "instance"), "zone-b");
  EXPECT_EQ(good.Connect(service_.port()), "");
}

// 100 MB of invalid messages: the queue is bounded in bytes, and the service
// still accepts other peers.
TEST_F(PeerIdentityTest, FloodFromOnePeerDoesNotBlockOthers) {
  Peer flood(Files("zone-b", "instance"), "zone-b");
  ASSERT_EQ(flood.Connect(service_.port()), "");
  for (int i = 0; i < 500; ++i) {
    flood.Send(std::string(200u << 10, '\x81'));
  }
  Peer good(Files("zone-c", "instance"), "zone-c");
  EXPECT_EQ(good.Connect(service_.port()), "");
}

}  // namespace
}  // namespace lynxglade::process
