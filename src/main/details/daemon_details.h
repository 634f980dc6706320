// The daemon's components. Private to src/main/daemon*.cc.
#ifndef LYNXGLADE_MAIN_DETAILS_DAEMON_DETAILS_H_
#define LYNXGLADE_MAIN_DETAILS_DAEMON_DETAILS_H_

#include "main/daemon.h"

#include "base/hash.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/snapshot.h"
#include "base/time.h"
#include "connection/caller_front.h"
#include "connection/http_server.h"
#include "connection/instance_list.h"
#include "connection/key_value.h"
#include "connection/load_report.h"
#include "connection/platform_fetch.h"
#include "connection/target_client.h"
#include "connection/tls_material.h"
#include "main/check_report.h"
#include "main/daemon_options.h"
#include "main/fleet_control.h"
#include "process/admin_front.h"
#include "process/certificate_reload.h"
#include "process/control_system.h"
#include "process/fleet_watch.h"
#include "process/periodic_task.h"
#include "process/serving_plane.h"
#include "process/target_registry.h"
#include "process/view_service.h"
#include "request/claims.h"
#include "request/request.h"
#include "version/configuration_plane.h"
#include "version/serving_configuration.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iterator>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

namespace lynxglade {

struct Daemon::Details {
  explicit Details(process::Settings s);

  connection::KvTransport MakeKvTransport();
  version::ConfigurationPlaneHooks MakeConfigurationHooks();
  process::ServingHooks MakeServingHooks();
  connection::CallerFrontHooks MakeCallerHooks();
  process::AdminFrontHooks MakeAdminHooks();
  std::vector<process::AdminRoute> MakeAdminRoutes();
  process::FleetWatchHooks MakeFleetHooks();
  FleetControlHooks MakeFleetControlHooks();
  process::ViewServiceHooks MakeViewHooks();
  void SubscribeToViews();
  void MakeServers();
  void AddGauges();
  void AddServerGauges(const std::string& front,
                       const connection::HttpServer& server);

  version::FleetFacts Fleet() const;
  void ApplyConfiguration();
  std::optional<request::Refusal> NotReadyRefusal() const;
  std::optional<std::string> NotReadyReason() const;
  std::vector<base::InstanceId> ZoneMembers() const;
  bool ShouldWatch() const;
  std::size_t LiveInstances() const;
  void RefreshCapacity();
  bool ReloadPeerCertificates();
  bool StartCertificates();
  bool StartServer(connection::HttpServer& server);

  const process::Settings settings;
  std::string last_reason;
  std::atomic<bool> leaving{false};
  // The fleet watch was ready, and admission has been refreshed since.
  std::atomic<bool> capacity_known{false};
  std::mutex configuration_mutex;
  base::Metrics metrics;
  base::RandomSource random = base::SystemRandom();
  connection::KeyValue key_value;
  connection::InstanceList instance_list;
  process::ControlSystem control;
  process::ViewService views;
  connection::TargetClient target_client;
  request::Claims claims;
  process::TargetRegistry registry;
  process::ServingPlane serving;
  base::Snapshot<version::ServingConfiguration> serving_configuration;
  version::ConfigurationPlane configuration;
  process::FleetWatch fleet;
  // Null until Start().
  std::unique_ptr<FleetControl> fleet_control;
  connection::CallerFront caller_front;
  process::AdminFront admin_front;
  // Null without TLS.
  std::shared_ptr<connection::TlsMaterial> tls;
  std::unique_ptr<process::CertificateReload> certificates;
  std::unique_ptr<connection::HttpServer> caller_server;
  std::unique_ptr<connection::HttpServer> admin_server;
  std::unique_ptr<process::PeriodicTask> certificate_task;
  std::unique_ptr<process::PeriodicTask> refresh_task;
  std::unique_ptr<process::PeriodicTask> tick_task;
};

}  // namespace lynxglade

#endif  // LYNXGLADE_MAIN_DETAILS_DAEMON_DETAILS_H_
