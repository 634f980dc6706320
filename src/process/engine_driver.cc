#include "process/engine_driver.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace lynxglade::process {

namespace {

using connection::EngineAdminError;
using connection::EnginePhase;
using connection::KvError;
using request::TargetState;

// Retry interval when no permit could be taken.
constexpr base::Duration kPermitRetry = std::chrono::seconds(2);

}  // namespace

EngineDriver::EngineDriver(ShardContext& context, EngineRow row)
    : context_(context), row_(std::move(row)), journal_(row_.id) {
  waiting_since_ = context_.clock();
}

void EngineDriver::Step() {
  if (busy_ || retired_) {
    return;
  }
  const base::Time now = context_.clock();
  const auto fence = context_.lease->FenceForOrders(now);
  const OrderDecision decision =
      Decide(MakeDecisionInputs(now), MakeSettings());
  UpdateDecision(decision, now);
  if (!fence) {
    return;
  }
  if (journal_.write_pending()) {
    journal_read_needed_ ? ReadJournalBack() : CommitPending();
    return;
  }
  if (permit_ && permit_release_unconfirmed_) {
    ReleaseHeldPermit(*fence);
    return;
  }
  Execute(decision, *fence);
}

void EngineDriver::Execute(const OrderDecision& decision,
                           base::FencingToken fence) {
  switch (decision.step) {
    case OrderStep::kWait:
    case OrderStep::kDone:
      return;
    case OrderStep::kLoadJournal:
      LoadJournal();
      return;
    case OrderStep::kReadBack:
      ReadBack();
      return;
    case OrderStep::kTakePermit:
      AcquirePermit(fence);
      return;
    case OrderStep::kReleasePermit:
      ReleaseHeldPermit(fence);
      return;
    case OrderStep::kWriteRecord:
      WriteRecord(*decision.record);
      return;
    case OrderStep::kSend:
    case OrderStep::kRaiseFence:
      Send(decision, fence);
      return;
  }
}

// --- State -------------------------------------------------------------------

void EngineDriver::SetRow(EngineRow row) {
  if (row.endpoint.address != row_.endpoint.address ||
      row.endpoint.port != row_.endpoint.port) {
    observation_.reset();
  }
  row_ = std::move(row);
}

void EngineDriver::SetDesired(
    std::optional<connection::EngineTargetState> desired) {
  desired_ = std::move(desired);
}

void EngineDriver::SetPermit(std::optional<Permit> permit) {
  permit_ = std::move(permit);
  permit_release_unconfirmed_ = permit_release_unconfirmed_ && permit_;
}

bool EngineDriver::state_known() const noexcept {
  return journal_.loaded() && (observation_ || unreachable_since_);
}

std::optional<connection::EngineTargetState> EngineDriver::Content() const {
  const auto& record = journal_.record();
  const bool known =
      observation_ && observation_->state.phase == EnginePhase::kReady;
  if (record && (IsOpen(record->phase) || !known)) {
    return record->target;
  }
  return observation_ ? std::optional(observation_->state.current)
                      : std::nullopt;
}

bool EngineDriver::IsServing() const {
  return observation_ && !unreachable_since_ &&
         observation_->state.phase == EnginePhase::kReady &&
         !observation_->state.current.draining && !row_.leaving;
}

EngineStatus EngineDriver::Status() const {
  EngineStatus status;
  status.id = row_.id;
  status.service = row_.service;
  status.zone = row_.zone;
  status.fenced = row_.fenced;
  status.intended = desired_;
  status.ordered = journal_.record();
  status.observed = observation_;
  status.step = decision_.step;
  status.reason = decision_.reason;
  status.waiting_since = waiting_since_;
  status.overdue = IsOverdue();
  status.permit = permit_ ? permit_->key : std::string();
  const auto& record = journal_.record();
  if (row_.leaving) {
    status.state = TargetState::kLeaving;
  } else if (observation_ && observation_->state.phase != EnginePhase::kReady) {
    status.state = decision_.reason == WaitReason::kIsolated
                       ? TargetState::kEjected
                       : TargetState::kChanging;
  } else if ((observation_ && observation_->state.current.draining) ||
             (record && IsOpen(record->phase) && record->target.draining)) {
    status.state = TargetState::kDraining;
  }
  return status;
}

bool EngineDriver::IsOverdue() const {
  const base::Duration waiting = context_.clock() - waiting_since_;
  return decision_.step == OrderStep::kWait &&
         decision_.reason != WaitReason::kNoDesiredState &&
         waiting > context_.settings.overdue_after;
}

DecisionInputs EngineDriver::MakeDecisionInputs(base::Time now) const {
  DecisionInputs inputs;
  inputs.now = now;
  inputs.authority = context_.lease->FenceForOrders(now);
  inputs.journal_loaded = journal_.loaded();
  inputs.journal_unreadable = journal_unreadable_;
  inputs.record = journal_.record();
  inputs.observation = observation_;
  inputs.unreachable_since = unreachable_since_;
  inputs.last_read_attempt = last_read_attempt_;
  inputs.sent = sent_;
  inputs.desired = desired_;
  inputs.fenced = row_.fenced && (!observation_ || observation_->state.fenced);
  inputs.late_orders_until =
      inherited_ ? std::max(context_.late_orders_until, unanswered_until_)
                 : unanswered_until_;
  inputs.permit_held = permit_.has_value();
  inputs.permit_free = now >= permit_retry_;
  inputs.capacity_allows = capacity_allows_;
  inputs.load_allowed = context_.load_limiter->Allows(now);
  return inputs;
}

DecisionSettings EngineDriver::MakeSettings() const {
  DecisionSettings settings;
  settings.holder = context_.instance;
  settings.observation_max_age = 4 * context_.settings.tick;
  settings.busy_interval = 2 * context_.settings.tick;
  settings.idle_interval = context_.settings.read_back_interval;
  settings.retry_pause = 4 * context_.settings.tick;
  settings.max_attempts = context_.settings.max_attempts;
  return settings;
}

void EngineDriver::UpdateDecision(const OrderDecision& decision,
                                  base::Time now) {
  const bool same_wait = decision.step == OrderStep::kWait &&
                         decision_.step == OrderStep::kWait &&
                         decision.reason == decision_.reason;
  // A read-back during a wait doesn't restart the wait.
  if (decision.step == OrderStep::kReadBack) {
    return;
  }
  if (!same_wait) {
    waiting_since_ = now;
    overdue_logged_ = false;
  }
  decision_ = decision;
  if (IsOverdue() && !overdue_logged_) {
    overdue_logged_ = true;
    const std::string reason(ToString(decision.reason));
    base::Log(base::LogLevel::kWarning, "order_overdue",
              {{"target", row_.id.str()}, {"reason", reason}});
    context_.metrics
        ->GetCounter("lynxglade_orders_overdue_total", {{"reason", reason}})
        .Add();
  }
}

// --- Calls ------------------------------------------------------------------

void EngineDriver::Run(const CallRunner& runner, BlockingCall call) {
  busy_ = true;
  runner([this, call = std::move(call)]() -> Completion {
    return [this, done = call()] {
      busy_ = false;
      done();
    };
  });
}

void EngineDriver::LoadJournal() {
  Run(context_.run_store,
      [this, store = context_.store, key = journal_.key()]() -> Completion {
        KvError error = KvError::kNone;
        auto range = store->get(key, &error);
        return [this, range = std::move(range)] {
          if (!range) {
            return;
          }
          const bool found = !range->entries.empty();
          journal_unreadable_ = !journal_.Load(
              found ? std::optional(range->entries.front()) : std::nullopt);
          inherited_ = found;
          Step();
        };
      });
}

void EngineDriver::ReadBack() {
  last_read_attempt_ = context_.clock();
  Run(context_.run_engine,
      [this, admin = context_.admin, endpoint = row_.endpoint,
       clock = context_.clock]() -> Completion {
        const base::Time requested_at = clock();
        EngineAdminError error = EngineAdminError::kNone;
        auto state = admin->read_state(endpoint, &error);
        return [this, state = std::move(state), requested_at] {
          if (!state) {
            if (!unreachable_since_) {
              unreachable_since_ = requested_at;
            }
            return;
          }
          unreachable_since_.reset();
          observation_ = EngineObservation{*state, requested_at};
          Step();
        };
      });
}

void EngineDriver::WriteRecord(JournalRecord record) {
  record.write_id = base::RandomHexId(context_.random);
  journal_.Write(record, context_.lease_key, record.fence);
  CommitPending();
}

void EngineDriver::CommitPending() {
  // The arguments are not used while a write is pending.
  Run(context_.run_store,
      [this, store = context_.store,
       commit = journal_.Write({}, {}, {})]() -> Completion {
        KvError error = KvError::kNone;
        auto result = store->commit(commit.guards, commit.writes, &error);
        return [this, result = std::move(result), error] {
          OnWritten(journal_.OnCommit(result, error));
        };
      });
}

void EngineDriver::ReadJournalBack() {
  Run(context_.run_store,
      [this, store = context_.store, key = journal_.key()]() -> Completion {
        KvError error = KvError::kNone;
        auto range = store->get(key, &error);
        return [this, range = std::move(range)] {
          OnWritten(journal_.OnReadBack(range));
        };
      });
}

void EngineDriver::OnWritten(JournalWriteResult result) {
  journal_read_needed_ = result == JournalWriteResult::kReadBack;
  switch (result) {
    case JournalWriteResult::kStored:
      Step();
      return;
    case JournalWriteResult::kReadBack:
    case JournalWriteResult::kRetry:
      // Retried at the next tick, to limit the load on a failing service.
      return;
    case JournalWriteResult::kLeaseLost:
      context_.lease->OnGuardFailed(context_.clock());
      return;
    case JournalWriteResult::kConflict:
      observation_.reset();
      return;
  }
}

void EngineDriver::Send(const OrderDecision& decision,
                        base::FencingToken fence) {
  const base::Time now = context_.clock();
  const JournalRecord& record = *decision.record;
  connection::EngineOrder order;
  order.fence = fence;
  order.order_id = row_.id.str() + "-" +
                   std::to_string(record.generation.value()) + "-" +
                   std::to_string(order.fence.value());
  order.generation = record.generation;
  order.holder = context_.instance;
  order.target = record.target;
  if (decision.loads_weights) {
    context_.load_limiter->RecordLoad(now);
  }
  // A copy is safe on another thread: the deadline only moves later while the
  // lease is held.
  const base::Time deadline = context_.lease->OrderDeadline();
  Run(context_.run_engine,
      [this, admin = context_.admin, endpoint = row_.endpoint, order, deadline,
       attempt = record.attempts, clock = context_.clock]() -> Completion {
        EngineAdminError error = EngineAdminError::kNone;
        const connection::MaySend may_send = [&](const auto& state) {
          return MayApply(order, state) && clock() < deadline;
        };
        auto answer = admin->send_order(endpoint, order, may_send, &error);
        return [this, order, attempt, answer = std::move(answer), error] {
          OnSent(order, attempt, answer, error);
        };
      });
}

void EngineDriver::OnSent(const connection::EngineOrder& order,
                          int attempt,
                          const std::optional<connection::OrderAnswer>& answer,
                          EngineAdminError error) {
  const base::Time now = context_.clock();
  const bool may_have_arrived = answer ||
                                error == EngineAdminError::kAmbiguous ||
                                error == EngineAdminError::kBadAnswer;
  if (may_have_arrived) {
    sent_ = SentOrder{order.generation, order.fence, attempt,
                      answer && answer->accepted, now};
  } else {
    observation_.reset();
  }
  if (may_have_arrived && !answer) {
    unanswered_until_ = now + context_.settings.engine_connection_bound +
                        context_.settings.guard;
  }
  const std::string result =
      answer ? std::string(connection::ToString(answer->refusal))
             : std::string(connection::ToString(error));
  CountOrder(answer && answer->accepted ? "accepted" : result.c_str());
  base::Log(base::LogLevel::kInfo, "order_sent",
            {{"target", row_.id.str()},
             {"generation", order.generation.value()},
             {"fence", order.fence.value()},
             {"accepted", answer && answer->accepted},
             {"result", result}});
  if (answer && answer->accepted) {
    CountChange(order.target);
  }
  if (may_have_arrived) {
    Step();
  }
}

void EngineDriver::CountChange(
    const connection::EngineTargetState& target) const {
  if (!observation_ ||
      connection::SameContent(observation_->state.current, target)) {
    return;
  }
  const bool role = observation_->state.current.role != target.role;
  context_.metrics
      ->GetCounter("lynxglade_engine_changes_total",
                   {{"kind", role ? "role" : "weights"}})
      .Add();
}

void EngineDriver::AcquirePermit(base::FencingToken fence) {
  Permit permit;
  permit.service = row_.service;
  permit.target = row_.id;
  permit.zone = row_.zone;
  ++context_.permit_calls;
  Run(context_.run_store,
      [this, store = context_.store,
       guard = LeaseGuard{context_.lease_key, fence},
       max = context_.settings.max_unavailable,
       permit]() mutable -> Completion {
        const PermitResult result = TakePermit(*store, guard, max, &permit);
        return [this, result, permit] {
          ++context_.permit_calls;
          if (result == PermitResult::kTaken) {
            permit_ = permit;
            Step();
            return;
          }
          permit_retry_ = context_.clock() + kPermitRetry;
          if (result == PermitResult::kUnknown) {
            context_.permits_stale = true;
          }
        };
      });
}

void EngineDriver::ReleaseHeldPermit(base::FencingToken fence) {
  ++context_.permit_calls;
  Run(context_.run_store,
      [this, store = context_.store,
       guard = LeaseGuard{context_.lease_key, fence},
       permit = *permit_]() -> Completion {
        const bool done = ReleasePermit(*store, guard, permit);
        return [this, done] {
          ++context_.permit_calls;
          permit_release_unconfirmed_ = !done;
          if (done) {
            permit_.reset();
            Step();
          }
        };
      });
}

void EngineDriver::CountOrder(const char* result) const {
  context_.metrics->GetCounter("lynxglade_orders_total", {{"result", result}})
      .Add();
}

}  // namespace lynxglade::process
