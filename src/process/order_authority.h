// Which instance may give orders to the engines.
//
// The holder is the one whose mark lies in a key of the store, bound to its
// lease. The revision at which the key was written is the fencing token. Not
// all engines check tokens, so two more things hold: a new holder gives no
// order for a quiet time, and a holder reads the key back right before each
// order. An order of the old holder has then arrived, or never will, before
// the new one gives its first.
#ifndef LYNXGLADE_PROCESS_ORDER_AUTHORITY_H_
#define LYNXGLADE_PROCESS_ORDER_AUTHORITY_H_

#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "base/units.h"
#include "process/instance_presence.h"
#include "process/store_port.h"

namespace lynxglade::process {

struct OrderAuthorityOptions {
  std::string key = "lynxglade/orders/holder";
  // From taking the key to the first order. At least the platform's bound on
  // turns between holders, plus `confirmation_validity` and an order's way.
  base::Duration takeover_delay = std::chrono::milliseconds(4500);
  // How long a confirmation lets an order leave.
  base::Duration confirmation_validity = std::chrono::milliseconds(300);
  // A vacant key is tried for after up to this, at random, so that instances
  // do not all write at once.
  base::Duration max_acquire_delay = std::chrono::milliseconds(400);
  // After a claim that failed, until the keys have been listed again.
  base::Duration acquire_retry_delay = std::chrono::seconds(4);
};

// Not thread-safe: lives on the event loop.
class OrderAuthority {
 public:
  OrderAuthority(StorePort& store,
                 const InstancePresence& presence,
                 OrderAuthorityOptions options,
                 base::Clock clock,
                 base::RandomSource random);
  OrderAuthority(const OrderAuthority&) = delete;
  OrderAuthority& operator=(const OrderAuthority&) = delete;

  // For a follower of the key's prefix.
  void OnList(const std::vector<StoreItem>& items);
  // What was heard of the key counts unless something newer was.
  void OnChange(const StoreItem& item);

  // Tries for a vacant key. Call every few hundred milliseconds.
  connection::event::Awaitable<void> TryAcquire();
  // The token, if the key is this instance's and the quiet time is over, as
  // last heard.
  std::optional<base::FencingToken> HeldToken() const;
  // Reads the key back. The token may be used until `*until`.
  connection::event::Awaitable<std::optional<base::FencingToken>> ConfirmHeld(
      base::Time* until);

 private:
  bool IsOurs(const StoreItem& item) const noexcept;
  void SetHolder(const StoreItem& item);
  void ClearHolder();

  StorePort& store_;
  const InstancePresence& presence_;
  const OrderAuthorityOptions options_;
  const base::Clock clock_;
  const base::RandomSource random_;
  // Unlike any other instance's, and any earlier process's of this name.
  const std::string holder_id_;
  bool listed_ = false;
  // Nothing while the key is vacant.
  std::optional<StoreItem> holder_;
  base::Time acquire_at_{};
  base::Time held_since_{};
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_ORDER_AUTHORITY_H_
