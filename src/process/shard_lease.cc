#include "process/shard_lease.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace lynxglade::process {

namespace {

using Json = nlohmann::json;
using connection::KvError;

// Renewals per TTL; several may fail before the order deadline.
constexpr int kRenewalsPerTtl = 6;
// Reads of the key per TTL while another instance holds it.
constexpr int kReadsPerTtl = 6;
// A lease that can't be revoked expires by its TTL.
constexpr int kMaxRevokeAttempts = 2;

std::string EncodeLease(const base::InstanceId& holder,
                        const std::string& acquire_id) {
  const Json json = {{"holder", holder.str()}, {"mark", acquire_id}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string Member(const std::string& text, const char* name) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) {
    return {};
  }
  const auto it = json.find(name);
  const bool found = it != json.end() && it->is_string();
  return found ? it->get<std::string>() : std::string();
}

}  // namespace

std::string_view ToString(LeaseState state) noexcept {
  switch (state) {
    case LeaseState::kNone:
      return "none";
    case LeaseState::kAcquiring:
      return "acquiring";
    case LeaseState::kHeld:
      return "held";
    case LeaseState::kUncertain:
      return "uncertain";
    case LeaseState::kLost:
      break;
  }
  return "lost";
}

ShardLease::ShardLease(LeaseSettings settings, base::RandomSource random)
    : settings_(std::move(settings)), random_(std::move(random)) {}

std::optional<LeaseCall> ShardLease::Next(base::Time now) {
  if (call_in_flight_) {
    return std::nullopt;
  }
  if (revoke_lease_ && lease_.value() != 0) {
    LeaseCall call = Start(LeaseCallKind::kRevoke, now);
    call.lease = lease_;
    return call;
  }
  if (state_ == LeaseState::kHeld ||
      (state_ == LeaseState::kUncertain && !create_unanswered_)) {
    return NextRenewalCall(now);
  }
  if (releasing_ && !create_unanswered_) {
    return std::nullopt;
  }
  return NextAcquireCall(now);
}

std::optional<LeaseCall> ShardLease::NextRenewalCall(base::Time now) {
  if (now >= expiry_) {
    // The lease may still exist on the service, but that is unknown until a
    // renewal is answered.
    state_ = LeaseState::kUncertain;
  }
  if (now < next_call_) {
    return std::nullopt;
  }
  LeaseCall call = Start(LeaseCallKind::kKeepAlive, now);
  call.lease = lease_;
  return call;
}

std::optional<LeaseCall> ShardLease::NextAcquireCall(base::Time now) {
  if (now < next_call_) {
    return std::nullopt;
  }
  if (state_ == LeaseState::kAcquiring && lease_.value() != 0) {
    acquire_id_ = base::RandomHexId(random_);
    LeaseCall call = Start(LeaseCallKind::kCreate, now);
    call.lease = lease_;
    call.value = EncodeLease(settings_.holder, acquire_id_);
    return call;
  }
  if (state_ == LeaseState::kAcquiring) {
    return Start(LeaseCallKind::kGrant, now);
  }
  return Start(LeaseCallKind::kRead, now);
}

LeaseCall ShardLease::Start(LeaseCallKind kind, base::Time now) {
  call_in_flight_ = true;
  call_sent_ = now;
  LeaseCall call;
  call.kind = kind;
  return call;
}

void ShardLease::OnRead(base::Time now,
                        const std::optional<connection::KvRange>& range,
                        KvError error) {
  call_in_flight_ = false;
  if (!range || error != KvError::kNone) {
    next_call_ = now + Jittered(settings_.ttl / kReadsPerTtl);
    return;
  }
  if (range->entries.empty()) {
    holder_.reset();
    if (create_unanswered_) {
      // The create may still arrive; revoking its lease keeps it from taking
      // effect.
      AbandonAcquire(now, base::Duration::zero());
    } else if (!releasing_) {
      state_ = LeaseState::kAcquiring;
    }
    return;
  }
  const connection::KvEntry& entry = range->entries.front();
  holder_ = LeaseHolder{base::InstanceId(Member(entry.value, "holder")),
                        base::FencingToken(entry.create_revision.value())};
  if (create_unanswered_ && Member(entry.value, "mark") == acquire_id_) {
    SetHeld(now, entry.create_revision);
    return;
  }
  AbandonAcquire(now, settings_.ttl / kReadsPerTtl);
}

void ShardLease::OnGrant(base::Time now,
                         const std::optional<connection::KvLeaseId>& lease,
                         KvError error) {
  call_in_flight_ = false;
  if (!lease || error != KvError::kNone) {
    // If the grant took effect without an answer, that lease expires unused.
    AbandonAcquire(now, settings_.ttl / kReadsPerTtl);
    return;
  }
  lease_ = *lease;
  // The service starts the TTL when it receives the call, which is never before
  // the call was sent.
  granted_until_ = call_sent_ + settings_.ttl;
  next_call_ = now;
}

void ShardLease::OnCreate(base::Time now,
                          const std::optional<connection::KvTxnResult>& result,
                          KvError error) {
  call_in_flight_ = false;
  if (result && result->committed) {
    SetHeld(now, result->revision);
    return;
  }
  if (result) {
    AbandonAcquire(now, settings_.ttl / kReadsPerTtl);
    return;
  }
  if (error == KvError::kAmbiguous || error == KvError::kBadAnswer) {
    create_unanswered_ = true;
    state_ = LeaseState::kUncertain;
    next_call_ = now;
    return;
  }
  AbandonAcquire(now, settings_.ttl / kReadsPerTtl);
}

void ShardLease::OnKeepAlive(base::Time now,
                             const std::optional<base::Duration>& left,
                             KvError error) {
  call_in_flight_ = false;
  if (left && *left <= base::Duration::zero()) {
    // The lease has expired on the service, so there is nothing to revoke.
    lease_ = connection::KvLeaseId(0);
    SetLost(now);
    return;
  }
  if (left && error == KvError::kNone) {
    state_ = LeaseState::kHeld;
    // The TTL starts when the service receives the call, never before it was
    // sent. A TTL from the service that is shorter than the configured one
    // takes precedence.
    expiry_ = std::max(expiry_, call_sent_ + std::min(*left, settings_.ttl));
    next_call_ = call_sent_ + settings_.ttl / kRenewalsPerTtl;
    return;
  }
  state_ = now < OrderDeadline() ? LeaseState::kHeld : LeaseState::kUncertain;
  next_call_ = now + Jittered(settings_.ttl / (2 * kRenewalsPerTtl));
}

void ShardLease::OnRevoke(base::Time now, bool done) {
  call_in_flight_ = false;
  ++revoke_attempts_;
  if (done || revoke_attempts_ >= kMaxRevokeAttempts) {
    revoke_lease_ = false;
    lease_ = connection::KvLeaseId(0);
  }
}

void ShardLease::OnGuardFailed(base::Time now) {
  if (state_ == LeaseState::kHeld || state_ == LeaseState::kUncertain) {
    SetLost(now);
  }
}

void ShardLease::Release() {
  if (releasing_) {
    return;
  }
  releasing_ = true;
  if (state_ == LeaseState::kHeld || state_ == LeaseState::kAcquiring ||
      (state_ == LeaseState::kUncertain && !create_unanswered_)) {
    state_ = LeaseState::kNone;
  }
  revoke_lease_ = lease_.value() != 0;
  revoke_attempts_ = 0;
  holder_.reset();
}

std::optional<base::FencingToken> ShardLease::FenceForOrders(
    base::Time now) const {
  if (state_ != LeaseState::kHeld || now >= OrderDeadline()) {
    return std::nullopt;
  }
  return fence_;
}

base::Time ShardLease::OrderDeadline() const {
  return expiry_ - settings_.margin;
}

bool ShardLease::released() const noexcept {
  return releasing_ && !call_in_flight_ && !revoke_lease_;
}

void ShardLease::SetHeld(base::Time now, base::Revision create_revision) {
  create_unanswered_ = false;
  if (releasing_) {
    revoke_lease_ = true;
    state_ = LeaseState::kNone;
    return;
  }
  state_ = LeaseState::kHeld;
  fence_ = base::FencingToken(create_revision.value());
  expiry_ = granted_until_;
  held_since_ = now;
  next_call_ = now;
  holder_ = LeaseHolder{settings_.holder, fence_};
}

void ShardLease::AbandonAcquire(base::Time now, base::Duration pause) {
  create_unanswered_ = false;
  state_ = LeaseState::kNone;
  revoke_lease_ = lease_.value() != 0;
  revoke_attempts_ = 0;
  next_call_ = now + Jittered(pause);
}

void ShardLease::SetLost(base::Time now) {
  expiry_ = {};
  AbandonAcquire(now, settings_.ttl / kReadsPerTtl);
  state_ = LeaseState::kLost;
}

base::Duration ShardLease::Jittered(base::Duration d) const {
  return std::chrono::duration_cast<base::Duration>(
      d * (0.5 + base::UniformReal(random_) * 0.5));
}

}  // namespace lynxglade::process
