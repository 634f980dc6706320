// Elects the one instance that may send orders to engines.
//
// The holder is the instance whose id is stored under a key that is bound to
// its lease. The revision at which the key was written is the fencing token.
// Since not all engines check the token, a new holder waits for
// `takeover_delay` before its first order, and a holder reads the key back
// right before each order. Together these keep a late order of the previous
// holder from reaching an engine after the new holder's first.
#ifndef LYNXGLADE_PROCESS_DUTIES_ORDER_AUTHORITY_H_
#define LYNXGLADE_PROCESS_DUTIES_ORDER_AUTHORITY_H_

#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "base/units.h"
#include "process/peers/instance_presence.h"
#include "process/store/store_port.h"

namespace lynxglade::process::duties {

struct OrderAuthorityOptions {
  std::string key = "lynxglade/orders/holder";
  // Time from acquiring the key to the first order. At least the platform's
  // minimum gap between orders of two holders, plus `confirmation_validity` and
  // the time that an order takes to arrive.
  base::Duration takeover_delay = std::chrono::milliseconds(4500);
  // How long after a confirmation an order may be sent.
  base::Duration confirmation_validity = std::chrono::milliseconds(300);
  // Upper bound of the random delay before a vacant key is acquired, so that
  // instances do not all write at once.
  base::Duration max_acquire_delay = std::chrono::milliseconds(400);
  // Delay after a failed attempt; the keys are listed again within it.
  base::Duration acquire_retry_delay = std::chrono::seconds(4);
};

// Not thread-safe: runs on the event loop.
class OrderAuthority {
 public:
  OrderAuthority(store::StorePort& store,
                 const peers::InstancePresence& presence,
                 OrderAuthorityOptions options,
                 base::Clock clock,
                 base::RandomSource random);
  OrderAuthority(const OrderAuthority&) = delete;
  OrderAuthority& operator=(const OrderAuthority&) = delete;

  // Takes a full listing of the key's prefix.
  void OnList(const std::vector<store::StoreItem>& items);
  // Takes a change of a key; ignored if older than the last one seen.
  void OnChange(const store::StoreItem& item);

  // Tries to acquire the key if it is vacant. Call every few hundred
  // milliseconds.
  connection::event::Awaitable<void> TryAcquire();
  // The token if, as last observed, this instance holds the key and the
  // takeover delay has passed.
  std::optional<base::FencingToken> HeldToken() const;
  // Reads the key from the store. The returned token may be used until
  // `*until`.
  connection::event::Awaitable<std::optional<base::FencingToken>> ConfirmHeld(
      base::Time* until);

 private:
  bool IsOurs(const store::StoreItem& item) const noexcept;
  void SetHolder(const store::StoreItem& item);
  void ClearHolder();

  store::StorePort& store_;
  const peers::InstancePresence& presence_;
  const OrderAuthorityOptions options_;
  const base::Clock clock_;
  const base::RandomSource random_;
  // Unique to this process: an earlier process of the same instance name has
  // another.
  const std::string holder_id_;
  bool listed_ = false;
  // Empty while the key is vacant.
  std::optional<store::StoreItem> holder_;
  base::Time acquire_at_{};
  base::Time held_since_{};
};

}  // namespace lynxglade::process::duties

#endif  // LYNXGLADE_PROCESS_DUTIES_ORDER_AUTHORITY_H_
