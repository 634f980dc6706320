#include "main/check_report.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "connection/platform_fetch.h"
#include "connection/weight_store.h"

namespace lynxglade {
namespace {

using nlohmann::json;

constexpr base::Duration kProbeTimeout = std::chrono::seconds(1);
constexpr char kProbedKey[] = "/lynxglade/config/head";

std::string EndpointText(const process::Endpoint& endpoint) {
  return endpoint.address + ":" + std::to_string(endpoint.port);
}

std::string MillisText(base::Duration d) {
  return std::to_string(base::ToMillis(d)) + " ms";
}

std::string FileText(const std::string& name) {
  return name.empty() ? "not set" : name;
}

json SettingsRows(const process::Settings& settings) {
  json rows = json::array();
  const auto add = [&](const char* name, const std::string& value) {
    rows.push_back({{"name", name}, {"value", value}});
  };
  add("instance-id", settings.instance.str());
  add("region", settings.region.str());
  add("zone", settings.zone.str());
  add("listen", EndpointText(settings.listen));
  add("admin-listen", EndpointText(settings.admin_listen));
  add("peer-listen", EndpointText(settings.peer_listen));
  add("kv-url", settings.kv_url);
  add("instance-list-url", settings.instance_list_url);
  add("weight-store-url", settings.weight_store_url);
  add("bootstrap-operator-key",
      settings.bootstrap_operator_key.empty() ? "not set" : "set");
  add("max-connections", std::to_string(settings.max_connections));
  add("default-deadline", MillisText(settings.default_deadline));
  add("lease-ttl", MillisText(settings.lease_ttl));
  add("engine-idle-timeout", MillisText(settings.engine_idle_timeout));
  add("role-change-time", MillisText(settings.role_change_time));
  add("tls-certificate", FileText(settings.tls_certificate));
  add("tls-key", FileText(settings.tls_key));
  add("peer-ca", FileText(settings.peer_ca));
  return rows;
}

json Probe(const ExternalService& service) {
  const std::optional<std::string> reason = service.probe();
  return {{"name", service.name},
          {"reachable", !reason},
          {"reason", reason.value_or("")}};
}

std::optional<std::string> ReasonOf(connection::PlatformError error) {
  if (error == connection::PlatformError::kNone) {
    return std::nullopt;
  }
  return std::string(connection::ToString(error));
}

}  // namespace

std::vector<ExternalService> PlatformServices(
    const process::Settings& settings,
    const connection::KeyValue& key_value) {
  const auto probe_key_value = [&key_value]() -> std::optional<std::string> {
    connection::KvError ec = connection::KvError::kNone;
    if (key_value.Get(kProbedKey, &ec)) {
      return std::nullopt;
    }
    return std::string(connection::ToString(ec));
  };
  const auto probe_list = [url = settings.instance_list_url] {
    connection::PlatformError ec = connection::PlatformError::kNone;
    connection::FetchBody(connection::MakeHttpPlatformFetch(url, kProbeTimeout),
                          "/v1/instances", &ec);
    return ReasonOf(ec);
  };
  const auto probe_weights = [url = settings.weight_store_url] {
    connection::PlatformError ec = connection::PlatformError::kNone;
    connection::WeightStore(
        connection::MakeHttpPlatformFetch(url, kProbeTimeout))
        .ReadLimits(&ec);
    return ReasonOf(ec);
  };
  return {{"key-value service", probe_key_value},
          {"instance list", probe_list},
          {"weight store", probe_weights}};
}

connection::ApiHandler MakeCheckHandler(const process::Settings& settings,
                                        std::vector<ExternalService> services) {
  return [rows = SettingsRows(settings),
          services = std::move(services)](const connection::ApiCall&) {
    json probed = json::array();
    for (const ExternalService& it : services) {
      probed.push_back(Probe(it));
    }
    const json body = {{"settings", rows}, {"services", std::move(probed)}};
    return connection::ApiAnswer{
        200, body.dump(-1, ' ', false, json::error_handler_t::replace)};
  };
}

}  // namespace lynxglade
