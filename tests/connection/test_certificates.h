// Creates certificates for TLS tests.
#ifndef LYNXGLADE_TESTS_CONNECTION_TEST_CERTIFICATES_H_
#define LYNXGLADE_TESTS_CONNECTION_TEST_CERTIFICATES_H_

#include <memory>
#include <string>

namespace lynxglade::tests {

// Validity in seconds from now.
struct Validity {
  long from = -3600;
  long to = 3600;
};

// Certificate authority that writes PEM files to a temporary directory, which
// its destructor removes.
class TestAuthority {
 public:
  TestAuthority();
  ~TestAuthority();
  TestAuthority(const TestAuthority&) = delete;
  TestAuthority& operator=(const TestAuthority&) = delete;

  // Path of the authority's own certificate.
  const std::string& authority_file() const noexcept;
  // Issues a certificate with `uri` as subject alternative name and writes it
  // to <name>.crt and <name>.key, replacing existing files.
  void Issue(const std::string& name,
             const std::string& uri,
             Validity validity = {});
  std::string CertificateFile(const std::string& name) const;
  std::string KeyFile(const std::string& name) const;

 private:
  struct Details;
  std::unique_ptr<Details> details_;
};

}  // namespace lynxglade::tests

#endif  // LYNXGLADE_TESTS_CONNECTION_TEST_CERTIFICATES_H_
