#include "main/details/daemon_details.h"

namespace lynxglade {

namespace {

using connection::HttpServer;
using request::Refusal;
using request::RefusalReason;

constexpr std::ptrdiff_t kMaxWatchersPerZone = 2;
constexpr base::Duration kRefreshInterval = std::chrono::milliseconds(200);
constexpr base::Duration kTickInterval = std::chrono::seconds(1);
// Between checks of the certificate files for changes.
constexpr base::Duration kCertificateInterval = std::chrono::seconds(3);
// During a stop, requests are still accepted for this long after readiness was
// withdrawn, so that load balancers can notice it.
constexpr base::Duration kStopNotice = std::chrono::seconds(1);
constexpr base::Duration kRetryElsewhere = std::chrono::milliseconds(100);

}  // namespace

// --- State ------------------------------------------------------------------

std::optional<Refusal> Daemon::Details::NotReadyRefusal() const {
  if (configuration.ready()) {
    return std::nullopt;
  }
  return Refusal{RefusalReason::kNotReady, base::Outcome::kNotRun,
                 "this instance has no configuration yet", kRetryElsewhere};
}

std::optional<std::string> Daemon::Details::NotReadyReason() const {
  if (leaving) {
    return "stopping";
  }
  if (!configuration.ready()) {
    return "no configuration yet";
  }
  if (!capacity_known) {
    return "targets are not known yet";
  }
  return std::nullopt;
}

std::vector<base::InstanceId> Daemon::Details::ZoneMembers() const {
  std::vector<base::InstanceId> out;
  for (const process::Member& member : views.Members()) {
    const bool live = member.state == process::MemberState::kLive;
    if (live && member.zone == settings.zone) {
      out.push_back(member.id);
    }
  }
  return out;
}

std::size_t Daemon::Details::LiveInstances() const {
  const auto members = views.Members();
  return static_cast<std::size_t>(std::ranges::count(
      members, process::MemberState::kLive, &process::Member::state));
}

void Daemon::Details::RefreshCapacity() {
  const bool targets_known = fleet.Ready();
  serving.Refresh();
  capacity_known = capacity_known || targets_known;
}

// A few instances per zone, chosen by rendezvous hashing, watch the key-value
// service on behalf of the others.
bool Daemon::Details::ShouldWatch() const {
  const auto rank = [this](const base::InstanceId& id) {
    return base::HashPair(settings.zone.str(), id.str());
  };
  const std::uint64_t local_rank = rank(settings.instance);
  const auto lower_ranked = std::ranges::count_if(
      ZoneMembers(),
      [&](const base::InstanceId& id) { return rank(id) < local_rank; });
  return lower_ranked < kMaxWatchersPerZone;
}

bool Daemon::Details::ReloadPeerCertificates() {
  process::ViewServiceError error{};
  return settings.peer_ca.empty() || views.ReloadCertificates(&error);
}

bool Daemon::Details::StartCertificates() {
  if (!certificates) {
    return true;
  }
  connection::TlsMaterialError error{};
  if (!certificates->LoadInitial(&error)) {
    last_reason = "--tls-certificate and --tls-key: ";
    last_reason += connection::ToString(error);
    return false;
  }
  certificate_task = std::make_unique<process::PeriodicTask>(
      kCertificateInterval, [this] { certificates->ReloadIfChanged(); });
  return true;
}

bool Daemon::Details::StartServer(HttpServer& server) {
  if (server.Start()) {
    return true;
  }
  last_reason = server.last_reason();
  return false;
}

// --- Start and stop ---------------------------------------------------------

Daemon::Daemon(process::Settings settings)
    : details_(std::make_unique<Details>(std::move(settings))) {}

Daemon::~Daemon() = default;

bool Daemon::Start() {
  Details& d = *details_;
  if (!d.StartCertificates()) {
    return false;
  }
  process::ViewServiceError error{};
  if (!d.views.Start(&error)) {
    d.last_reason = "peer link: ";
    d.last_reason += process::ToString(error);
    return false;
  }
  d.fleet_control = std::make_unique<FleetControl>(
      d.settings, d.control, d.key_value, d.registry, d.MakeFleetControlHooks(),
      d.random, d.metrics);
  d.SubscribeToViews();
  d.configuration.Start();
  d.fleet.Start();
  d.refresh_task = std::make_unique<process::PeriodicTask>(
      kRefreshInterval, [&d] { d.RefreshCapacity(); });
  d.tick_task = std::make_unique<process::PeriodicTask>(
      kTickInterval, [&d] { d.configuration.Tick(); });
  return d.StartServer(*d.admin_server) && d.StartServer(*d.caller_server);
}

void Daemon::Reload() {
  if (details_->certificates) {
    details_->certificates->Reload();
  }
}

void Daemon::Stop() {
  Details& d = *details_;
  d.leaving = true;
  d.views.Leave();
  d.fleet_control->Stop();
  std::this_thread::sleep_for(kStopNotice);
  d.serving.Stop();
  d.caller_server->Stop();
  d.views.Stop();
  d.fleet.Stop();
  d.certificate_task.reset();
  d.refresh_task.reset();
  d.tick_task.reset();
  d.admin_server->Stop();
}

const std::string& Daemon::last_reason() const noexcept {
  return details_->last_reason;
}

}  // namespace lynxglade
