// TLS of HttpServer, and reloading of certificates.
#include <chrono>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <string>

#include <gtest/gtest.h>
#include <httplib.h>

#include "connection/http_server.h"
#include "connection/raw_client.h"
#include "connection/test_certificates.h"
#include "connection/tls_material.h"

namespace lynxglade::connection {
namespace {

constexpr char kUri[] = "urn:lynxglade:scl-a:instance";

std::int64_t Now() {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string Read(const std::string& path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), {}};
}

void Write(const std::string& path, const std::string& text) {
  std::ofstream(path) << text;
}

class TlsServerTest : public ::testing::Test {
 protected:
  TlsServerTest() {
    authority_.Issue("server", kUri);
    material_ = std::make_shared<TlsMaterial>(Files(), Now);
  }

  TlsFiles Files() const {
    return {
        authority_.CertificateFile("server"), authority_.KeyFile("server"), {}};
  }

  TlsMaterialError Load() {
    TlsMaterialError error = TlsMaterialError::kNone;
    material_->Load(&error);
    return error;
  }

  int StartServer() {
    HttpServerOptions options;
    options.tls = material_;
    options.handshake_timeout = std::chrono::milliseconds(100);
    server_.emplace(options, [](HttpExchange& exchange) {
      exchange.Send(200, "text/plain", {}, "served");
    });
    return server_->Start().value_or(0);
  }

  // Whether a client that trusts only this authority accepts the server. Does
  // not check the host name, which the certificates lack.
  static bool Trusts(int port, const std::string& authority) {
    const std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)> context(
        SSL_CTX_new(TLS_client_method()), &SSL_CTX_free);
    SSL_CTX_load_verify_file(context.get(), authority.c_str());
    SSL_CTX_set_verify(context.get(), SSL_VERIFY_PEER, nullptr);
    BIO* bio = BIO_new_ssl_connect(context.get());
    BIO_set_conn_hostname(bio, ("127.0.0.1:" + std::to_string(port)).c_str());
    const bool good = BIO_do_handshake(bio) == 1;
    BIO_free_all(bio);
    return good;
  }

  tests::TestAuthority authority_;
  std::shared_ptr<TlsMaterial> material_;
  std::optional<HttpServer> server_;
};

TEST_F(TlsServerTest, RejectsInvalidFilesAndKeepsThePreviousSet) {
  ASSERT_EQ(Load(), TlsMaterialError::kNone);
  const auto context = material_->Context();
  const std::string serial = material_->facts()->serial;
  const std::string cert = Read(Files().certificate);
  const std::string key = Read(Files().key);

  tests::TestAuthority other;
  other.Issue("x", kUri);
  Write(Files().key, Read(other.KeyFile("x")));
  EXPECT_EQ(Load(), TlsMaterialError::kKeyMismatch);
  Write(Files().key, "no key");
  EXPECT_EQ(Load(), TlsMaterialError::kKeyUnreadable);
  Write(Files().key, key);
  Write(Files().certificate, "no certificate");
  EXPECT_EQ(Load(), TlsMaterialError::kCertificateUnreadable);
  Write(Files().certificate, cert + Read(other.authority_file()));
  EXPECT_EQ(Load(), TlsMaterialError::kChainBroken);
  authority_.Issue("server", kUri, {-7200, -3600});
  EXPECT_EQ(Load(), TlsMaterialError::kExpired);
  authority_.Issue("server", kUri, {3600, 7200});
  EXPECT_EQ(Load(), TlsMaterialError::kNotYetValid);
  EXPECT_EQ(material_->Context(), context);
  EXPECT_EQ(material_->facts()->serial, serial);

  Write(Files().key, key);
  Write(Files().certificate, cert + Read(authority_.authority_file()));
  EXPECT_EQ(Load(), TlsMaterialError::kNone);
  EXPECT_NE(material_->Context(), context);
}

TEST_F(TlsServerTest, ReportsReplacedFilesOnce) {
  ASSERT_EQ(Load(), TlsMaterialError::kNone);
  EXPECT_FALSE(material_->HasChanged());
  const std::string moved = Files().certificate + ".new";
  std::filesystem::copy_file(Files().certificate, moved);
  std::filesystem::rename(moved, Files().certificate);
  EXPECT_TRUE(material_->HasChanged());
  // An invalid set is not loaded again until the files change.
  Write(Files().key, "no key");
  EXPECT_EQ(Load(), TlsMaterialError::kKeyUnreadable);
  EXPECT_FALSE(material_->HasChanged());
}

TEST_F(TlsServerTest, NewConnectionsGetTheNewCertificateAndOldOnesContinue) {
  ASSERT_EQ(Load(), TlsMaterialError::kNone);
  const int port = StartServer();
  ASSERT_NE(port, 0);
  httplib::SSLClient before("127.0.0.1", port);
  before.set_keep_alive(true);
  before.enable_server_certificate_verification(false);
  ASSERT_TRUE(before.Get("/"));

  tests::TestAuthority other;
  other.Issue("server", kUri);
  Write(Files().certificate, Read(other.CertificateFile("server")));
  Write(Files().key, Read(other.KeyFile("server")));
  ASSERT_EQ(Load(), TlsMaterialError::kNone);

  ASSERT_TRUE(before.Get("/")) << "on the connection made before";
  EXPECT_TRUE(Trusts(port, other.authority_file()));
  EXPECT_FALSE(Trusts(port, authority_.authority_file()));
}

TEST_F(TlsServerTest, PlainOldOrSilentPeersFailTheHandshake) {
  ASSERT_EQ(Load(), TlsMaterialError::kNone);
  const int port = StartServer();
  httplib::Client plain("127.0.0.1", port);
  EXPECT_FALSE(plain.Get("/"));
  httplib::SSLClient old("127.0.0.1", port);
  old.enable_server_certificate_verification(false);
  SSL_CTX_set_security_level(old.ssl_context(), 0);
  SSL_CTX_set_max_proto_version(old.ssl_context(), TLS1_1_VERSION);
  EXPECT_FALSE(old.Get("/"));
  tests::RawClient silent(port);
  EXPECT_EQ(silent.ReadToEnd(), "");
  httplib::SSLClient good("127.0.0.1", port);
  good.enable_server_certificate_verification(false);
  ASSERT_TRUE(good.Get("/"));
  server_->Stop();
  EXPECT_EQ(server_->counters().handshakes_failed, 3u);
}

TEST_F(TlsServerTest, DoesNotStartWithoutACertificate) {
  EXPECT_EQ(StartServer(), 0);
  EXPECT_EQ(server_->last_reason(), "there is no certificate");
}

}  // namespace
}  // namespace lynxglade::connection
