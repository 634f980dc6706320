#include "connection/test_certificates.h"

#include <cstdio>
#include <filesystem>
#include <stdexcept>
#include <vector>

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <stdlib.h>

namespace lynxglade::tests {

namespace {

using KeyPtr = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using CertificatePtr = std::unique_ptr<X509, decltype(&X509_free)>;
using FilePtr = std::unique_ptr<std::FILE, int (*)(std::FILE*)>;

void Check(bool ok, const char* what) {
  if (!ok) {
    throw std::runtime_error(what);
  }
}

FilePtr OpenForWrite(const std::string& path) {
  FilePtr file(std::fopen(path.c_str(), "wb"), &std::fclose);
  Check(file != nullptr, "cannot write a test certificate");
  return file;
}

KeyPtr MakeKey() {
  KeyPtr key(EVP_EC_gen("P-256"), &EVP_PKEY_free);
  Check(key != nullptr, "cannot make a key");
  return key;
}

CertificatePtr MakeCertificate(const char* common_name,
                               EVP_PKEY* key,
                               Validity validity = {}) {
  static long serial = 1;
  CertificatePtr cert(X509_new(), &X509_free);
  X509_set_version(cert.get(), X509_VERSION_3);
  ASN1_INTEGER_set(X509_get_serialNumber(cert.get()), serial++);
  X509_gmtime_adj(X509_getm_notBefore(cert.get()), validity.from);
  X509_gmtime_adj(X509_getm_notAfter(cert.get()), validity.to);
  X509_set_pubkey(cert.get(), key);
  X509_NAME_add_entry_by_txt(
      X509_get_subject_name(cert.get()), "CN", MBSTRING_ASC,
      reinterpret_cast<const unsigned char*>(common_name), -1, -1, 0);
  return cert;
}

void AddExtension(X509* cert, int nid, const std::string& value) {
  const std::unique_ptr<X509_EXTENSION, decltype(&X509_EXTENSION_free)> ext(
      X509V3_EXT_conf_nid(nullptr, nullptr, nid, value.c_str()),
      &X509_EXTENSION_free);
  Check(ext != nullptr, "bad extension");
  X509_add_ext(cert, ext.get(), -1);
}

}  // namespace

struct TestAuthority::Details {
  std::filesystem::path directory;
  KeyPtr key{nullptr, &EVP_PKEY_free};
  CertificatePtr certificate{nullptr, &X509_free};
  std::string file;
};

TestAuthority::TestAuthority() : details_(std::make_unique<Details>()) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "lynx-test-XXXXXX").string();
  Check(mkdtemp(pattern.data()) != nullptr, "no temporary directory");
  details_->directory = pattern;
  details_->key = MakeKey();
  details_->certificate =
      MakeCertificate("test authority", details_->key.get());
  X509* cert = details_->certificate.get();
  X509_set_issuer_name(cert, X509_get_subject_name(cert));
  AddExtension(cert, NID_basic_constraints, "critical,CA:TRUE");
  X509_sign(cert, details_->key.get(), EVP_sha256());
  details_->file = (details_->directory / "authority.crt").string();
  PEM_write_X509(OpenForWrite(details_->file).get(), cert);
}

TestAuthority::~TestAuthority() {
  std::error_code ec;
  std::filesystem::remove_all(details_->directory, ec);
}

const std::string& TestAuthority::authority_file() const noexcept {
  return details_->file;
}

void TestAuthority::Issue(const std::string& name,
                          const std::string& uri,
                          Validity validity) {
  const KeyPtr key = MakeKey();
  const CertificatePtr cert =
      MakeCertificate(name.c_str(), key.get(), validity);
  X509_set_issuer_name(cert.get(),
                       X509_get_subject_name(details_->certificate.get()));
  AddExtension(cert.get(), NID_subject_alt_name, "URI:" + uri);
  X509_sign(cert.get(), details_->key.get(), EVP_sha256());
  PEM_write_X509(OpenForWrite(CertificateFile(name)).get(), cert.get());
  PEM_write_PrivateKey(OpenForWrite(KeyFile(name)).get(), key.get(), nullptr,
                       nullptr, 0, nullptr, nullptr);
}

std::string TestAuthority::CertificateFile(const std::string& name) const {
  return (details_->directory / (name + ".crt")).string();
}

std::string TestAuthority::KeyFile(const std::string& name) const {
  return (details_->directory / (name + ".key")).string();
}

}  // namespace lynxglade::tests
