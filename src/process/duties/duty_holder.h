// Elects the one instance that performs the duties of which only one instance
// at a time may: orders to engines, usage reports, orders for engines.
//
// The holder is the instance whose id is stored under a key that is bound to a
// lease. The revision at which the key was written is the fencing token. Since
// not all receivers check the token, a new holder waits for `takeover_delay`
// before its first call, and a holder reads the key back right before each
// call. Together these keep a late call of the previous holder from arriving
// after the new holder's first, and the holders from taking turns within that
// time.
#ifndef LYNXGLADE_PROCESS_DUTIES_DUTY_HOLDER_H_
#define LYNXGLADE_PROCESS_DUTIES_DUTY_HOLDER_H_

#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "base/units.h"
#include "process/peers/instance_presence.h"
#include "process/store/store_port.h"

namespace lynxglade::process::duties {

struct DutyHolderOptions {
  std::string key = "lynxglade/orders/holder";
  // Time from acquiring the key to the first call. At least the platform's
  // minimum gap between calls of two holders, plus `confirmation_validity` and
  // the time that a call takes to arrive.
  base::Duration takeover_delay = std::chrono::milliseconds(4500);
  // The key of a crashed or isolated holder vanishes after this. Shorter than
  // the lease of an instance's presence, which need not be renewed as often.
  base::Duration lease_ttl = std::chrono::seconds(2);
  // While holding the key, and to check whether it is vacant otherwise.
  base::Duration period = std::chrono::milliseconds(500);
  // How long after a confirmation a call may be sent.
  base::Duration confirmation_validity = std::chrono::milliseconds(300);
  // Upper bound of the random delay before a vacant key is acquired, so that
  // instances do not all write at once.
  base::Duration max_acquire_delay = std::chrono::milliseconds(400);
  // Delay after a failed attempt; the keys are listed again within it.
  base::Duration acquire_retry_delay = std::chrono::seconds(4);
};

// Not thread-safe: runs on the event loop.
class DutyHolder {
 public:
  DutyHolder(connection::event::asio::io_context& loop,
             store::StorePort& store,
             const peers::InstancePresence& presence,
             DutyHolderOptions options,
             base::Clock clock,
             base::RandomSource random);
  DutyHolder(const DutyHolder&) = delete;
  DutyHolder& operator=(const DutyHolder&) = delete;

  // Takes a full listing of the key's prefix.
  void OnList(const std::vector<store::StoreItem>& items);
  // Takes a change of a key; ignored if older than the last one seen.
  void OnChange(const store::StoreItem& item);

  // Maintains the lease while holding the key, and acquires the key when it is
  // vacant, until Leave().
  connection::event::Awaitable<void> Run();
  // One step of Run().
  connection::event::Awaitable<void> TryAcquire();
  // Gives the key up at once, for another instance to acquire. This one does
  // not acquire it for `back_off`.
  connection::event::Awaitable<void> Resign(base::Duration back_off);
  // Gives the key up for good.
  connection::event::Awaitable<void> Leave();
  // The instance that holds the key, as last observed; empty while vacant.
  base::InstanceId Holder() const;
  // The token if, as last observed, this instance holds the key and the
  // takeover delay has passed.
  std::optional<base::FencingToken> HeldToken() const;
  // Reads the key from the store. The returned token may be used until
  // `*until`.
  connection::event::Awaitable<std::optional<base::FencingToken>> ConfirmHeld(
      base::Time* until);

 private:
  bool IsOurs(const store::StoreItem& item) const noexcept;
  bool IsHeld() const noexcept { return holder_ && IsOurs(*holder_); }
  // Binds the key to a lease of its own.
  connection::event::Awaitable<void> BindToOwnLease();
  connection::event::Awaitable<void> RenewOwnLease();
  connection::event::Awaitable<void> EndOwnLease();
  void SetHolder(const store::StoreItem& item);
  void ClearHolder();

  connection::event::asio::io_context& loop_;
  store::StorePort& store_;
  const peers::InstancePresence& presence_;
  const DutyHolderOptions options_;
  const base::Clock clock_;
  const base::RandomSource random_;
  // Unique to this process: an earlier process of the same instance name has
  // another.
  const std::string holder_id_;
  bool listed_ = false;
  bool stopped_ = false;
  std::optional<store::LeaseId> own_lease_;
  base::Time resigned_until_{};
  // Empty while the key is vacant.
  std::optional<store::StoreItem> holder_;
  base::Time acquire_at_{};
  base::Time held_since_{};
};

}  // namespace lynxglade::process::duties

#endif  // LYNXGLADE_PROCESS_DUTIES_DUTY_HOLDER_H_
