// Certificate chain and key of a TLS server, replaceable while it serves.
//
// Connections take the newest set that was found good; one that cannot be
// used is refused with a typed reason and the former set stays in use.
#ifndef LYNXGLADE_CONNECTION_TLS_MATERIAL_H_
#define LYNXGLADE_CONNECTION_TLS_MATERIAL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// The library's name. NOLINTNEXTLINE(readability-identifier-naming)
struct ssl_ctx_st;

namespace lynxglade::connection {

enum class TlsMaterialError {
  kNone,
  // The chain file is missing or is no PEM certificate.
  kCertificateUnreadable,
  kKeyUnreadable,
  kAuthorityUnreadable,
  // The key is not that of the first certificate.
  kKeyMismatch,
  // A certificate of the chain is not signed by the next one.
  kChainBroken,
  kNotYetValid,
  kExpired,
  // The TLS library refuses what it was given, such as a key that is too
  // short.
  kRefusedByLibrary,
};
std::string_view ToString(TlsMaterialError error) noexcept;

// PEM files.
struct TlsFiles {
  std::string certificate;
  std::string key;
  // When set, clients must show a certificate that this authority signed.
  std::string client_authority;
};

// What may be said of a certificate in logs.
struct TlsCertificateFacts {
  // Hexadecimal.
  std::string serial;
  // Earliest end of validity over the chain, in Unix seconds.
  std::int64_t expires_at = 0;
};

// Thread-safe.
class TlsMaterial {
 public:
  using ContextPtr = std::shared_ptr<ssl_ctx_st>;
  // Unix seconds.
  using WallClock = std::function<std::int64_t()>;

  // `also_watched`: further files whose change HasChanged() reports. Reads
  // nothing yet.
  TlsMaterial(TlsFiles files,
              WallClock clock,
              std::vector<std::string> also_watched = {});
  TlsMaterial(const TlsMaterial&) = delete;
  TlsMaterial& operator=(const TlsMaterial&) = delete;

  // Reads the files. On failure the former set stays and `error`, which must
  // not be null, says why.
  bool Load(TlsMaterialError* error);

  // Whether a file is another one than at the last Load(), good or not.
  bool HasChanged() const;
  // The set in use, TLS 1.2 or newer; null before the first good Load().
  ContextPtr Context() const;
  std::optional<TlsCertificateFacts> facts() const;

 private:
  // What tells one state of a file from another.
  struct FileMark {
    std::uint64_t device = 0;
    std::uint64_t inode = 0;
    std::int64_t size = -1;
    std::int64_t modified_ns = 0;

    bool operator==(const FileMark&) const = default;
  };

  static FileMark MarkOf(const std::string& path);
  std::vector<FileMark> Marks() const;

  const TlsFiles files_;
  const WallClock clock_;
  const std::vector<std::string> also_watched_;
  mutable std::mutex mutex_;
  std::vector<FileMark> marks_;
  ContextPtr context_;
  std::optional<TlsCertificateFacts> facts_;
};

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_TLS_MATERIAL_H_
