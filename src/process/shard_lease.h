// Client side of a lease in the key-value service, as a state machine without
// I/O.
//
// The holder of the lease is the only instance that may send orders to the
// engines of a shard. The lease is a key that is created by compare-and-swap
// and attached to a lease of the service, so it is deleted when the holder
// stops renewing. The create revision of the key serves as the fencing token:
// it increases with every new holder.
//
// The owner asks Next() for a call, makes it and passes the result to the On...
// method of that call. At most one call is in flight.
#ifndef LYNXGLADE_PROCESS_SHARD_LEASE_H_
#define LYNXGLADE_PROCESS_SHARD_LEASE_H_

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
  // Not held and no attempt to acquire in progress; another instance may hold
  // it.
  kNone,
  // An attempt to acquire is in progress.
  kAcquiring,
  kHeld,
  // Held at the last confirmation, or created without an answer; orders are not
  // allowed.
  kUncertain,
  // Was held and has expired or was taken over. The next successful read of the
  // key changes the state.
  kLost,
};
std::string_view ToString(LeaseState state) noexcept;

struct LeaseSettings {
  // Key of the lease, such as "/lynxglade/lease/<zone>/<shard>".
  std::string key;
  base::InstanceId holder;
  base::Duration ttl = std::chrono::seconds(30);
  // Orders are allowed until this long before expiry. At least the time that an
  // order can be in flight after the holder's last check.
  base::Duration margin = std::chrono::seconds(11);
};

enum class LeaseCallKind { kRead, kGrant, kCreate, kKeepAlive, kRevoke };

struct LeaseCall {
  LeaseCallKind kind = LeaseCallKind::kRead;
  // Used by kKeepAlive, kRevoke and kCreate.
  connection::KvLeaseId lease;
  std::string value;
};

// Current value of the lease key.
struct LeaseHolder {
  base::InstanceId id;
  base::FencingToken fence;
};

// Not thread-safe.
class ShardLease {
 public:
  ShardLease(LeaseSettings settings, base::RandomSource random);
  ShardLease(const ShardLease&) = delete;
  ShardLease& operator=(const ShardLease&) = delete;

  // The call to make now, if any. Read `now` just before: it is used as the
  // time at which the call is sent.
  std::optional<LeaseCall> Next(base::Time now);

  // Results of the calls. `error` is kNone if and only if there is a result.
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

  // A write guarded by the lease key failed its check, so this instance no
  // longer holds the lease.
  void OnGuardFailed(base::Time now);

  // Releases the lease permanently: there is no further attempt to acquire it.
  void Release();

  // Fencing token for orders until OrderDeadline(); empty if the lease is not
  // held or the deadline has passed.
  std::optional<base::FencingToken> FenceForOrders(base::Time now) const;

  // No order may be sent from this time on. While the lease is held, only a
  // confirmed renewal moves it, and only to a later time, so another thread can
  // use a copy.
  base::Time OrderDeadline() const;
  // When the lease expires without a renewal, by the clock of this process.
  base::Time expiry() const noexcept { return expiry_; }
  // When the lease was acquired.
  base::Time held_since() const noexcept { return held_since_; }

  LeaseState state() const noexcept { return state_; }
  // Holder of the key when it was last read or created; may be this instance.
  const std::optional<LeaseHolder>& holder() const noexcept { return holder_; }
  // True once Release() was called, no call is in flight and no lease is left
  // to revoke.
  bool released() const noexcept;

 private:
  void SetHeld(base::Time now, base::Revision create_revision);
  void AbandonAcquire(base::Time now, base::Duration pause);
  void SetLost(base::Time now);
  base::Duration Jittered(base::Duration d) const;
  std::optional<LeaseCall> NextAcquireCall(base::Time now);
  std::optional<LeaseCall> NextRenewalCall(base::Time now);
  LeaseCall Start(LeaseCallKind kind, base::Time now);

  const LeaseSettings settings_;
  const base::RandomSource random_;
  LeaseState state_ = LeaseState::kNone;
  bool call_in_flight_ = false;
  bool releasing_ = false;
  // Set when a create was not answered, until a read shows whether it took
  // effect.
  bool create_unanswered_ = false;
  // Lease of the service that this instance was granted; 0 if none.
  connection::KvLeaseId lease_{0};
  bool revoke_lease_ = false;
  int revoke_attempts_ = 0;
  std::string acquire_id_;
  base::FencingToken fence_{0};
  base::Time call_sent_{};
  base::Time next_call_{};
  base::Time granted_until_{};
  base::Time expiry_{};
  base::Time held_since_{};
  std::optional<LeaseHolder> holder_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_SHARD_LEASE_H_
