#include "version/configuration_plane.h"

#include <utility>

#include "version/config_gossip.h"
#include "version/intent_api.h"
#include "version/plan_service.h"

namespace lynxglade::version {

struct ConfigurationPlane::Details {
  Details(const connection::KeyValue& service,
          ConfigurationPlaneOptions plane_options,
          ConfigurationPlaneHooks plane_hooks,
          base::Metrics& metrics);

  ConfigTrackerHooks MakeTrackerHooks();
  ConfigGossipHooks MakeGossipHooks();
  PlanServiceHooks MakePlanHooks();
  ConfigWatcherHooks MakeWatcherHooks();
  IntentApiHooks MakeApiHooks();
  std::vector<InstanceRevision> Instances() const;

  const ConfigurationPlaneOptions options;
  const ConfigurationPlaneHooks hooks;
  ConfigTracker tracker;
  ConfigGossip gossip;
  ConfigStore store;
  OperatorAccess access;
  PlanService plans;
  IntentApi api;
  // Last: its threads use the members above.
  ConfigWatcher watcher;
};

ConfigurationPlane::Details::Details(const connection::KeyValue& service,
                                     ConfigurationPlaneOptions plane_options,
                                     ConfigurationPlaneHooks plane_hooks,
                                     base::Metrics& metrics)
    : options(std::move(plane_options)),
      hooks(std::move(plane_hooks)),
      tracker(MakeTrackerHooks(), metrics),
      gossip(options.instance, tracker, MakeGossipHooks(), metrics),
      store(service, hooks.random, options.store),
      access([this] { return tracker.Get(); }, options.bootstrap_key),
      plans(service, store, tracker, MakePlanHooks()),
      api(access, plans, store, tracker, MakeApiHooks(), metrics),
      watcher(service,
              store,
              tracker,
              MakeWatcherHooks(),
              metrics,
              options.watcher) {}

ConfigTrackerHooks ConfigurationPlane::Details::MakeTrackerHooks() {
  return {hooks.clock, [this](const ConfigSnapshot&) { hooks.on_change(); },
          [this](base::Revision revision, const ChainedDelta& delta) {
            gossip.PublishDelta(revision, delta);
          },
          [this](const ConfigSnapshot& snapshot) {
            gossip.PublishSnapshot(snapshot);
          }};
}

ConfigGossipHooks ConfigurationPlane::Details::MakeGossipHooks() {
  return {hooks.clock, hooks.publish, hooks.member_count};
}

PlanServiceHooks ConfigurationPlane::Details::MakePlanHooks() {
  PlanServiceHooks made;
  made.fleet = hooks.fleet;
  made.wall_millis = hooks.wall_millis;
  made.on_snapshot = [this](const ConfigSnapshot& snapshot) {
    gossip.PublishSnapshot(snapshot);
  };
  return made;
}

ConfigWatcherHooks ConfigurationPlane::Details::MakeWatcherHooks() {
  return {hooks.should_watch, hooks.fetch_from_peer, hooks.random};
}

IntentApiHooks ConfigurationPlane::Details::MakeApiHooks() {
  return {hooks.clock, [this] { return Instances(); }};
}

std::vector<InstanceRevision> ConfigurationPlane::Details::Instances() const {
  std::vector<InstanceRevision> rows;
  for (const process::ViewItem& it : hooks.revision_facts()) {
    if (auto row = ConfigGossip::DecodeInstanceRevision(it)) {
      rows.push_back(std::move(*row));
    }
  }
  return rows;
}

ConfigurationPlane::ConfigurationPlane(const connection::KeyValue& service,
                                       ConfigurationPlaneOptions options,
                                       ConfigurationPlaneHooks hooks,
                                       base::Metrics& metrics)
    : details_(std::make_unique<Details>(service,
                                         std::move(options),
                                         std::move(hooks),
                                         metrics)) {}

ConfigurationPlane::~ConfigurationPlane() = default;

void ConfigurationPlane::Start() {
  details_->watcher.Start();
}

void ConfigurationPlane::HandleFact(const process::ViewItem& item) {
  details_->gossip.HandleFact(item);
}

void ConfigurationPlane::Tick() {
  details_->gossip.Tick();
  if (details_->tracker.TimeBehind() > details_->options.peer_timeout) {
    details_->watcher.TriggerRead();
  }
}

connection::ApiAnswer ConfigurationPlane::Handle(
    const connection::ApiCall& call) const {
  return details_->api.Handle(call);
}

std::shared_ptr<const Configuration> ConfigurationPlane::Current() const {
  return details_->tracker.Get();
}

bool ConfigurationPlane::ready() const {
  return details_->tracker.ready();
}

const OperatorAccess& ConfigurationPlane::access() const noexcept {
  return details_->access;
}

std::string ConfigurationPlane::EncodedSnapshot() const {
  return EncodeSnapshot(details_->tracker.GetSnapshot());
}

}  // namespace lynxglade::version
