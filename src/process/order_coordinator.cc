#include "process/order_coordinator.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "base/log.h"
#include "process/desired_state.h"

namespace lynxglade::process {

namespace {

using connection::KvError;

constexpr const char* kLeasePrefix = "/lynxglade/lease/";
constexpr const char* kDrainPrefix = "/lynxglade/drains/";
constexpr base::Duration kDrainsInterval = std::chrono::seconds(2);
constexpr base::Duration kPermitsInterval = std::chrono::seconds(10);
// A permit is released after its engine has been missing from the list of
// engines for this long.
constexpr base::Duration kOrphanPermitTimeout = std::chrono::minutes(1);

LeaseSettings MakeLeaseSettings(const base::InstanceId& instance,
                                const base::ZoneId& zone,
                                int shard,
                                const OrderSettings& settings) {
  LeaseSettings lease;
  lease.key = LeaseKey(zone, shard);
  lease.holder = instance;
  lease.ttl = settings.lease_ttl;
  // An order that passed its last deadline check can't take effect after the
  // lease has expired.
  lease.margin = settings.engine_connection_bound + settings.guard;
  return lease;
}

}  // namespace

std::string LeaseKey(const base::ZoneId& zone, int shard) {
  return kLeasePrefix + zone.str() + "/" + std::to_string(shard);
}

std::string DrainKey(const base::TargetId& target) {
  return kDrainPrefix + target.str();
}

int ShardOf(const base::TargetId& target, int shards) {
  return static_cast<int>(base::Hash64(target.str()) %
                          static_cast<std::uint64_t>(std::max(shards, 1)));
}

OrderCoordinator::OrderCoordinator(base::InstanceId instance,
                                   base::ZoneId zone,
                                   int shard,
                                   const OrderSettings& settings,
                                   CoordinatorDependencies dependencies)
    : zone_(std::move(zone)),
      shard_(shard),
      hooks_(std::move(dependencies.hooks)),
      lease_(MakeLeaseSettings(instance, zone_, shard, settings),
             dependencies.random) {
  context_.settings = settings;
  context_.instance = std::move(instance);
  context_.lease_key = LeaseKey(zone_, shard);
  context_.clock = std::move(dependencies.clock);
  context_.random = std::move(dependencies.random);
  context_.store = std::move(dependencies.store);
  context_.admin = std::move(dependencies.admin);
  context_.run_store = std::move(dependencies.run_store);
  context_.run_engine = std::move(dependencies.run_engine);
  context_.lease = &lease_;
  context_.load_limiter = &load_limiter_;
  context_.metrics = dependencies.metrics;
}

void OrderCoordinator::Tick() {
  const base::Time now = context_.clock();
  if (stopping_ && !DriversBusy() && !permits_call_in_flight_) {
    lease_.Release();
  }
  AdvanceLease();
  if (stopping_ || !UpdateAuthority()) {
    return;
  }
  if (!lease_.FenceForOrders(now)) {
    // Updates the reported status only; no step is taken without authority.
    std::ranges::for_each(drivers_, [](auto& it) { it.second->Step(); });
    return;
  }
  RefreshRows();
  RefreshDrains(now);
  RefreshPermits(now);
  if (!drains_loaded_ || !permits_loaded_ || context_.permits_stale) {
    return;
  }
  SetDesired();
  SetCapacity();
  SetLoadRate();
  std::ranges::for_each(drivers_, [](auto& it) { it.second->Step(); });
  PublishChanges(now);
}

bool OrderCoordinator::stopped() const noexcept {
  return stopping_ && lease_.released() && !lease_call_in_flight_ &&
         !drains_call_in_flight_ && !permits_call_in_flight_ && !DriversBusy();
}

ShardStatus OrderCoordinator::Status() const {
  ShardStatus status;
  status.zone = zone_;
  status.shard = shard_;
  status.state = lease_.state();
  status.holder = lease_.holder();
  status.expiry = lease_.expiry();
  status.order_deadline = lease_.OrderDeadline();
  std::ranges::transform(drivers_, std::back_inserter(status.engines),
                         [](const auto& it) { return it.second->Status(); });
  return status;
}

bool OrderCoordinator::DriversBusy() const {
  return std::ranges::any_of(drivers_,
                             [](const auto& it) { return it.second->busy(); });
}

// --- Authority --------------------------------------------------------------

void OrderCoordinator::AdvanceLease() {
  if (lease_call_in_flight_) {
    return;
  }
  if (const auto call = lease_.Next(context_.clock())) {
    MakeLeaseCall(*call);
  }
}

void OrderCoordinator::MakeLeaseCall(const LeaseCall& call) {
  lease_call_in_flight_ = true;
  context_.run_store([this, call, store = context_.store,
                      key = context_.lease_key,
                      ttl = context_.settings.lease_ttl]() -> Completion {
    KvError error = KvError::kNone;
    Completion apply_result;
    switch (call.kind) {
      case LeaseCallKind::kRead:
        apply_result = [this, range = store->get(key, &error), error] {
          lease_.OnRead(context_.clock(), range, error);
        };
        break;
      case LeaseCallKind::kGrant:
        apply_result = [this, lease = store->grant_lease(ttl, &error), error] {
          lease_.OnGrant(context_.clock(), lease, error);
        };
        break;
      case LeaseCallKind::kCreate: {
        auto result = store->commit({{key, base::Revision(0)}},
                                    {{key, call.value, call.lease}}, &error);
        apply_result = [this, result = std::move(result), error] {
          lease_.OnCreate(context_.clock(), result, error);
        };
        break;
      }
      case LeaseCallKind::kKeepAlive:
        apply_result = [this, left = store->keep_alive(call.lease, &error),
                        error] {
          lease_.OnKeepAlive(context_.clock(), left, error);
        };
        break;
      case LeaseCallKind::kRevoke:
        apply_result = [this, done = store->revoke_lease(call.lease, &error)] {
          lease_.OnRevoke(context_.clock(), done);
        };
        break;
    }
    return [this, apply_result = std::move(apply_result)] {
      lease_call_in_flight_ = false;
      apply_result();
      AdvanceLease();
    };
  });
}

bool OrderCoordinator::UpdateAuthority() {
  const bool holding = lease_.state() == LeaseState::kHeld ||
                       (lease_.state() == LeaseState::kUncertain && authority_);
  const auto fence = holding && lease_.holder()
                         ? std::optional(lease_.holder()->fence)
                         : std::nullopt;
  if (fence == authority_) {
    return authority_.has_value();
  }
  std::ranges::for_each(drivers_, [](auto& it) { it.second->Retire(); });
  if (DriversBusy() || permits_call_in_flight_) {
    return false;
  }
  drivers_.clear();
  last_published_.clear();
  orphans_.clear();
  authority_ = fence;
  permits_loaded_ = false;
  context_.permits_stale = true;
  // An earlier holder can consider its lease valid for up to the TTL, even if
  // the service expired it early, and its last order can be in flight for the
  // connection bound.
  context_.late_orders_until =
      lease_.held_since() + context_.settings.lease_ttl +
      context_.settings.engine_connection_bound + context_.settings.guard;
  base::Log(base::LogLevel::kInfo, fence ? "lease_taken" : "lease_gone",
            {{"zone", zone_.str()},
             {"shard", shard_},
             {"fence", fence ? fence->value() : 0}});
  context_.metrics
      ->GetCounter("lynxglade_lease_changes_total",
                   {{"event", fence ? "taken" : "gone"}})
      .Add();
  return authority_.has_value();
}

// --- Engines, drains and permits ---------------------------------------------

void OrderCoordinator::RefreshRows() {
  rows_ = hooks_.engines();
  plain_rows_.clear();
  std::set<base::TargetId> own;
  for (const EngineRow& row : rows_) {
    if (row.zone != zone_ ||
        ShardOf(row.id, context_.settings.shards) != shard_) {
      continue;
    }
    if (!row.engine) {
      plain_rows_.push_back(row);
      continue;
    }
    own.insert(row.id);
    auto& driver = drivers_[row.id];
    if (driver) {
      driver->SetRow(row);
    } else {
      driver = std::make_unique<EngineDriver>(context_, row);
      // The engine may hold a permit from an earlier holder; list the permits
      // before the first step.
      context_.permits_stale = true;
    }
  }
  std::erase_if(rows_, [](const EngineRow& row) { return !row.engine; });
  std::erase_if(drivers_, [&](const auto& it) {
    return !own.contains(it.first) && !it.second->busy();
  });
}

void OrderCoordinator::RefreshDrains(base::Time now) {
  if (drains_call_in_flight_ || now < drains_due_) {
    return;
  }
  drains_call_in_flight_ = true;
  drains_due_ = now + kDrainsInterval;
  context_.run_store([this, store = context_.store]() -> Completion {
    KvError error = KvError::kNone;
    auto range = store->list(kDrainPrefix, &error);
    return [this, range = std::move(range)] {
      drains_call_in_flight_ = false;
      if (!range) {
        return;
      }
      drains_loaded_ = true;
      drains_.clear();
      const std::string_view prefix = kDrainPrefix;
      for (const connection::KvEntry& entry : range->entries) {
        drains_.insert(base::TargetId(entry.key.substr(prefix.size())));
      }
    };
  });
}

void OrderCoordinator::RefreshPermits(base::Time now) {
  if (permits_call_in_flight_ ||
      (now < permits_due_ && !context_.permits_stale)) {
    return;
  }
  permits_call_in_flight_ = true;
  permits_due_ = now + kPermitsInterval;
  context_.run_store([this, store = context_.store,
                      calls = context_.permit_calls]() -> Completion {
    KvError error = KvError::kNone;
    auto permits = ListPermits(*store, &error);
    return [this, permits = std::move(permits), calls] {
      permits_call_in_flight_ = false;
      if (permits && calls == context_.permit_calls) {
        ApplyPermits(*permits, context_.clock());
      } else {
        context_.permits_stale = true;
      }
    };
  });
}

void OrderCoordinator::ApplyPermits(const std::vector<Permit>& permits,
                                    base::Time now) {
  context_.permits_stale = false;
  permits_loaded_ = true;
  for (auto& [id, driver] : drivers_) {
    const auto it = std::ranges::find(permits, id, &Permit::target);
    driver->SetPermit(it == permits.end() ? std::nullopt : std::optional(*it));
  }
  std::map<std::string, base::Time> orphans;
  for (const Permit& permit : permits) {
    const bool listed =
        std::ranges::find(rows_, permit.target, &EngineRow::id) != rows_.end();
    if (listed || permit.zone != zone_ ||
        ShardOf(permit.target, context_.settings.shards) != shard_) {
      continue;
    }
    const auto seen = orphans_.try_emplace(permit.key, now).first->second;
    orphans.emplace(permit.key, seen);
    if (now - seen > kOrphanPermitTimeout) {
      ReleaseOrphan(permit);
    }
  }
  orphans_ = std::move(orphans);
}

void OrderCoordinator::ReleaseOrphan(const Permit& permit) {
  if (!authority_ || permits_call_in_flight_) {
    return;
  }
  permits_call_in_flight_ = true;
  const LeaseGuard guard{context_.lease_key, *authority_};
  context_.run_store(
      [this, store = context_.store, guard, permit]() -> Completion {
        ReleasePermit(*store, guard, permit);
        return [this] {
          permits_call_in_flight_ = false;
          context_.permits_stale = true;
        };
      });
}

// --- Desired state -----------------------------------------------------------

void OrderCoordinator::SetDesired() {
  const bool state_known = std::ranges::all_of(
      drivers_, [](const auto& it) { return it.second->state_known(); });
  const auto configuration = hooks_.configuration();
  if (!state_known || !configuration || configuration->revision.value() == 0) {
    return;
  }
  const auto requested_roles = hooks_.requested_roles();
  std::vector<EngineContent> contents;
  for (const auto& [id, driver] : drivers_) {
    if (auto content = driver->Content()) {
      contents.push_back({id, driver->row().service, driver->row().leaving,
                          *std::move(content)});
    }
  }
  DesiredInputs inputs;
  inputs.configuration = configuration.get();
  inputs.requested_roles = &requested_roles;
  inputs.drains = &drains_;
  const auto desired = DesiredStates(contents, inputs);
  for (auto& [id, driver] : drivers_) {
    const auto it = desired.find(id);
    driver->SetDesired(it == desired.end() ? std::nullopt
                                           : std::optional(it->second));
  }
}

void OrderCoordinator::SetCapacity() {
  const auto configuration = hooks_.configuration();
  if (!configuration) {
    return;
  }
  struct Fleet {
    int size = 0;
    int serving = 0;
  };
  std::map<base::ServiceName, Fleet> fleets;
  for (const EngineRow& row : rows_) {
    const auto own = drivers_.find(row.id);
    const bool serving =
        own == drivers_.end() ? row.serving : own->second->IsServing();
    Fleet& fleet = fleets[row.service];
    fleet.size += row.leaving ? 0 : 1;
    fleet.serving += serving && !row.leaving ? 1 : 0;
  }
  for (auto& [id, driver] : drivers_) {
    const base::ServiceName& service = driver->row().service;
    const Fleet& fleet = fleets[service];
    const int floor = CapacityFloor(*configuration, service, fleet.size,
                                    context_.settings.max_unavailable);
    driver->SetCapacityAllows(fleet.serving - 1 >= floor);
  }
}

void OrderCoordinator::SetLoadRate() {
  const double own = static_cast<double>(drivers_.size());
  const double all =
      static_cast<double>(std::max<std::size_t>(rows_.size(), 1));
  load_limiter_.SetRate(hooks_.weight_loads_per_minute() * own / all);
}

// --- Publication -------------------------------------------------------------

void OrderCoordinator::PublishChanges(base::Time now) {
  for (const auto& [id, driver] : drivers_) {
    if (driver->state_known()) {
      Publish(driver->Status(), now);
    }
  }
  for (const EngineRow& row : plain_rows_) {
    EngineStatus status;
    status.id = row.id;
    status.service = row.service;
    status.zone = row.zone;
    status.engine = false;
    status.step = OrderStep::kDone;
    status.waiting_since = now;
    if (row.leaving) {
      status.state = request::TargetState::kLeaving;
    } else if (drains_.contains(row.id)) {
      status.state = request::TargetState::kDraining;
    }
    Publish(status, now);
  }
}

void OrderCoordinator::Publish(const EngineStatus& status, base::Time now) {
  nlohmann::json body = EncodeEngineStatus(status, now);
  // Members that change continuously don't trigger a publication.
  nlohmann::json stable = body;
  stable.erase("waiting_ms");
  if (stable.contains("observed")) {
    stable["observed"].erase("age_ms");
    stable["observed"].erase("in_flight");
  }
  std::string text = stable.dump();
  std::string& last = last_published_[status.id];
  if (text == last) {
    return;
  }
  last = std::move(text);
  ViewItem item;
  item.kind = ViewKind::kTarget;
  item.key = status.id.str();
  item.version = {static_cast<std::uint64_t>(authority_->value()),
                  ++publish_count_};
  item.source = context_.instance;
  item.as_of = now;
  item.body = body.dump();
  hooks_.publish(std::move(item));
}

}  // namespace lynxglade::process
