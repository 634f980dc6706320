#include "process/order_service.h"

#include <algorithm>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "process/call_pool.h"
#include "process/operator_drains.h"
#include "process/order_actor.h"

namespace lynxglade::process {

namespace {

using Json = nlohmann::json;
using connection::ApiAnswer;
using connection::ApiCall;
using connection::ApiError;

constexpr std::string_view kFleetPath = "/v1/admin/fleet";
constexpr std::string_view kTargetsPrefix = "/v1/admin/targets/";
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
// More than one, so that a slow list call doesn't delay a lease renewal.
constexpr int kStoreThreads = 2;

enum class DrainVerb { kDrain, kUndrain };

struct DrainCall {
  base::TargetId target;
  DrainVerb verb = DrainVerb::kDrain;
};

// "/v1/admin/targets/<id>/<verb>"
std::optional<DrainCall> ParseDrainPath(std::string_view path) {
  if (!path.starts_with(kTargetsPrefix)) {
    return std::nullopt;
  }
  path.remove_prefix(kTargetsPrefix.size());
  const auto slash = path.rfind('/');
  if (slash == std::string_view::npos || slash == 0) {
    return std::nullopt;
  }
  const std::string_view verb = path.substr(slash + 1);
  if (verb != "drain" && verb != "undrain") {
    return std::nullopt;
  }
  return DrainCall{base::TargetId(std::string(path.substr(0, slash))),
                   verb == "drain" ? DrainVerb::kDrain : DrainVerb::kUndrain};
}

ApiAnswer ToAnswer(const DrainCall& call, DrainResult result) {
  switch (result) {
    case DrainResult::kDone:
    case DrainResult::kUnchanged: {
      const Json body = {{"target", call.target.str()},
                         {"drain", call.verb == DrainVerb::kDrain},
                         {"changed", result == DrainResult::kDone}};
      return {200, body.dump(-1, ' ', false, Json::error_handler_t::replace)};
    }
    case DrainResult::kConflict:
      return ApiError(kConflict, "conflict",
                      "a concurrent call changed the drain of this target; "
                      "repeat the call");
    case DrainResult::kUnavailable:
      return ApiError(
          kUnavailable, "key_value_unavailable",
          "the key-value service is unavailable; the drain was not changed");
    case DrainResult::kUnknown:
      break;
  }
  return ApiError(kUnavailable, "outcome_unknown",
                  "the key-value service did not answer; the drain may or may "
                  "not have changed; repeat the call");
}

}  // namespace

struct OrderService::Details {
  struct Shard {
    base::Snapshot<ShardStatus> status;
    caf::actor actor;
    std::future<void> stopped;
  };
  struct PublishedStatus {
    ViewVersion version;
    base::Time as_of{};
    std::string body;
  };

  base::Clock clock;
  base::RandomSource random;
  base::InstanceId instance;
  base::ZoneId zone;
  OrderHooks hooks;
  std::shared_ptr<const OrderStore> store;
  std::unique_ptr<CallPool> store_pool;
  std::unique_ptr<CallPool> engine_pool;
  std::vector<std::unique_ptr<Shard>> shards;
  std::once_flag stop_once;

  mutable std::mutex published_mutex;
  std::map<std::string, PublishedStatus> published;

  void Start(ControlSystem& control,
             const OrderSettings& settings,
             const CoordinatorDependencies& dependencies);
  ApiAnswer Drain(const DrainCall& call) const;
  Json EnginesJson(base::Time now) const;
};

void OrderService::Details::Start(ControlSystem& control,
                                  const OrderSettings& settings,
                                  const CoordinatorDependencies& dependencies) {
  store_pool = std::make_unique<CallPool>(kStoreThreads);
  engine_pool = std::make_unique<CallPool>(settings.engine_threads);
  for (int i = 0; i < std::max(settings.shards, 1); ++i) {
    auto shard = std::make_unique<Shard>();
    OrderActorOptions options;
    options.instance = instance;
    options.zone = zone;
    options.shard = i;
    options.settings = settings;
    options.dependencies = dependencies;
    options.store_pool = store_pool.get();
    options.engine_pool = engine_pool.get();
    options.status = &shard->status;
    options.stopped = std::make_shared<std::promise<void>>();
    shard->stopped = options.stopped->get_future();
    shard->actor = SpawnOrderActor(control.actors(), std::move(options));
    shards.push_back(std::move(shard));
  }
}

ApiAnswer OrderService::Details::Drain(const DrainCall& call) const {
  const auto rows = hooks.engines();
  if (std::ranges::find(rows, call.target, &EngineRow::id) == rows.end()) {
    return ApiError(kNotFound, "unknown_target",
                    "the target is not in the instance list");
  }
  const DrainResult result =
      call.verb == DrainVerb::kDrain
          ? SetDrain(*store, call.target, base::RandomHexId(random))
          : RemoveDrain(*store, call.target);
  return ToAnswer(call, result);
}

// Current status for own shards, last published status for others.
Json OrderService::Details::EnginesJson(base::Time now) const {
  std::map<std::string, Json> engines;
  {
    std::lock_guard lock(published_mutex);
    const auto rows = hooks.engines();
    for (const EngineRow& row : rows) {
      const auto it = published.find(row.id.str());
      if (it == published.end()) {
        continue;
      }
      Json json = Json::parse(it->second.body, nullptr, false);
      if (json.is_object()) {
        json["heard_ms_ago"] = base::ToMillis(now - it->second.as_of);
        engines[row.id.str()] = std::move(json);
      }
    }
  }
  for (const auto& shard : shards) {
    const auto status = shard->status.Get();
    for (const EngineStatus& engine : status->engines) {
      engines[engine.id.str()] = EncodeEngineStatus(engine, now);
    }
  }
  Json list = Json::array();
  for (auto& [id, json] : engines) {
    list.push_back(std::move(json));
  }
  return list;
}

OrderService::OrderService(ControlSystem& control,
                           const connection::KeyValue& key_value,
                           connection::EngineAdmin engine_admin,
                           base::Clock clock,
                           base::RandomSource random,
                           base::InstanceId instance,
                           base::ZoneId zone,
                           OrderSettings settings,
                           OrderHooks hooks,
                           base::Metrics& metrics)
    : details_(std::make_unique<Details>()) {
  details_->clock = std::move(clock);
  details_->random = std::move(random);
  details_->instance = std::move(instance);
  details_->zone = std::move(zone);
  details_->hooks = std::move(hooks);
  details_->store =
      std::make_shared<const OrderStore>(MakeOrderStore(key_value));
  CoordinatorDependencies dependencies;
  dependencies.store = details_->store;
  dependencies.admin =
      std::make_shared<const connection::EngineAdmin>(std::move(engine_admin));
  dependencies.clock = details_->clock;
  dependencies.random = details_->random;
  dependencies.metrics = &metrics;
  dependencies.hooks = details_->hooks;
  details_->Start(control, settings, dependencies);
}

OrderService::~OrderService() {
  Stop();
}

void OrderService::Stop() {
  std::call_once(details_->stop_once, [this] {
    for (const auto& shard : details_->shards) {
      StopOrderActor(shard->actor);
    }
    for (const auto& shard : details_->shards) {
      shard->stopped.wait();
      shard->actor = nullptr;
    }
    details_->store_pool.reset();
    details_->engine_pool.reset();
  });
}

void OrderService::OnTargetView(const ViewItem& item) {
  std::lock_guard lock(details_->published_mutex);
  Details::PublishedStatus& published = details_->published[item.key];
  if (published.version < item.version) {
    published = {item.version, item.as_of, item.body};
  }
}

ApiAnswer OrderService::Handle(const ApiCall& call) {
  if (call.path == kFleetPath) {
    return call.method == "GET"
               ? ApiAnswer{200, FleetStatusJson()}
               : ApiError(kMethodNotAllowed, "method", "use GET");
  }
  const auto drain = ParseDrainPath(call.path);
  if (!drain) {
    return ApiError(kNotFound, "not_found", "unknown path");
  }
  return call.method == "POST"
             ? details_->Drain(*drain)
             : ApiError(kMethodNotAllowed, "method", "use POST");
}

std::string OrderService::FleetStatusJson() const {
  const base::Time now = details_->clock();
  Json authority = Json::array();
  for (const auto& shard : details_->shards) {
    authority.push_back(EncodeAuthority(*shard->status.Get(), now));
  }
  const Json json = {{"instance", details_->instance.str()},
                     {"zone", details_->zone.str()},
                     {"authority", std::move(authority)},
                     {"engines", details_->EnginesJson(now)}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace lynxglade::process
