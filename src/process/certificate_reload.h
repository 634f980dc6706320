// Takes replaced certificates and keys into use without a restart.
//
// Told by a signal or by looking at the files every few seconds. A set that
// cannot be used is logged and counted, and the former one stays.
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
  // Has the peer links read their files again; false when they cannot be used.
  using ReloadPeers = std::function<bool()>;

  // `material` and `metrics` must outlive this object. `reload_peers` may be
  // empty. Counter: lynxglade_certificate_reloads_total{side,result}; gauge:
  // lynxglade_certificate_expiry_unix_seconds.
  CertificateReload(connection::TlsMaterial& material,
                    ReloadPeers reload_peers,
                    base::Metrics& metrics);
  CertificateReload(const CertificateReload&) = delete;
  CertificateReload& operator=(const CertificateReload&) = delete;

  // The first read, before the servers start. Nothing to fall back on: false
  // when the files cannot be used, and `error` says why.
  bool LoadInitial(connection::TlsMaterialError* error);
  // Reads the files now.
  void Reload();
  // Reads the files if one of them changed since they were last read.
  void ReloadIfChanged();

 private:
  void ReloadLocked();
  void Note(std::string_view side, std::string_view result);

  connection::TlsMaterial& material_;
  const ReloadPeers reload_peers_;
  base::Metrics& metrics_;
  // One reload at a time.
  std::mutex mutex_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_CERTIFICATE_RELOAD_H_
