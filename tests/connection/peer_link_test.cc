// Peer links between two PeerLinks in one process, over loopback.
#include "connection/peer_link.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "connection/http_limits.h"
#include "connection/peer_link_queue.h"
#include "connection/raw_client.h"
#include "connection/test_certificates.h"

namespace lynxglade::connection {
namespace {

// Reached only if a test fails.
constexpr std::chrono::seconds kTimeout{30};

// One PeerLinks that records the calls of its hooks.
class End {
 public:
  explicit End(std::string hello,
               PeerLinkTls tls = {},
               std::string refuse_hello = {})
      : hello_(std::move(hello)), refuse_hello_(std::move(refuse_hello)) {
    PeerLinkOptions options;
    options.tls = std::move(tls);
    options.hello_timeout = std::chrono::milliseconds(500);
    links_.emplace(options, MakeHooks());
  }

  PeerLinks& links() { return *links_; }
  bool Start() {
    PeerLinkError ec = PeerLinkError::kNone;
    return links_->Start(&ec);
  }

  bool WaitFor(const std::function<bool()>& done) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, kTimeout, done);
  }

  // Access only within WaitFor() or after Stop().
  std::vector<PeerLinkId> up;
  std::vector<std::string> hellos;
  std::vector<std::string> identities;
  std::vector<std::string> down_reasons;
  std::vector<std::string> messages;

 private:
  template <typename F>
  auto Note(F&& change) {
    const std::lock_guard lock(mutex_);
    changed_.notify_all();
    return change();
  }

  PeerLinkHooks MakeHooks() {
    PeerLinkHooks hooks;
    hooks.make_hello = [this](int) { return hello_; };
    hooks.check_hello = [this](const std::string& hello,
                               const PeerIdentity* identity) {
      return Note([&]() -> std::string {
        if (identity != nullptr) {
          identities.push_back(identity->zone + "/" + identity->role);
        }
        return hello == refuse_hello_ ? "version 1 wanted" : "";
      });
    };
    hooks.on_up = [this](PeerLinkId id, bool, const std::string& hello) {
      Note([&] {
        up.push_back(id);
        hellos.push_back(hello);
      });
    };
    hooks.on_down = [this](PeerLinkId, const std::string& reason) {
      Note([&] { down_reasons.push_back(reason); });
    };
    hooks.on_message = [this](PeerLinkId, const std::string& message) {
      Note([&] { messages.push_back(message); });
    };
    return hooks;
  }

  const std::string hello_;
  const std::string refuse_hello_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::optional<PeerLinks> links_;
};

void Connect(End* from, End* to) {
  ASSERT_TRUE(from->Start());
  ASSERT_TRUE(to->Start());
  from->links().Dial("127.0.0.1", to->links().port());
  ASSERT_TRUE(from->WaitFor([&] { return from->up.size() == 1; }));
  ASSERT_TRUE(to->WaitFor([&] { return to->up.size() == 1; }));
}

TEST(PeerLink, CarriesMessagesBothWaysInOrder) {
  End a("hello a");
  End b("hello b");
  Connect(&a, &b);
  EXPECT_EQ(a.hellos.front(), "hello b");
  EXPECT_EQ(b.hellos.front(), "hello a");
  constexpr int kCount = 500;
  const std::string filler(1000, 'x');
  for (int i = 0; i < kCount; ++i) {
    a.links().Send(a.up.front(), std::to_string(i) + filler,
                   PeerMessageClass::kKeep);
    b.links().Send(b.up.front(), std::to_string(-i), PeerMessageClass::kKeep);
  }
  ASSERT_TRUE(b.WaitFor([&] { return b.messages.size() == kCount; }));
  ASSERT_TRUE(a.WaitFor([&] { return a.messages.size() == kCount; }));
  for (int i = 0; i < kCount; ++i) {
    EXPECT_EQ(b.messages[i], std::to_string(i) + filler);
    EXPECT_EQ(a.messages[i], std::to_string(-i));
  }
}

TEST(PeerLink, SendsThePeerTheReasonForRejectingItsHello) {
  End a("old version");
  End b("hello b", {}, "old version");
  ASSERT_TRUE(a.Start());
  ASSERT_TRUE(b.Start());
  a.links().Dial("127.0.0.1", b.links().port());
  ASSERT_TRUE(a.WaitFor([&] { return !a.down_reasons.empty(); }));
  EXPECT_NE(a.down_reasons.front().find("version 1 wanted"), std::string::npos)
      << a.down_reasons.front();
  b.links().Stop();
  EXPECT_TRUE(b.up.empty());
  EXPECT_TRUE(b.messages.empty());
  EXPECT_EQ(b.links().counters().links_refused, 1u);
}

// Connections without a handshake occupy sockets until a timeout. Their number
// is limited, and peers can connect once they are closed.
TEST(PeerLink, SilentConnectionsAreLimitedAndPeersCanStillConnect) {
  End a("hello a");
  End b("hello b");
  ASSERT_TRUE(a.Start());
  ASSERT_TRUE(b.Start());
  std::vector<std::unique_ptr<tests::RawClient>> silent;
  for (int i = 0; i < 300; ++i) {
    silent.push_back(std::make_unique<tests::RawClient>(b.links().port()));
  }
  // The last one is above the limit, so it is closed at once.
  EXPECT_EQ(silent.back()->ReadToEnd(), "");
  EXPECT_GE(b.links().counters().links_refused, 100u);
  silent.clear();
  EXPECT_TRUE(a.WaitFor([&] {
    a.links().Dial("127.0.0.1", b.links().port());
    return !a.up.empty();
  }));
}

TEST(PeerLink, ReportsAFailedDial) {
  End a("hello a");
  End gone("hello b");
  ASSERT_TRUE(gone.Start());
  const int port = gone.links().port();
  gone.links().Stop();
  ASSERT_TRUE(a.Start());
  a.links().Dial("127.0.0.1", port);
  EXPECT_TRUE(a.WaitFor([&] { return a.down_reasons.size() == 1; }));
}

TEST(PeerLink, StopClosesTheLinkForThePeer) {
  End a("hello a");
  End b("hello b");
  Connect(&a, &b);
  b.links().Stop();
  EXPECT_TRUE(a.WaitFor([&] { return a.down_reasons.size() == 1; }));
}

TEST(PeerLink, ClosesTheLinkOnAnOversizedMessage) {
  End a("hello a");
  End b("hello b");
  Connect(&a, &b);
  a.links().Send(a.up.front(), std::string(kMaxPeerMessageBytes + 1, 'x'),
                 PeerMessageClass::kKeep);
  EXPECT_TRUE(b.WaitFor([&] { return b.down_reasons.size() == 1; }));
  EXPECT_TRUE(b.messages.empty());
}

TEST(PeerLinkQueue, DropsTheOldestDroppableFirstAndNothingElse) {
  PeerLinkQueue queue(10);
  bool fits = false;
  EXPECT_EQ(queue.Push("keep", PeerMessageClass::kKeep, &fits), 0u);
  EXPECT_EQ(queue.Push("old", PeerMessageClass::kDroppable, &fits), 0u);
  EXPECT_EQ(queue.Push("newer", PeerMessageClass::kDroppable, &fits), 1u);
  EXPECT_TRUE(fits);
  EXPECT_EQ(queue.Pop(), "keep");
  EXPECT_EQ(queue.Pop(), "newer");
  EXPECT_TRUE(queue.empty());
  EXPECT_EQ(queue.bytes(), 0u);
  queue.Push("far too long to keep", PeerMessageClass::kKeep, &fits);
  EXPECT_FALSE(fits);
}

class PeerLinkTlsTest : public ::testing::Test {
 protected:
  PeerLinkTls Files(const std::string& name, const std::string& uri) {
    authority_.Issue(name, uri);
    return {authority_.CertificateFile(name), authority_.KeyFile(name),
            authority_.authority_file()};
  }

  tests::TestAuthority authority_;
};

TEST_F(PeerLinkTlsTest, AuthenticatesZoneAndRoleInBothDirections) {
  End a("hello a", Files("a", "urn:lynxglade:scl-a:instance"));
  End b("hello b", Files("b", "urn:lynxglade:scl-b:instance"));
  Connect(&a, &b);
  EXPECT_EQ(a.identities.front(), "scl-b/instance");
  EXPECT_EQ(b.identities.front(), "scl-a/instance");
}

TEST_F(PeerLinkTlsTest, RejectsOtherAuthoritiesAndPlainPeers) {
  tests::TestAuthority other;
  other.Issue("x", "urn:lynxglade:scl-a:instance");
  End stranger("hello x", {other.CertificateFile("x"), other.KeyFile("x"),
                           authority_.authority_file()});
  End plain("hello p");
  End b("hello b", Files("b", "urn:lynxglade:scl-b:instance"));
  ASSERT_TRUE(stranger.Start());
  ASSERT_TRUE(plain.Start());
  ASSERT_TRUE(b.Start());
  stranger.links().Dial("127.0.0.1", b.links().port());
  plain.links().Dial("127.0.0.1", b.links().port());
  EXPECT_TRUE(
      stranger.WaitFor([&] { return stranger.down_reasons.size() == 1; }));
  EXPECT_TRUE(plain.WaitFor([&] { return plain.down_reasons.size() == 1; }));
  b.links().Stop();
  EXPECT_TRUE(b.up.empty());
}

TEST_F(PeerLinkTlsTest, RejectsExpiredCertificatesAndThoseWithoutAZone) {
  authority_.Issue("late", "urn:lynxglade:scl-a:instance", {-7200, -3600});
  End late("hello l",
           {authority_.CertificateFile("late"), authority_.KeyFile("late"),
            authority_.authority_file()});
  End nameless("hello n", Files("n", "urn:other:scl-a:instance"));
  End b("hello b", Files("b", "urn:lynxglade:scl-b:instance"));
  ASSERT_TRUE(late.Start());
  ASSERT_TRUE(nameless.Start());
  ASSERT_TRUE(b.Start());
  late.links().Dial("127.0.0.1", b.links().port());
  nameless.links().Dial("127.0.0.1", b.links().port());
  EXPECT_TRUE(late.WaitFor([&] { return late.down_reasons.size() == 1; }));
  EXPECT_TRUE(
      nameless.WaitFor([&] { return nameless.down_reasons.size() == 1; }));
  // Dialling in the other direction fails, too.
  b.links().Dial("127.0.0.1", late.links().port());
  EXPECT_TRUE(b.WaitFor([&] { return b.down_reasons.size() == 1; }));
  b.links().Stop();
  EXPECT_TRUE(b.up.empty());
}

TEST_F(PeerLinkTlsTest, ReloadsCertificatesWithoutRestart) {
  End a("hello a", Files("a", "urn:lynxglade:scl-a:instance"));
  End b("hello b", Files("b", "urn:lynxglade:scl-b:instance"));
  Connect(&a, &b);
  Files("a", "urn:lynxglade:scl-c:instance");
  ASSERT_TRUE(a.links().ReloadTls());
  a.links().Dial("127.0.0.1", b.links().port());
  ASSERT_TRUE(b.WaitFor([&] { return b.identities.size() == 2; }));
  EXPECT_EQ(b.identities.back(), "scl-c/instance");
  // The existing link keeps working with its old certificate.
  b.links().Send(b.up.front(), "still here", PeerMessageClass::kKeep);
  EXPECT_TRUE(a.WaitFor([&] { return a.messages.size() == 1; }));
}

}  // namespace
}  // namespace lynxglade::connection
