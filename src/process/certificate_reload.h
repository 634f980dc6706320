// Reloads replaced certificates and keys without a restart, on a signal or when
// periodic checks find that the files changed. If the new files are unusable,
// the error is logged and counted, and the previous ones stay in use.
#ifndef LYNXGLADE_PROCESS_CERTIFICATE_RELOAD_H_
#define LYNXGLADE_PROCESS_CERTIFICATE_RELOAD_H_

#include <functional>
#include <mutex>
#include <string>
#include <string_view>

#include "base/metrics.h"
#include "connection/tls_material.h"

namespace lynxglade::process {

// Thread-safe.
class CertificateReload {
 public:
  // Reloads the files of the peer links; returns false if they are unusable.
  using ReloadPeers = std::function<bool()>;

  // `material` and `metrics` must outlive this object. `reload_peers` may be
  // empty. Counter: lynxglade_certificate_reloads_total{side,result}; gauge:
  // lynxglade_certificate_expiry_unix_seconds.
  CertificateReload(connection::TlsMaterial& material,
                    ReloadPeers reload_peers,
                    base::Metrics& metrics);
  CertificateReload(const CertificateReload&) = delete;
  CertificateReload& operator=(const CertificateReload&) = delete;

  // The initial load, before the servers start. Returns false and sets `error`
  // if the files are unusable.
  bool LoadInitial(connection::TlsMaterialError* error);
  void Reload();
  // Reloads only if one of the files changed since the last load.
  void ReloadIfChanged();

 private:
  void ReloadLocked();
  void RecordResult(std::string_view side, std::string_view result);

  connection::TlsMaterial& material_;
  const ReloadPeers reload_peers_;
  base::Metrics& metrics_;
  // Serialises reloads.
  std::mutex mutex_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_CERTIFICATE_RELOAD_H_
