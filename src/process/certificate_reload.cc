#include "process/certificate_reload.h"

#include <utility>

#include "base/log.h"

namespace lynxglade::process {

namespace {

using connection::TlsMaterialError;

constexpr std::string_view kServers = "servers";
constexpr std::string_view kPeers = "peers";
constexpr std::string_view kLoaded = "taken";

}  // namespace

CertificateReload::CertificateReload(connection::TlsMaterial& material,
                                     ReloadPeers reload_peers,
                                     base::Metrics& metrics)
    : material_(material),
      reload_peers_(std::move(reload_peers)),
      metrics_(metrics) {
  metrics_.AddGauge("lynxglade_certificate_expiry_unix_seconds", {}, [this] {
    const auto facts = material_.facts();
    return facts ? static_cast<double>(facts->expires_at) : 0.0;
  });
}

bool CertificateReload::LoadInitial(TlsMaterialError* error) {
  const std::lock_guard lock(mutex_);
  if (!material_.Load(error)) {
    return false;
  }
  RecordResult(kServers, kLoaded);
  return true;
}

void CertificateReload::Reload() {
  const std::lock_guard lock(mutex_);
  ReloadLocked();
}

void CertificateReload::ReloadIfChanged() {
  const std::lock_guard lock(mutex_);
  if (material_.HasChanged()) {
    ReloadLocked();
  }
}

void CertificateReload::ReloadLocked() {
  TlsMaterialError error = TlsMaterialError::kNone;
  if (!material_.Load(&error)) {
    // The peer links use the same certificate, so they keep theirs too.
    RecordResult(kServers, ToString(error));
    return;
  }
  RecordResult(kServers, kLoaded);
  if (reload_peers_) {
    RecordResult(kPeers, reload_peers_() ? kLoaded : "unusable");
  }
}

void CertificateReload::RecordResult(std::string_view side,
                                     std::string_view result) {
  metrics_
      .GetCounter(
          "lynxglade_certificate_reloads_total",
          {{"side", std::string(side)}, {"result", std::string(result)}})
      .Add();
  const bool good = result == kLoaded;
  const auto facts = material_.facts();
  base::Log(good ? base::LogLevel::kInfo : base::LogLevel::kError,
            good ? "certificate_taken" : "certificate_refused",
            {{"side", side},
             {"result", result},
             {"serial_in_use", facts ? facts->serial : std::string()},
             {"expires_unix_s", facts ? facts->expires_at : 0}});
}

}  // namespace lynxglade::process
