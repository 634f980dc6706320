// Certificates made afresh for tests of TLS.
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

// A certificate authority that writes PEM files into a directory of its own,
// which its destructor removes.
class TestAuthority {
 public:
  TestAuthority();
  ~TestAuthority();
  TestAuthority(const TestAuthority&) = delete;
  TestAuthority& operator=(const TestAuthority&) = delete;

  // Path of the authority's own certificate.
  const std::string& authority_file() const noexcept;
  // Issues a certificate with this URI as alternative name and writes
  // <name>.crt and <name>.key; former files of the name are replaced.
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
