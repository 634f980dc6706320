#include "process/view_service.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <iterator>
#include <mutex>
#include <optional>
#include <utility>

#include <caf/all.hpp>
#include <nlohmann/json.hpp>

#include "base/log.h"
#include "connection/peer_link.h"
#include "process/gossip.h"
#include "process/peer_messages.h"

namespace lynxglade::process {

namespace {

using TickAtom = caf::atom_constant<caf::atom("view_tick")>;

constexpr std::chrono::milliseconds kTickInterval{100};
constexpr base::Duration kInstanceListInterval = std::chrono::seconds(1);
// Limits on the link messages queued for the actor. Further ones are dropped;
// a later digest exchange recovers the facts.
constexpr int kMaxQueuedMessages = 4096;
constexpr std::size_t kMaxQueuedBytes = 16u << 20;
constexpr std::string_view kInstanceRole = "instance";

constexpr std::array kAllKinds{ViewKind::kInstance,      ViewKind::kTarget,
                               ViewKind::kQuarantine,    ViewKind::kLoad,
                               ViewKind::kConfigHead,    ViewKind::kConfigDelta,
                               ViewKind::kConfigInForce, ViewKind::kListed};

}  // namespace

// The actor's messages. At namespace scope because CAF needs their names.
struct LinkUpEvent {
  LinkId link = 0;
  bool dialled = false;
  HelloMessage hello;
};
struct LinkDownEvent {
  LinkId link = 0;
};
struct LinkMessageEvent {
  LinkId link = 0;
  std::string bytes;
};
struct PublishEvent {
  ViewItem item;
};
struct SubscribeEvent {
  ViewKind kind = ViewKind::kInstance;
  ViewService::Subscriber subscriber;
};

}  // namespace lynxglade::process

// These messages stay within the process and need no serialisation.
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lynxglade::process::LinkUpEvent)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lynxglade::process::LinkDownEvent)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lynxglade::process::LinkMessageEvent)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lynxglade::process::PublishEvent)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lynxglade::process::SubscribeEvent)

namespace lynxglade::process {

std::string_view ToString(ViewServiceError error) noexcept {
  switch (error) {
    case ViewServiceError::kNone:
      return "none";
    case ViewServiceError::kListen:
      return "listen";
    case ViewServiceError::kCertificate:
      break;
  }
  return "certificate";
}

// `gossip` is guarded by a mutex that is held for computation only: sending on
// a link does not block. Subscribers are called without the mutex.
struct ViewService::Details {
  Details(caf::actor_system& sys,
          ViewServiceOptions opts,
          ViewServiceHooks hks,
          base::Metrics& met)
      : system(sys),
        options(std::move(opts)),
        hooks(std::move(hks)),
        metrics(met),
        links(LinkOptions(), LinkHooks()) {}

  connection::PeerLinkOptions LinkOptions() const;
  connection::PeerLinkHooks LinkHooks();
  std::string ValidateHello(const std::string& bytes,
                            const connection::PeerIdentity* identity) const;
  GossipTransport Transport();
  caf::behavior Behavior(caf::event_based_actor* self);

  // The actor's message handlers.
  void OnTick();
  void OnLinkMessage(const LinkMessageEvent& event);
  void OnPublish(ViewItem item);
  void OnSubscribe(const SubscribeEvent& event);
  // Runs `change` on the gossip under the mutex, then notifies the subscribers.
  template <typename F>
  void UpdateGossip(F&& change);
  void NotifySubscribers();
  void UpdateGauges();
  // Count and ages of the facts of one kind.
  nlohmann::json ViewJson(ViewKind kind) const;
  void RegisterGauges();

  // Shared with the registered gauges, which may outlive this object.
  struct Gauges {
    std::array<std::atomic<double>, kViewKinds> items{};
    std::array<std::atomic<double>, kViewKinds> newest_age_seconds{};
    std::atomic<double> links{0};
  };

  caf::actor_system& system;
  const ViewServiceOptions options;
  const ViewServiceHooks hooks;
  base::Metrics& metrics;
  const std::shared_ptr<Gauges> gauges = std::make_shared<Gauges>();
  caf::actor actor;
  std::atomic<int> queued_messages{0};
  std::atomic<std::size_t> queued_bytes{0};
  connection::PeerLinks links;

  mutable std::mutex mutex;
  // Set by Start.
  std::optional<Gossip> gossip;
  // Merged into the store but not yet passed to the subscribers.
  std::vector<ViewItem> undelivered;

  // Accessed on the actor's thread only.
  std::array<std::vector<Subscriber>, kViewKinds> subscribers;
  base::Time next_rows{};
};

connection::PeerLinkOptions ViewService::Details::LinkOptions() const {
  connection::PeerLinkOptions out;
  out.address = options.address;
  out.port = options.port;
  out.tls = {options.tls.certificate, options.tls.key, options.tls.authority};
  return out;
}

connection::PeerLinkHooks ViewService::Details::LinkHooks() {
  connection::PeerLinkHooks out;
  out.make_hello = [this](int port) {
    return EncodePeerMessage(
        HelloMessage{kPeerProtocolVersion, options.instance, options.zone,
                     options.address, port},
        hooks.clock());
  };
  out.check_hello = [this](const std::string& bytes,
                           const connection::PeerIdentity* identity) {
    return ValidateHello(bytes, identity);
  };
  out.on_up = [this](LinkId link, bool dialled, const std::string& bytes) {
    PeerMessageError error = PeerMessageError::kNone;
    const auto message = DecodePeerMessage(bytes, hooks.clock(), &error);
    caf::anon_send(
        actor, LinkUpEvent{link, dialled, std::get<HelloMessage>(*message)});
  };
  out.on_down = [this](LinkId link, const std::string& reason) {
    base::Log(base::LogLevel::kInfo, "peer_link_down", {{"reason", reason}});
    caf::anon_send(actor, LinkDownEvent{link});
  };
  out.on_message = [this](LinkId link, const std::string& bytes) {
    const bool full = queued_messages.fetch_add(1) >= kMaxQueuedMessages ||
                      queued_bytes.load() + bytes.size() > kMaxQueuedBytes;
    if (full) {
      queued_messages.fetch_sub(1);
      metrics
          .GetCounter("lynxglade_peer_messages_dropped_total",
                      {{"reason", "mailbox_full"}})
          .Add();
      return;
    }
    queued_bytes.fetch_add(bytes.size());
    caf::anon_send(actor, LinkMessageEvent{link, bytes});
  };
  return out;
}

std::string ViewService::Details::ValidateHello(
    const std::string& bytes,
    const connection::PeerIdentity* identity) const {
  PeerMessageError error = PeerMessageError::kNone;
  const auto message = DecodePeerMessage(bytes, hooks.clock(), &error);
  const auto* hello = message ? std::get_if<HelloMessage>(&*message) : nullptr;
  std::string refusal;
  if (hello == nullptr) {
    refusal = "first message is not a hello message";
  } else if (hello->protocol != kPeerProtocolVersion) {
    refusal = "protocol version " + std::to_string(hello->protocol) +
              ", this instance uses " + std::to_string(kPeerProtocolVersion);
  } else if (identity != nullptr && identity->role != kInstanceRole) {
    refusal = "certificate of another role";
  } else if (identity != nullptr && identity->zone != hello->zone.str()) {
    refusal = "certificate of another zone";
  }
  if (!refusal.empty()) {
    metrics.GetCounter("lynxglade_peer_links_refused_total").Add();
  }
  return refusal;
}

GossipTransport ViewService::Details::Transport() {
  GossipTransport out;
  out.dial = [this](const std::string& address, int port) {
    return links.Dial(address, port);
  };
  out.send = [this](LinkId link, std::string message, bool droppable) {
    links.Send(link, std::move(message),
               droppable ? connection::PeerMessageClass::kDroppable
                         : connection::PeerMessageClass::kKeep);
  };
  out.close = [this](LinkId link, const std::string& reason) {
    links.Close(link, reason);
  };
  return out;
}

caf::behavior ViewService::Details::Behavior(caf::event_based_actor* self) {
  self->delayed_send(self, kTickInterval, TickAtom::value);
  return {
      [this, self](TickAtom) {
        self->delayed_send(self, kTickInterval, TickAtom::value);
        OnTick();
      },
      [this](const LinkUpEvent& event) {
        UpdateGossip([&](Gossip& g) {
          g.OnLinkUp(event.link, event.dialled, event.hello);
        });
      },
      [this](const LinkDownEvent& event) {
        UpdateGossip([&](Gossip& g) { g.OnLinkDown(event.link); });
      },
      [this](const LinkMessageEvent& event) { OnLinkMessage(event); },
      [this](const PublishEvent& event) { OnPublish(event.item); },
      [this](const SubscribeEvent& event) { OnSubscribe(event); },
  };
}

void ViewService::Details::OnTick() {
  const base::Time now = hooks.clock();
  std::optional<std::vector<InstanceRow>> rows;
  if (now >= next_rows) {
    next_rows = now + kInstanceListInterval;
    rows = hooks.instance_rows();
  }
  UpdateGossip([&](Gossip& g) {
    if (rows) {
      g.SetRows(*rows);
    }
    g.Tick();
  });
  if (rows) {
    UpdateGauges();
  }
}

void ViewService::Details::OnLinkMessage(const LinkMessageEvent& event) {
  queued_messages.fetch_sub(1);
  queued_bytes.fetch_sub(event.bytes.size());
  UpdateGossip([&](Gossip& g) { g.OnMessage(event.link, event.bytes); });
}

void ViewService::Details::OnPublish(ViewItem item) {
  if (item.source.empty()) {
    item.source = options.instance;
  }
  if (item.as_of == base::Time{}) {
    item.as_of = hooks.clock();
  }
  UpdateGossip([&](Gossip& g) { g.Publish(item); });
}

void ViewService::Details::OnSubscribe(const SubscribeEvent& event) {
  subscribers[static_cast<std::size_t>(event.kind)].push_back(event.subscriber);
  std::vector<ViewItem> held;
  {
    const std::lock_guard lock(mutex);
    held = gossip->store().Snapshot(event.kind);
  }
  std::ranges::for_each(held, event.subscriber);
}

template <typename F>
void ViewService::Details::UpdateGossip(F&& change) {
  {
    const std::lock_guard lock(mutex);
    change(*gossip);
  }
  NotifySubscribers();
}

void ViewService::Details::NotifySubscribers() {
  std::vector<ViewItem> items;
  {
    const std::lock_guard lock(mutex);
    items.swap(undelivered);
  }
  for (const ViewItem& item : items) {
    std::ranges::for_each(
        subscribers[static_cast<std::size_t>(item.kind)],
        [&](const Subscriber& subscriber) { subscriber(item); });
  }
}

void ViewService::Details::UpdateGauges() {
  const std::lock_guard lock(mutex);
  const base::Time now = hooks.clock();
  gauges->links = static_cast<double>(gossip->membership().Links().size());
  for (const ViewKind kind : kAllKinds) {
    const auto index = static_cast<std::size_t>(kind);
    const auto ages = gossip->store().Ages(kind);
    gauges->items[index] = static_cast<double>(gossip->store().count(kind));
    gauges->newest_age_seconds[index] =
        ages ? std::chrono::duration<double>(now - ages->newest).count() : 0.0;
  }
}

nlohmann::json ViewService::Details::ViewJson(ViewKind kind) const {
  const std::lock_guard lock(mutex);
  const base::Time now = hooks.clock();
  nlohmann::json view{{"count", gossip->store().count(kind)},
                      {"newest_age_ms", nullptr},
                      {"oldest_age_ms", nullptr}};
  if (const auto ages = gossip->store().Ages(kind)) {
    view["newest_age_ms"] = base::ToMillis(now - ages->newest);
    view["oldest_age_ms"] = base::ToMillis(now - ages->oldest);
  }
  return view;
}

void ViewService::Details::RegisterGauges() {
  metrics.AddGauge("lynxglade_peer_links", {},
                   [g = gauges] { return g->links.load(); });
  for (const ViewKind kind : kAllKinds) {
    const auto index = static_cast<std::size_t>(kind);
    const base::Labels labels{{"kind", std::string(ToString(kind))}};
    metrics.AddGauge("lynxglade_view_items", labels,
                     [g = gauges, index] { return g->items[index].load(); });
    metrics.AddGauge(
        "lynxglade_view_newest_age_seconds", labels,
        [g = gauges, index] { return g->newest_age_seconds[index].load(); });
  }
}

ViewService::ViewService(caf::actor_system& system,
                         ViewServiceOptions options,
                         ViewServiceHooks hooks,
                         base::Metrics& metrics)
    : details_(std::make_unique<Details>(system,
                                         std::move(options),
                                         std::move(hooks),
                                         metrics)) {
  details_->RegisterGauges();
}

ViewService::~ViewService() {
  Stop();
}

void ViewService::Stop() {
  details_->links.Stop();
  if (details_->actor) {
    caf::anon_send_exit(details_->actor, caf::exit_reason::user_shutdown);
    caf::scoped_actor self{details_->system};
    self->wait_for(details_->actor);
  }
}

bool ViewService::Start(ViewServiceError* error) {
  *error = ViewServiceError::kNone;
  Details* d = details_.get();
  // The actor is created first, because link events are sent to it. The mutex
  // keeps it from handling one before `gossip` exists.
  const std::lock_guard lock(d->mutex);
  // The pointer is passed as an argument rather than captured: for a function
  // without arguments the library binds a reference to a null pointer.
  d->actor =
      d->system.spawn([](caf::event_based_actor* self,
                         Details* details) { return details->Behavior(self); },
                      d);
  connection::PeerLinkError link_error = connection::PeerLinkError::kNone;
  const bool started = d->links.Start(&link_error);
  GossipOptions options;
  options.instance = d->options.instance;
  options.fact = {d->options.zone, d->options.address, d->links.port()};
  d->gossip.emplace(std::move(options), d->Transport(), d->hooks.clock,
                    d->hooks.random, d->metrics, [d](const ViewItem& item) {
                      d->undelivered.push_back(item);
                    });
  if (!started) {
    *error = link_error == connection::PeerLinkError::kCertificate
                 ? ViewServiceError::kCertificate
                 : ViewServiceError::kListen;
  }
  return started;
}

void ViewService::Publish(ViewItem item) {
  caf::anon_send(details_->actor, PublishEvent{std::move(item)});
}

void ViewService::Subscribe(ViewKind kind, Subscriber subscriber) {
  caf::anon_send(details_->actor, SubscribeEvent{kind, std::move(subscriber)});
}

void ViewService::Leave() {
  const std::lock_guard lock(details_->mutex);
  details_->gossip->Leave();
}

bool ViewService::ReloadCertificates(ViewServiceError* error) {
  const bool reloaded = details_->links.ReloadTls();
  *error = reloaded ? ViewServiceError::kNone : ViewServiceError::kCertificate;
  return reloaded;
}

std::vector<ViewItem> ViewService::Snapshot(ViewKind kind) const {
  const std::lock_guard lock(details_->mutex);
  return details_->gossip->store().Snapshot(kind);
}

std::vector<Member> ViewService::Members() const {
  const std::lock_guard lock(details_->mutex);
  return details_->gossip->membership().Members();
}

std::string ViewService::InstancesJson() const {
  using Json = nlohmann::json;
  Json instances = Json::array();
  for (const Member& member : Members()) {
    instances.push_back({{"id", member.id.str()},
                         {"zone", member.zone.str()},
                         {"address", member.address},
                         {"peer_port", member.peer_port},
                         {"state", std::string(ToString(member.state))},
                         {"linked", member.linked}});
  }
  Json views = Json::object();
  for (const ViewKind kind : kAllKinds) {
    views[std::string(ToString(kind))] = details_->ViewJson(kind);
  }
  const connection::PeerLinkCounters counters = details_->links.counters();
  const Json out{{"instance", details_->options.instance.str()},
                 {"zone", details_->options.zone.str()},
                 {"instances", std::move(instances)},
                 {"links",
                  {{"up", details_->gauges->links.load()},
                   {"messages_sent", counters.messages_sent},
                   {"bytes_sent", counters.bytes_sent},
                   {"messages_received", counters.messages_received},
                   {"bytes_received", counters.bytes_received},
                   {"messages_dropped", counters.messages_dropped},
                   {"refused", counters.links_refused}}},
                 {"views", std::move(views)}};
  return out.dump(-1, ' ', false, Json::error_handler_t::replace);
}

int ViewService::port() const noexcept {
  return details_->links.port();
}

}  // namespace lynxglade::process
