// Certificate chain and key of a TLS server, reloadable at run time.
//
// New connections use the last valid set. If a new set is invalid, Load()
// returns an error and the previous set stays in use.
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
  // The chain file is missing or not a PEM certificate.
  kCertificateUnreadable,
  kKeyUnreadable,
  kAuthorityUnreadable,
  // The key does not match the first certificate.
  kKeyMismatch,
  // A certificate of the chain is not signed by the next one.
  kChainBroken,
  kNotYetValid,
  kExpired,
  // Rejected by OpenSSL, for example because the key is too short.
  kRefusedByLibrary,
};
std::string_view ToString(TlsMaterialError error) noexcept;

// PEM files.
struct TlsFiles {
  std::string certificate;
  std::string key;
  // If set, clients must present a certificate signed by this authority.
  std::string client_authority;
};

// Certificate details that may be logged.
struct TlsCertificateFacts {
  // Hexadecimal.
  std::string serial;
  // Earliest expiry in the chain, in Unix seconds.
  std::int64_t expires_at = 0;
};

// Thread-safe.
class TlsMaterial {
 public:
  using ContextPtr = std::shared_ptr<ssl_ctx_st>;
  // Unix seconds.
  using WallClock = std::function<std::int64_t()>;

  // HasChanged() also reports changes of the files in `also_watched`. Does not
  // load the files yet.
  TlsMaterial(TlsFiles files,
              WallClock clock,
              std::vector<std::string> also_watched = {});
  TlsMaterial(const TlsMaterial&) = delete;
  TlsMaterial& operator=(const TlsMaterial&) = delete;

  // Loads the files. On failure keeps the previous set, sets `error`, which
  // must not be null, and returns false.
  bool Load(TlsMaterialError* error);

  // Whether a file has changed since the last Load(), successful or not.
  bool HasChanged() const;
  // The current context (TLS 1.2 or newer); null before the first successful
  // Load().
  ContextPtr Context() const;
  std::optional<TlsCertificateFacts> facts() const;

 private:
  // Identifies one version of a file.
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
