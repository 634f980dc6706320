// One lease of the key-value service, as a state machine without I/O.
//
// A lease names the one holder that may give orders to a shard of a zone's
// engines. It is a key that is created by compare-and-swap and bound to a
// lease of the service, so that it vanishes when its holder stops renewing
// it. The key's create revision is the fencing token: it only rises.
//
// The owner asks Next() for a call to make, makes it, and hands its result to
// the On... method of that call. At most one call is under way.
#ifndef LYNXGLADE_PROCESS_LEASE_KEEPER_H_
#define LYNXGLADE_PROCESS_LEASE_KEEPER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "base/units.h"
#include "connection/key_value.h"

namespace lynxglade::process {

enum class LeaseState {
  // No claim; another instance may hold the lease.
  kNone,
  // A claim is being made.
  kAcquiring,
  // Held and confirmed.
  kHeld,
  // Held when last heard, or claimed without an answer; no orders.
  kUncertain,
  // Was held and is gone. Turns to kNone on the next call.
  kLost,
};
std::string_view ToString(LeaseState state) noexcept;

struct LeaseSettings {
  // Key of the lease, such as "/lynxglade/lease/<zone>/<shard>".
  std::string key;
  base::InstanceId holder;
  base::Duration ttl = std::chrono::seconds(30);
  // Taken off the end of each renewal before orders are allowed. At least the
  // bound on how long an order can travel after the holder's last check.
  base::Duration margin = std::chrono::seconds(11);
};

enum class LeaseCallKind { kRead, kGrant, kCreate, kKeepAlive, kRevoke };

struct LeaseCall {
  LeaseCallKind kind = LeaseCallKind::kRead;
  // kKeepAlive, kRevoke, kCreate.
  connection::KvLeaseId lease;
  // kCreate: the value to store.
  std::string value;
};

// What the lease key holds.
struct LeaseHolder {
  base::InstanceId id;
  base::FencingToken fence;
};

// Not thread-safe.
class LeaseKeeper {
 public:
  LeaseKeeper(LeaseSettings settings, base::RandomSource random);
  LeaseKeeper(const LeaseKeeper&) = delete;
  LeaseKeeper& operator=(const LeaseKeeper&) = delete;

  // The call to make now, if any. `now` is taken as the time at which the call
  // is sent, so it must be read just before.
  std::optional<LeaseCall> Next(base::Time now);

  // Results of the calls. `error` is kNone exactly when a value came.
  void OnRead(base::Time now,
              const std::optional<connection::KvRange>& range,
              connection::KvError error);
  void OnGrant(base::Time now,
               const std::optional<connection::KvLeaseId>& lease,
               connection::KvError error);
  void OnCreate(base::Time now,
                const std::optional<connection::KvTxnResult>& result,
                connection::KvError error);
  void OnKeepAlive(base::Time now,
                   const std::optional<base::Duration>& left,
                   connection::KvError error);
  void OnRevoke(base::Time now, bool done);

  // A guard on the lease key did not hold: the lease is another's.
  void OnGuardFailed(base::Time now);

  // Gives the lease back; no claim is made from now on.
  void Release();

  // The token that orders may carry until OrderDeadline(); nothing when the
  // lease is not held or its margin has begun.
  std::optional<base::FencingToken> MayOrder(base::Time now) const;

  // The instant after which no order may leave. Only ever moved by a confirmed
  // renewal, so a copy of it stays right on any thread.
  base::Time OrderDeadline() const;
  // When the lease lapses if nothing renews it, by this process's clock.
  base::Time expiry() const noexcept { return expiry_; }
  // When the lease was taken.
  base::Time held_since() const noexcept { return held_since_; }

  LeaseState state() const noexcept { return state_; }
  // Who held the key when last seen; this instance included.
  const std::optional<LeaseHolder>& holder() const noexcept { return holder_; }
  // Released, and nothing is left to give back.
  bool released() const noexcept;

 private:
  void Adopt(base::Time now, base::Revision create_revision);
  void Abandon(base::Time now, base::Duration pause);
  void Lose(base::Time now);
  base::Duration Jittered(base::Duration d) const;
  std::optional<LeaseCall> NextClaim(base::Time now);
  std::optional<LeaseCall> NextRenewal(base::Time now);
  LeaseCall Start(LeaseCallKind kind, base::Time now);

  const LeaseSettings settings_;
  const base::RandomSource random_;
  LeaseState state_ = LeaseState::kNone;
  bool calling_ = false;
  bool releasing_ = false;
  // Set by an unanswered create until a read has told what became of it.
  bool claim_unknown_ = false;
  // A lease of the service that is ours to give back.
  connection::KvLeaseId lease_{0};
  bool revoke_lease_ = false;
  int revoke_attempts_ = 0;
  std::string mark_;
  base::FencingToken fence_{0};
  base::Time call_sent_{};
  base::Time next_call_{};
  base::Time granted_until_{};
  base::Time expiry_{};
  base::Time held_since_{};
  std::optional<LeaseHolder> holder_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_LEASE_KEEPER_H_
