#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

#include <openssl/x509v3.h>
#include <boost/asio/ssl.hpp>

#include "connection/peer_link_endpoint.h"

// Must follow the endpoint headers, whose declarations it needs.
#include <websocketpp/transport/asio/security/tls.hpp>

namespace lynxglade::connection {

namespace {

using SslContext = boost::asio::ssl::context;
using SslContextPtr = std::shared_ptr<SslContext>;

constexpr std::string_view kIdentityPrefix = "urn:lynxglade:";

// Creates an SSL context from the files; null if they are unusable.
SslContextPtr MakeContext(const PeerLinkTls& files) {
  boost::system::error_code ec;
  auto context = std::make_shared<SslContext>(SslContext::tls);
  ec = context->set_options(SslContext::default_workarounds |
                                SslContext::no_sslv2 | SslContext::no_sslv3 |
                                SslContext::no_tlsv1 | SslContext::no_tlsv1_1,
                            ec);
  if (!ec) {
    ec = context->use_certificate_chain_file(files.certificate_file, ec);
  }
  if (!ec) {
    ec = context->use_private_key_file(files.key_file, SslContext::pem, ec);
  }
  if (!ec) {
    ec = context->load_verify_file(files.authority_file, ec);
  }
  if (!ec) {
    ec = context->set_verify_mode(
        boost::asio::ssl::verify_peer |
            boost::asio::ssl::verify_fail_if_no_peer_cert,
        ec);
  }
  if (ec || SSL_CTX_check_private_key(context->native_handle()) != 1) {
    return nullptr;
  }
  return context;
}

// Holds the current SSL contexts, which a reload replaces.
class ContextHolder {
 public:
  explicit ContextHolder(PeerLinkTls files) : files_(std::move(files)) {}

  bool Reload() {
    SslContextPtr fresh = MakeContext(files_);
    if (!fresh) {
      return false;
    }
    const std::lock_guard lock(mutex_);
    context_ = std::move(fresh);
    return true;
  }

  SslContextPtr Get() const {
    const std::lock_guard lock(mutex_);
    return context_;
  }

 private:
  const PeerLinkTls files_;
  mutable std::mutex mutex_;
  SslContextPtr context_;
};

// Parses "urn:lynxglade:<zone>:<role>".
std::optional<PeerIdentity> ParseIdentity(std::string_view uri) {
  if (uri.substr(0, kIdentityPrefix.size()) != kIdentityPrefix) {
    return std::nullopt;
  }
  uri.remove_prefix(kIdentityPrefix.size());
  const std::size_t colon = uri.find(':');
  if (colon == std::string_view::npos || colon == 0 ||
      colon + 1 == uri.size()) {
    return std::nullopt;
  }
  return PeerIdentity{std::string(uri.substr(0, colon)),
                      std::string(uri.substr(colon + 1))};
}

std::string_view UriText(const GENERAL_NAME* name) {
  const ASN1_IA5STRING* uri = name->d.uniformResourceIdentifier;
  return {reinterpret_cast<const char*>(ASN1_STRING_get0_data(uri)),
          static_cast<std::size_t>(ASN1_STRING_length(uri))};
}

std::optional<PeerIdentity> IdentityOf(const X509* certificate) {
  const std::unique_ptr<GENERAL_NAMES, decltype(&GENERAL_NAMES_free)> names(
      static_cast<GENERAL_NAMES*>(X509_get_ext_d2i(
          certificate, NID_subject_alt_name, nullptr, nullptr)),
      &GENERAL_NAMES_free);
  const int count = names ? sk_GENERAL_NAME_num(names.get()) : 0;
  for (int i = 0; i < count; ++i) {
    const GENERAL_NAME* name = sk_GENERAL_NAME_value(names.get(), i);
    if (name->type != GEN_URI) {
      continue;
    }
    if (auto identity = ParseIdentity(UriText(name))) {
      return identity;
    }
  }
  return std::nullopt;
}

std::optional<PeerIdentity> IdentityOf(SSL* ssl) {
  const std::unique_ptr<X509, decltype(&X509_free)> certificate(
      SSL_get1_peer_certificate(ssl), &X509_free);
  return certificate ? IdentityOf(certificate.get()) : std::nullopt;
}

}  // namespace

std::unique_ptr<PeerLinks::Transport> MakeTlsTransport(PeerLinkOptions options,
                                                       PeerLinkHooks hooks) {
  using Config =
      PeerWebSocketConfig<websocketpp::transport::asio::tls_socket::endpoint>;
  using Policy = PeerSocketPolicy<Config>;
  const auto holder = std::make_shared<ContextHolder>(options.tls);
  const auto get_context = [holder](const websocketpp::connection_hdl&) {
    return holder->Get();
  };
  Policy policy;
  policy.scheme = "wss";
  policy.reload = [holder] { return holder->Reload(); };
  policy.install = [get_context](Policy::Server& server,
                                 Policy::Client& client) {
    server.set_tls_init_handler(get_context);
    client.set_tls_init_handler(get_context);
  };
  policy.identify = [](const Policy::ConnectionPtr& connection,
                       std::optional<PeerIdentity>* identity) {
    *identity = IdentityOf(connection->get_socket().native_handle());
    return identity->has_value();
  };
  return std::make_unique<PeerEndpoint<Config>>(
      std::move(options), std::move(hooks), std::move(policy));
}

}  // namespace lynxglade::connection
