#include "connection/tls_material.h"

#include <sys/stat.h>

#include <algorithm>
#include <array>
#include <ctime>
#include <iterator>
#include <utility>

#include <openssl/bn.h>
#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>

namespace lynxglade::connection {

namespace {

using BioPtr = std::unique_ptr<BIO, decltype(&BIO_free)>;
using CertificatePtr = std::unique_ptr<X509, decltype(&X509_free)>;
using KeyPtr = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using Chain = std::vector<CertificatePtr>;

constexpr std::int64_t kNanosPerSecond = 1'000'000'000;
// Further certificates in the file are ignored.
constexpr std::size_t kMaxChain = 16;

// Rejects keys with a passphrase, for which OpenSSL would prompt on the
// terminal.
int NoPassphrase(char*, int, int, void*) {
  return 0;
}

BioPtr OpenFile(const std::string& path) {
  return {BIO_new_file(path.c_str(), "r"), &BIO_free};
}

Chain ReadChain(const std::string& path) {
  Chain chain;
  const BioPtr file = OpenFile(path);
  while (file && chain.size() < kMaxChain) {
    CertificatePtr next(
        PEM_read_bio_X509(file.get(), nullptr, NoPassphrase, nullptr),
        &X509_free);
    if (!next) {
      break;
    }
    chain.push_back(std::move(next));
  }
  ERR_clear_error();
  return chain;
}

KeyPtr ReadKey(const std::string& path) {
  const BioPtr file = OpenFile(path);
  KeyPtr key(
      file ? PEM_read_bio_PrivateKey(file.get(), nullptr, NoPassphrase, nullptr)
           : nullptr,
      &EVP_PKEY_free);
  ERR_clear_error();
  return key;
}

std::int64_t UnixSeconds(const ASN1_TIME* time) {
  std::tm parts{};
  return ASN1_TIME_to_tm(time, &parts) == 1 ? ::timegm(&parts) : 0;
}

// Whether each certificate except the last is signed by the next one.
bool IsChainSigned(const Chain& chain) {
  const auto broken = std::ranges::adjacent_find(
      chain, [](const CertificatePtr& cert, const CertificatePtr& issuer) {
        return X509_check_issued(issuer.get(), cert.get()) != X509_V_OK ||
               X509_verify(cert.get(), X509_get0_pubkey(issuer.get())) != 1;
      });
  ERR_clear_error();
  return broken == chain.end();
}

TlsMaterialError CheckChain(const Chain& chain, std::int64_t now) {
  if (!IsChainSigned(chain)) {
    return TlsMaterialError::kChainBroken;
  }
  const bool early = std::ranges::any_of(chain, [&](const CertificatePtr& it) {
    return UnixSeconds(X509_get0_notBefore(it.get())) > now;
  });
  const bool late = std::ranges::any_of(chain, [&](const CertificatePtr& it) {
    return UnixSeconds(X509_get0_notAfter(it.get())) <= now;
  });
  if (early) {
    return TlsMaterialError::kNotYetValid;
  }
  return late ? TlsMaterialError::kExpired : TlsMaterialError::kNone;
}

std::string SerialOf(const X509* certificate) {
  const std::unique_ptr<BIGNUM, decltype(&BN_free)> number(
      ASN1_INTEGER_to_BN(X509_get0_serialNumber(certificate), nullptr),
      &BN_free);
  char* text = number ? BN_bn2hex(number.get()) : nullptr;
  std::string serial = text != nullptr ? text : "";
  OPENSSL_free(text);
  return serial;
}

TlsCertificateFacts FactsOf(const Chain& chain) {
  TlsCertificateFacts facts;
  facts.serial = SerialOf(chain.front().get());
  std::vector<std::int64_t> ends;
  std::ranges::transform(chain, std::back_inserter(ends),
                         [](const CertificatePtr& it) {
                           return UnixSeconds(X509_get0_notAfter(it.get()));
                         });
  facts.expires_at = std::ranges::min(ends);
  return facts;
}

bool UseChain(SSL_CTX* context, const Chain& chain, EVP_PKEY* key) {
  bool good = SSL_CTX_use_certificate(context, chain.front().get()) == 1 &&
              SSL_CTX_use_PrivateKey(context, key) == 1;
  for (std::size_t i = 1; good && i < chain.size(); ++i) {
    good = SSL_CTX_add1_chain_cert(context, chain[i].get()) == 1;
  }
  return good;
}

// Requires client certificates signed by this authority.
bool RequireClientCertificates(SSL_CTX* context, const std::string& authority) {
  STACK_OF(X509_NAME)* names = SSL_load_client_CA_file(authority.c_str());
  if (names == nullptr ||
      SSL_CTX_load_verify_file(context, authority.c_str()) != 1) {
    sk_X509_NAME_pop_free(names, X509_NAME_free);
    return false;
  }
  SSL_CTX_set_client_CA_list(context, names);
  SSL_CTX_set_verify(context, SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT,
                     nullptr);
  return true;
}

TlsMaterial::ContextPtr NewContext() {
  TlsMaterial::ContextPtr context(SSL_CTX_new(TLS_server_method()),
                                  &SSL_CTX_free);
  if (context) {
    SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION);
    SSL_CTX_set_options(context.get(),
                        SSL_OP_NO_RENEGOTIATION | SSL_OP_NO_COMPRESSION);
    // A cached session could be resumed after its certificate was replaced.
    SSL_CTX_set_session_cache_mode(context.get(), SSL_SESS_CACHE_OFF);
    SSL_CTX_set_mode(context.get(), SSL_MODE_RELEASE_BUFFERS);
  }
  return context;
}

}  // namespace

std::string_view ToString(TlsMaterialError error) noexcept {
  switch (error) {
    case TlsMaterialError::kNone:
      return "none";
    case TlsMaterialError::kCertificateUnreadable:
      return "certificate_unreadable";
    case TlsMaterialError::kKeyUnreadable:
      return "key_unreadable";
    case TlsMaterialError::kAuthorityUnreadable:
      return "authority_unreadable";
    case TlsMaterialError::kKeyMismatch:
      return "key_mismatch";
    case TlsMaterialError::kChainBroken:
      return "chain_broken";
    case TlsMaterialError::kNotYetValid:
      return "not_yet_valid";
    case TlsMaterialError::kExpired:
      return "expired";
    case TlsMaterialError::kRefusedByLibrary:
      break;
  }
  return "refused_by_library";
}

TlsMaterial::TlsMaterial(TlsFiles files,
                         WallClock clock,
                         std::vector<std::string> also_watched)
    : files_(std::move(files)),
      clock_(std::move(clock)),
      also_watched_(std::move(also_watched)) {}

bool TlsMaterial::Load(TlsMaterialError* error) {
  // Taken before reading, so that a file replaced meanwhile is loaded again.
  std::vector<FileMark> marks = Marks();
  {
    const std::lock_guard lock(mutex_);
    marks_ = std::move(marks);
  }
  const auto fail = [error](TlsMaterialError reason) {
    ERR_clear_error();
    *error = reason;
    return false;
  };
  *error = TlsMaterialError::kNone;
  const Chain chain = ReadChain(files_.certificate);
  if (chain.empty()) {
    return fail(TlsMaterialError::kCertificateUnreadable);
  }
  const KeyPtr key = ReadKey(files_.key);
  if (!key) {
    return fail(TlsMaterialError::kKeyUnreadable);
  }
  if (X509_check_private_key(chain.front().get(), key.get()) != 1) {
    return fail(TlsMaterialError::kKeyMismatch);
  }
  const TlsMaterialError fault = CheckChain(chain, clock_());
  if (fault != TlsMaterialError::kNone) {
    return fail(fault);
  }
  ContextPtr context = NewContext();
  if (!context || !UseChain(context.get(), chain, key.get())) {
    return fail(TlsMaterialError::kRefusedByLibrary);
  }
  if (!files_.client_authority.empty() &&
      !RequireClientCertificates(context.get(), files_.client_authority)) {
    return fail(TlsMaterialError::kAuthorityUnreadable);
  }
  const std::lock_guard lock(mutex_);
  context_ = std::move(context);
  facts_ = FactsOf(chain);
  return true;
}

bool TlsMaterial::HasChanged() const {
  const std::vector<FileMark> now = Marks();
  const std::lock_guard lock(mutex_);
  return now != marks_;
}

TlsMaterial::ContextPtr TlsMaterial::Context() const {
  const std::lock_guard lock(mutex_);
  return context_;
}

std::optional<TlsCertificateFacts> TlsMaterial::facts() const {
  const std::lock_guard lock(mutex_);
  return facts_;
}

TlsMaterial::FileMark TlsMaterial::MarkOf(const std::string& path) {
  struct stat info{};
  FileMark mark;
  if (!path.empty() && ::stat(path.c_str(), &info) == 0) {
    mark.device = info.st_dev;
    mark.inode = info.st_ino;
    mark.size = info.st_size;
    mark.modified_ns =
        info.st_mtim.tv_sec * kNanosPerSecond + info.st_mtim.tv_nsec;
  }
  return mark;
}

std::vector<TlsMaterial::FileMark> TlsMaterial::Marks() const {
  std::vector<std::string> paths = {files_.certificate, files_.key,
                                    files_.client_authority};
  std::ranges::copy(also_watched_, std::back_inserter(paths));
  std::vector<FileMark> marks;
  std::ranges::transform(paths, std::back_inserter(marks), MarkOf);
  return marks;
}

}  // namespace lynxglade::connection
