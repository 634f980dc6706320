#include "process/order_simulation.h"

#include <algorithm>
#include <utility>

namespace lynxglade::process {

namespace {

using connection::EngineAdminError;
using connection::KvError;

constexpr base::Duration kTtl = std::chrono::seconds(20);
constexpr base::Duration kChangeTime = std::chrono::seconds(3);

connection::EnginePhase ToPhase(fakes::EnginePhase phase) {
  switch (phase) {
    case fakes::EnginePhase::kReady:
      return connection::EnginePhase::kReady;
    case fakes::EnginePhase::kChanging:
      return connection::EnginePhase::kChanging;
    case fakes::EnginePhase::kHalfChanged:
      break;
  }
  return connection::EnginePhase::kHalfChanged;
}

template <typename T>
T TakeOne(std::size_t pick, std::deque<T>* queue) {
  const auto it =
      queue->begin() + static_cast<std::ptrdiff_t>(pick % queue->size());
  T taken = std::move(*it);
  queue->erase(it);
  return taken;
}

fakes::EngineSetup Setup(const std::string& version) {
  return {request::EngineRole::kMixed, "m", version, {}};
}

}  // namespace

// --- SimStore ---------------------------------------------------------------

OrderStore SimStore::Hooks() {
  OrderStore hooks;
  hooks.get = [this](const std::string& key,
                     KvError* error) -> std::optional<connection::KvRange> {
    *error = down ? KvError::kUnreachable : KvError::kNone;
    if (down) {
      return std::nullopt;
    }
    connection::KvRange range;
    if (const auto entry = Find(key)) {
      range.entries.push_back(*entry);
    }
    return range;
  };
  hooks.list = [this](const std::string& prefix,
                      KvError* error) -> std::optional<connection::KvRange> {
    *error = down ? KvError::kUnreachable : KvError::kNone;
    return down ? std::nullopt
                : std::optional(connection::KvRange{All(prefix), {}});
  };
  hooks.commit = [this](const auto& guards, const auto& writes,
                        KvError* error) {
    return Commit({guards, writes}, error);
  };
  hooks.grant_lease =
      [this](base::Duration ttl,
             KvError* error) -> std::optional<connection::KvLeaseId> {
    *error = down ? KvError::kUnreachable : KvError::kNone;
    if (down) {
      return std::nullopt;
    }
    leases_[next_lease_] = {clock_() + ttl, ttl};
    return connection::KvLeaseId(next_lease_++);
  };
  hooks.keep_alive = [this](connection::KvLeaseId lease,
                            KvError* error) -> std::optional<base::Duration> {
    *error = down ? KvError::kUnreachable : KvError::kNone;
    if (down) {
      return std::nullopt;
    }
    Expire();
    const auto it = leases_.find(lease.value());
    if (it == leases_.end()) {
      return base::Duration::zero();
    }
    it->second.expiry = clock_() + it->second.ttl;
    return it->second.ttl;
  };
  hooks.revoke_lease = [this](connection::KvLeaseId lease, KvError* error) {
    *error = down ? KvError::kUnreachable : KvError::kNone;
    if (!down) {
      leases_[lease.value()].expiry = base::Time{};
      Expire();
    }
    return !down;
  };
  return hooks;
}

std::optional<connection::KvTxnResult> SimStore::Commit(const Write& write,
                                                        KvError* error) {
  WriteOutcome outcome =
      down ? WriteOutcome::kUnreachable : WriteOutcome::kDone;
  if (!down && !outcomes.empty()) {
    outcome = outcomes.front();
    outcomes.pop_front();
  }
  *error = KvError::kNone;
  switch (outcome) {
    case WriteOutcome::kDone:
      return Apply(write);
    case WriteOutcome::kAnswerLost:
      Apply(write);
      break;
    case WriteOutcome::kRequestLost:
      break;
    case WriteOutcome::kLate:
      late_.push_back(write);
      break;
    case WriteOutcome::kUnreachable:
      *error = KvError::kUnreachable;
      return std::nullopt;
  }
  *error = KvError::kAmbiguous;
  return std::nullopt;
}

void SimStore::ApplyLateWrites() {
  for (const Write& write : std::exchange(late_, {})) {
    Apply(write);
  }
}

std::optional<connection::KvTxnResult> SimStore::Apply(const Write& write) {
  Expire();
  connection::KvTxnResult result;
  const bool holds = std::ranges::all_of(write.guards, [&](const auto& guard) {
    const auto it = entries_.find(guard.key);
    const base::Revision found =
        it == entries_.end() ? base::Revision(0) : it->second.mod_revision;
    return found == guard.mod_revision;
  });
  const bool leased = std::ranges::all_of(write.writes, [&](const auto& w) {
    return w.lease.value() == 0 || leases_.contains(w.lease.value());
  });
  if (!holds || !leased) {
    for (const auto& guard : write.guards) {
      if (const auto entry = Find(guard.key)) {
        result.found.push_back(*entry);
      }
    }
    return result;
  }
  const base::Revision revision(++revision_);
  for (const auto& w : write.writes) {
    if (!w.value) {
      entries_.erase(w.key);
      continue;
    }
    connection::KvEntry& entry = entries_[w.key];
    if (entry.key.empty()) {
      entry.create_revision = revision;
    }
    entry.key = w.key;
    entry.value = *w.value;
    entry.mod_revision = revision;
    entry.lease = w.lease;
  }
  for (const auto& w : write.writes) {
    if (w.value && on_put) {
      on_put(w.key, *w.value);
    }
  }
  result.committed = true;
  result.revision = revision;
  return result;
}

void SimStore::Expire() {
  std::erase_if(leases_,
                [&](const auto& it) { return it.second.expiry <= clock_(); });
  std::erase_if(entries_, [&](const auto& it) {
    const auto lease = it.second.lease.value();
    return lease != 0 && !leases_.contains(lease);
  });
}

std::optional<connection::KvEntry> SimStore::Find(const std::string& key) {
  Expire();
  const auto it = entries_.find(key);
  return it == entries_.end() ? std::nullopt : std::optional(it->second);
}

void SimStore::Put(const std::string& key, const std::string& value) {
  Apply({{}, {{key, value, connection::KvLeaseId(0)}}});
}

std::optional<base::Time> SimStore::ExpiryOf(const std::string& key) {
  const auto entry = Find(key);
  return entry ? std::optional(leases_[entry->lease.value()].expiry)
               : std::nullopt;
}

std::vector<connection::KvEntry> SimStore::All(const std::string& prefix) {
  Expire();
  std::vector<connection::KvEntry> out;
  for (const auto& [key, entry] : entries_) {
    if (key.starts_with(prefix)) {
      out.push_back(entry);
    }
  }
  return out;
}

// --- OrderSimulation --------------------------------------------------------

OrderSimulation::OrderSimulation(Options options)
    : options_(options), store_([this] { return now_; }) {
  SetModel("1");
  store_.on_put = [this](const std::string& key, const std::string& value) {
    CheckRecord(key, value);
  };
  for (int i = 0; i < options_.fenced + options_.unfenced; ++i) {
    const bool fenced = i < options_.fenced;
    fakes::EngineOrders::Settings settings;
    settings.initial = Setup("1");
    settings.fenced = fenced;
    settings.change_time = kChangeTime;
    engines_.push_back(
        std::make_unique<SimEngine>("e" + std::to_string(i), fenced, settings));
    engines_.back()->row.zone = ZoneOf(engines_.size() - 1);
  }
  for (int i = 0; i < options_.holders; ++i) {
    holders_.push_back(std::make_unique<Holder>());
    holders_.back()->zone = ZoneOf(holders_.size() - 1);
    Start(*holders_.back());
  }
}

void OrderSimulation::Start(Holder& holder) {
  OrderSettings settings;
  settings.lease_ttl = kTtl;
  settings.engine_connection_bound = options_.connection_bound;
  CoordinatorDependencies deps;
  deps.store = std::make_shared<const OrderStore>(store_.Hooks());
  deps.admin = std::make_shared<const connection::EngineAdmin>(Admin());
  deps.run_store = [&holder](BlockingCall call) {
    holder.calls.push_back(std::move(call));
  };
  deps.run_engine = deps.run_store;
  deps.clock = [this] { return now_; };
  deps.random = random_;
  deps.metrics = &metrics_;
  deps.hooks.engines = [this] {
    std::vector<EngineRow> rows;
    std::ranges::transform(engines_, std::back_inserter(rows),
                           [](const auto& engine) { return engine->row; });
    return rows;
  };
  deps.hooks.configuration = [this] { return configuration_; };
  deps.hooks.requested_roles = [] {
    return std::map<base::TargetId, request::EngineRole>();
  };
  deps.hooks.weight_loads_per_minute = [] { return 60; };
  deps.hooks.publish = [](const ViewItem&) {};
  holder.coordinator = std::make_unique<OrderCoordinator>(
      base::InstanceId("i" + std::to_string(++instances_)), holder.zone, 0,
      settings, std::move(deps));
}

base::ZoneId OrderSimulation::ZoneOf(std::size_t n) const {
  return base::ZoneId(
      "zone-" + std::to_string(n % static_cast<std::size_t>(options_.zones)));
}

std::optional<connection::KvEntry> OrderSimulation::LeaseOf(
    const SimEngine& engine) {
  return store_.Find(LeaseKey(engine.row.zone, 0));
}

void OrderSimulation::Replace(std::size_t holder) {
  Holder& it = *holders_[holder];
  it.calls.clear();
  it.completions.clear();
  Start(it);
}

void OrderSimulation::Advance(base::Duration d) {
  now_ += d;
  for (const auto& engine : engines_) {
    engine->orders.Advance(now_);
  }
}

void OrderSimulation::TickHolder(std::size_t holder) {
  holders_[holder]->coordinator->Tick();
}

void OrderSimulation::RunCall(std::size_t holder, std::size_t pick) {
  Holder& it = *holders_[holder];
  if (!it.calls.empty()) {
    const BlockingCall call = TakeOne(pick, &it.calls);
    it.completions.push_back(call());
    CheckOutages();
  }
}

void OrderSimulation::Complete(std::size_t holder, std::size_t pick) {
  Holder& it = *holders_[holder];
  if (!it.completions.empty()) {
    const Completion done = TakeOne(pick, &it.completions);
    done();
  }
}

void OrderSimulation::ApproachExpiry(base::Duration before) {
  const auto expiry = store_.ExpiryOf(LeaseKey(ZoneOf(0), 0));
  store_.down = true;
  if (expiry && *expiry - before > now_) {
    Advance(*expiry - before - now_);
  }
}

void OrderSimulation::Run(std::size_t holder) {
  constexpr int kRounds = 30;
  TickHolder(holder);
  for (int round = 0; round < kRounds; ++round) {
    RunCall(holder);
    Complete(holder);
  }
}

void OrderSimulation::RunAll() {
  for (std::size_t i = 0; i < holders_.size(); ++i) {
    Run(i);
  }
}

void OrderSimulation::DeliverDelayedOrders() {
  for (const DelayedOrder& held : std::exchange(delayed_, {})) {
    SimEngine* const engine = FindUp(held.engine);
    const bool same =
        engine && engine->orders.incarnation() == held.incarnation;
    const bool open = now_ < held.connection_ends || !options_.connections_end;
    if (same && open) {
      ++late_orders;
      Deliver(*engine, held.order);
    }
  }
}

void OrderSimulation::StartRequest(std::size_t engine) {
  SimEngine& it = *engines_[engine];
  if (!it.orders.draining() &&
      it.orders.phase() == fakes::EnginePhase::kReady) {
    ++it.in_flight;
  }
}

void OrderSimulation::EndRequest(std::size_t engine) {
  SimEngine& it = *engines_[engine];
  it.in_flight = std::max(0, it.in_flight - 1);
}

void OrderSimulation::Crash(std::size_t engine, bool half_changed) {
  engines_[engine]->orders.Crash(half_changed);
  engines_[engine]->in_flight = 0;
}

void OrderSimulation::SetModel(const std::string& version) {
  auto next = std::make_shared<version::Configuration>();
  next->revision = base::Revision(1);
  version::Contract contract;
  contract.id = base::ContractId("c");
  version::Intent intent;
  intent.service = base::ServiceName("llm");
  intent.model = base::ModelName("m");
  intent.version = base::ModelVersion(version);
  intent.share = 0.5;
  contract.intents.push_back(intent);
  next->contracts.emplace(contract.id, contract);
  configuration_ = std::move(next);
}

connection::EngineAdmin OrderSimulation::Admin() {
  connection::EngineAdmin admin;
  admin.read_state =
      [this](
          const connection::EngineEndpoint& endpoint,
          EngineAdminError* error) -> std::optional<connection::EngineState> {
    const SimEngine* const engine = FindUp(endpoint.address);
    *error = engine ? EngineAdminError::kNone : EngineAdminError::kUnreachable;
    return engine ? std::optional(StateOf(*engine)) : std::nullopt;
  };
  admin.send_order =
      [this](
          const connection::EngineEndpoint& endpoint,
          const connection::EngineOrder& order,
          const connection::MaySend& may_send,
          EngineAdminError* error) -> std::optional<connection::OrderAnswer> {
    SimEngine* const engine = FindUp(endpoint.address);
    if (!engine || !may_send(StateOf(*engine))) {
      *error = engine ? EngineAdminError::kNotAllowed
                      : EngineAdminError::kUnreachable;
      return std::nullopt;
    }
    OrderOutcome outcome = OrderOutcome::kDone;
    if (!order_outcomes.empty()) {
      outcome = order_outcomes.front();
      order_outcomes.pop_front();
    }
    *error = EngineAdminError::kNone;
    if (outcome == OrderOutcome::kDelayed) {
      delayed_.push_back({endpoint.address, order,
                          now_ + options_.connection_bound,
                          engine->orders.incarnation()});
      *error = EngineAdminError::kAmbiguous;
      return std::nullopt;
    }
    const auto answer = Deliver(*engine, order);
    if (outcome == OrderOutcome::kAnswerLost) {
      *error = EngineAdminError::kAmbiguous;
      return std::nullopt;
    }
    return answer;
  };
  return admin;
}

SimEngine* OrderSimulation::FindUp(const std::string& id) {
  const auto it = std::ranges::find_if(
      engines_, [&](const auto& engine) { return engine->id.str() == id; });
  return it == engines_.end() || (*it)->down ? nullptr : it->get();
}

connection::EngineState OrderSimulation::StateOf(
    const SimEngine& engine) const {
  connection::EngineState state;
  const fakes::EngineSetup& setup = engine.orders.setup();
  state.incarnation = std::to_string(engine.orders.incarnation());
  state.fenced = engine.orders.fenced();
  state.phase = ToPhase(engine.orders.phase());
  state.in_flight = engine.in_flight;
  state.current.draining = engine.orders.draining();
  state.current.role = setup.role;
  state.current.model = base::ModelName(setup.model);
  state.current.version = base::ModelVersion(setup.version);
  state.generation = engine.orders.generation();
  state.fence = engine.orders.fence();
  return state;
}

connection::OrderAnswer OrderSimulation::Deliver(
    SimEngine& engine,
    const connection::EngineOrder& order) {
  fakes::EngineOrder given;
  given.order_id = order.order_id;
  given.fence = order.fence;
  given.generation = order.generation;
  given.draining = order.target.draining;
  given.target = {order.target.role, order.target.model.str(),
                  order.target.version.str(), order.target.adapters};
  const auto verdict = engine.orders.Handle(given, engine.in_flight, now_);
  if (verdict == fakes::OrderVerdict::kInFlight) {
    Fail("change ordered while requests are in flight on " + engine.id.str());
  }
  if (!fakes::IsAccepted(verdict)) {
    return {false, verdict == fakes::OrderVerdict::kStaleFence
                       ? connection::OrderRefusal::kStaleFence
                       : connection::OrderRefusal::kBusy};
  }
  ++accepted_orders;
  CheckOrder(engine, order);
  return {true, connection::OrderRefusal::kNone};
}

void OrderSimulation::CheckOrder(const SimEngine& engine,
                                 const connection::EngineOrder& order) {
  const auto lease = LeaseOf(engine);
  const bool held =
      lease && lease->create_revision.value() == order.fence.value() &&
      lease->value.find('"' + order.holder.str() + '"') != std::string::npos;
  if (!held) {
    Fail("order without a valid lease was accepted by " + engine.id.str());
  }
  auto& last = last_[engine.id.str()];
  const bool older =
      order.fence < last.fence || order.generation < last.generation;
  if (older && order.target != last.target) {
    Fail("older order replaced a newer one on " + engine.id.str());
  }
  last = order;
}

void OrderSimulation::CheckRecord(const std::string& key,
                                  const std::string& value) {
  const auto engine = std::ranges::find_if(
      engines_, [&](const auto& it) { return JournalKey(it->id) == key; });
  if (engine == engines_.end()) {
    return;
  }
  const auto record = DecodeRecord(value);
  const auto lease = LeaseOf(**engine);
  if (!record || !lease ||
      lease->create_revision.value() != record->fence.value()) {
    Fail("journal record written without a valid lease: " + key);
  }
}

void OrderSimulation::CheckOutages() {
  const auto out = std::ranges::count_if(engines_, [](const auto& engine) {
    return engine->orders.draining() ||
           engine->orders.phase() != fakes::EnginePhase::kReady;
  });
  if (out > 1) {
    Fail("more than one engine out of service");
  }
}

bool OrderSimulation::Settled() {
  const std::string& version =
      configuration_->contracts.begin()->second.intents.front().version.str();
  const bool ready = std::ranges::all_of(engines_, [&](const auto& engine) {
    return engine->orders.phase() == fakes::EnginePhase::kReady &&
           !engine->orders.draining() &&
           engine->orders.setup() == Setup(version);
  });
  return ready && store_.All("/lynxglade/permits/").empty();
}

void OrderSimulation::Fail(const std::string& text) {
  if (violation_.empty()) {
    violation_ = text;
  }
}

}  // namespace lynxglade::process
