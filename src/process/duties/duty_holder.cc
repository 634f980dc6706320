#include "process/duties/duty_holder.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "connection/event/sleep.h"

namespace lynxglade::process::duties {

namespace {

using base::Log;
using base::LogLevel;
using connection::event::Awaitable;
using connection::event::SleepFor;

}  // namespace

DutyHolder::DutyHolder(connection::event::asio::io_context& loop,
                       store::StorePort& store,
                       const peers::InstancePresence& presence,
                       DutyHolderOptions options,
                       base::Clock clock,
                       base::RandomSource random)
    : loop_(loop),
      store_(store),
      presence_(presence),
      options_(std::move(options)),
      clock_(std::move(clock)),
      random_(std::move(random)),
      holder_id_(presence.instance().str() + '/' + base::RandomHexId(random_)) {
}

// A listing without this instance's key may predate the write, so it does not
// revoke the authority; ConfirmHeld() detects a lost key.
void DutyHolder::OnList(const std::vector<store::StoreItem>& items) {
  listed_ = true;
  const auto it =
      std::ranges::find(items, options_.key, &store::StoreItem::key);
  if (it != items.end()) {
    OnChange(*it);
    return;
  }
  if (!IsHeld()) {
    ClearHolder();
  }
}

void DutyHolder::OnChange(const store::StoreItem& item) {
  const bool older = holder_ && item.revision < holder_->revision;
  if (item.key == options_.key && !older) {
    SetHolder(item);
  }
}

void DutyHolder::ClearHolder() {
  store::StoreItem vacant;
  vacant.key = options_.key;
  vacant.deleted = true;
  SetHolder(vacant);
}

void DutyHolder::SetHolder(const store::StoreItem& item) {
  const bool was_ours = IsHeld();
  if (item.deleted) {
    holder_.reset();
    acquire_at_ =
        clock_() + std::chrono::duration_cast<base::Duration>(
                       options_.max_acquire_delay * base::UniformReal(random_));
  } else {
    holder_ = item;
  }
  const bool is_ours = IsHeld();
  if (is_ours && !was_ours) {
    held_since_ = clock_();
  }
  if (is_ours != was_ours) {
    Log(LogLevel::kInfo, is_ours ? "orders_taken" : "orders_lost",
        {{"revision", item.revision.value()},
         {"holder", item.deleted ? std::string() : item.value}});
  }
}

Awaitable<void> DutyHolder::Run() {
  while (!stopped_) {
    co_await TryAcquire();
    co_await SleepFor(loop_, options_.period);
  }
}

// If the response is lost, the next listing shows whether the write took
// effect.
Awaitable<void> DutyHolder::TryAcquire() {
  if (IsHeld()) {
    co_await RenewOwnLease();
    co_return;
  }
  const auto lease = presence_.lease();
  if (stopped_ || !listed_ || holder_ || !lease ||
      clock_() < std::max(acquire_at_, resigned_until_)) {
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
    co_await BindToOwnLease();
    co_return;
  }
  if (fault != store::StoreFault::kConflict) {
    Log(LogLevel::kInfo, "orders_claim_failed", {{"fault", ToString(fault)}});
  }
  // If another instance holds the key, the next listing shows which.
  acquire_at_ = clock_() + options_.acquire_retry_delay;
}

// On failure the key stays bound to the lease of this instance's presence.
Awaitable<void> DutyHolder::BindToOwnLease() {
  store::StoreFault fault{};
  const auto lease = co_await store_.GrantLease(options_.lease_ttl, &fault);
  if (!lease || !IsHeld()) {
    co_return;
  }
  own_lease_ = lease;
  const auto written = co_await store_.Update(options_.key, holder_id_, *lease,
                                              holder_->revision, &fault);
  if (!written) {
    Log(LogLevel::kInfo, "duties_lease_not_bound",
        {{"fault", ToString(fault)}});
    co_return;
  }
  store::StoreItem item;
  item.key = options_.key;
  item.value = holder_id_;
  item.revision = *written;
  OnChange(item);
}

Awaitable<void> DutyHolder::RenewOwnLease() {
  if (!own_lease_) {
    co_return;
  }
  store::StoreFault fault{};
  const auto renewed = co_await store_.RenewLease(*own_lease_, &fault);
  if (!renewed && fault == store::StoreFault::kNoLease) {
    own_lease_.reset();
    ClearHolder();
  }
}

Awaitable<void> DutyHolder::EndOwnLease() {
  const auto lease = std::exchange(own_lease_, std::nullopt);
  if (!lease) {
    co_return;
  }
  store::StoreFault fault{};
  const auto ended = co_await store_.RevokeLease(*lease, &fault);
  if (!ended) {
    Log(LogLevel::kInfo, "duties_lease_not_ended",
        {{"fault", ToString(fault)}});
  }
}

Awaitable<void> DutyHolder::Resign(base::Duration back_off) {
  if (!IsHeld() || !own_lease_) {
    co_return;
  }
  Log(LogLevel::kWarning, "duties_resigned",
      {{"token", holder_->revision.value()},
       {"back_off_ms", base::ToMillis(back_off)}});
  ClearHolder();
  resigned_until_ = clock_() + back_off;
  co_await EndOwnLease();
}

Awaitable<void> DutyHolder::Leave() {
  stopped_ = true;
  if (IsHeld()) {
    ClearHolder();
  }
  co_await EndOwnLease();
}

base::InstanceId DutyHolder::Holder() const {
  if (!holder_) {
    return base::InstanceId();
  }
  return base::InstanceId(holder_->value.substr(0, holder_->value.rfind('/')));
}

std::optional<base::FencingToken> DutyHolder::HeldToken() const {
  if (!IsHeld() || stopped_ ||
      clock_() < held_since_ + options_.takeover_delay) {
    return std::nullopt;
  }
  return base::FencingToken(holder_->revision.value());
}

Awaitable<std::optional<base::FencingToken>> DutyHolder::ConfirmHeld(
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

bool DutyHolder::IsOurs(const store::StoreItem& item) const noexcept {
  return item.value == holder_id_;
}

}  // namespace lynxglade::process::duties
