#include "process/duties/order_authority.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace lynxglade::process::duties {

namespace {

using base::Log;
using base::LogLevel;
using connection::event::Awaitable;

}  // namespace

OrderAuthority::OrderAuthority(store::StorePort& store,
                               const peers::InstancePresence& presence,
                               OrderAuthorityOptions options,
                               base::Clock clock,
                               base::RandomSource random)
    : store_(store),
      presence_(presence),
      options_(std::move(options)),
      clock_(std::move(clock)),
      random_(std::move(random)),
      holder_id_(presence.instance().str() + '/' + base::RandomHexId(random_)) {
}

// A listing without this instance's key may predate the write, so it does not
// revoke the authority; ConfirmHeld() detects a lost key.
void OrderAuthority::OnList(const std::vector<store::StoreItem>& items) {
  listed_ = true;
  const auto it =
      std::ranges::find(items, options_.key, &store::StoreItem::key);
  if (it != items.end()) {
    OnChange(*it);
    return;
  }
  if (!holder_ || !IsOurs(*holder_)) {
    ClearHolder();
  }
}

void OrderAuthority::OnChange(const store::StoreItem& item) {
  const bool older = holder_ && item.revision < holder_->revision;
  if (item.key == options_.key && !older) {
    SetHolder(item);
  }
}

void OrderAuthority::ClearHolder() {
  store::StoreItem vacant;
  vacant.key = options_.key;
  vacant.deleted = true;
  SetHolder(vacant);
}

void OrderAuthority::SetHolder(const store::StoreItem& item) {
  const bool was_ours = holder_ && IsOurs(*holder_);
  if (item.deleted) {
    holder_.reset();
    acquire_at_ =
        clock_() + std::chrono::duration_cast<base::Duration>(
                       options_.max_acquire_delay * base::UniformReal(random_));
  } else {
    holder_ = item;
  }
  const bool is_ours = holder_ && IsOurs(*holder_);
  if (is_ours && !was_ours) {
    held_since_ = clock_();
  }
  if (is_ours != was_ours) {
    Log(LogLevel::kInfo, is_ours ? "orders_taken" : "orders_lost",
        {{"revision", item.revision.value()},
         {"holder", item.deleted ? std::string() : item.value}});
  }
}

// If the response is lost, the next listing shows whether the write took
// effect.
Awaitable<void> OrderAuthority::TryAcquire() {
  const auto lease = presence_.lease();
  if (!listed_ || holder_ || !lease || clock_() < acquire_at_) {
    co_return;
  }
  acquire_at_ = clock_() + options_.max_acquire_delay;
  store::StoreFault fault{};
  const auto written =
      co_await store_.Create(options_.key, holder_id_, *lease, &fault);
  if (written) {
    store::StoreItem item;
    item.key = options_.key;
    item.value = holder_id_;
    item.revision = *written;
    SetHolder(item);
    co_return;
  }
  if (fault != store::StoreFault::kConflict) {
    Log(LogLevel::kInfo, "orders_claim_failed", {{"fault", ToString(fault)}});
  }
  // If another instance holds the key, the next listing shows which.
  acquire_at_ = clock_() + options_.acquire_retry_delay;
}

std::optional<base::FencingToken> OrderAuthority::HeldToken() const {
  if (!holder_ || !IsOurs(*holder_) ||
      clock_() < held_since_ + options_.takeover_delay) {
    return std::nullopt;
  }
  return base::FencingToken(holder_->revision.value());
}

Awaitable<std::optional<base::FencingToken>> OrderAuthority::ConfirmHeld(
    base::Time* until) {
  const auto token = HeldToken();
  if (!token) {
    co_return std::nullopt;
  }
  // Valid from the start of the read: the response may have been delayed.
  const base::Time read_started = clock_();
  store::StoreFault fault{};
  const auto item = co_await store_.Get(options_.key, &fault);
  const bool ours = item && !item->deleted && IsOurs(*item) &&
                    item->revision.value() == token->value();
  if (!ours) {
    Log(LogLevel::kWarning, "orders_not_confirmed",
        {{"fault", item ? std::string_view("not_ours") : ToString(fault)},
         {"token", token->value()}});
    if (item) {
      ClearHolder();
      OnChange(*item);
    }
    co_return std::nullopt;
  }
  *until = read_started + options_.confirmation_validity;
  co_return token;
}

bool OrderAuthority::IsOurs(const store::StoreItem& item) const noexcept {
  return item.value == holder_id_;
}

}  // namespace lynxglade::process::duties
