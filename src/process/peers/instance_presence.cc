#include "process/peers/instance_presence.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/bounded_json.h"
#include "base/log.h"
#include "connection/event/sleep.h"

namespace lynxglade::process::peers {

namespace {

using base::Log;
using base::LogLevel;
using connection::event::Awaitable;
using connection::event::SleepFor;
using nlohmann::json;
namespace asio = connection::event::asio;

constexpr std::int64_t kMaxLinkMbps = 1'000'000'000;

// The id follows the zone.
base::InstanceId InstanceOf(const std::string& key) {
  return base::InstanceId(key.substr(key.rfind('/') + 1));
}

}  // namespace

InstancePresence::InstancePresence(asio::io_context& loop,
                                   store::StorePort& store,
                                   InstancePresenceOptions options,
                                   base::Clock clock)
    : loop_(loop),
      store_(store),
      options_(std::move(options)),
      clock_(std::move(clock)) {}

Awaitable<void> InstancePresence::Run() {
  while (!stopped_) {
    co_await Renew();
    const base::Duration wait =
        key_written_ ? options_.renew_interval : options_.retry_interval;
    base::Duration waited{};
    do {
      const base::Duration step =
          std::min(wait - waited, options_.retry_interval);
      co_await SleepFor(loop_, step);
      waited += step;
    } while (!stopped_ && waited < wait && !IsKeyMissing());
  }
}

std::string InstancePresence::OwnKey() const {
  return options_.prefix + options_.zone.str() + '/' + options_.instance.str();
}

bool InstancePresence::IsKeyMissing() const {
  return key_written_ && listed_ &&
         clock_() >= written_at_ + options_.missing_delay &&
         !keys_.contains(OwnKey());
}

Awaitable<void> InstancePresence::Renew() {
  store::StoreFault fault{};
  if (lease_) {
    const auto renewed = co_await store_.RenewLease(*lease_, &fault);
    if (!renewed && fault == store::StoreFault::kNoLease) {
      Log(LogLevel::kWarning, "presence_lapsed", {});
      lease_.reset();
    }
  }
  if (!lease_) {
    lease_ = co_await store_.GrantLease(options_.lease_ttl, &fault);
    key_written_ = false;
  }
  // The store may delete a key while its lease is still valid.
  if (lease_ && !stopped_ && (!key_written_ || IsKeyMissing())) {
    const auto written =
        co_await store_.Put(OwnKey(), SerializeSelf(), *lease_, &fault);
    key_written_ = written.has_value();
    written_at_ = clock_();
  }
}

Awaitable<void> InstancePresence::Leave() {
  Stop();
  if (lease_) {
    store::StoreFault fault{};
    const auto revoked = co_await store_.RevokeLease(*lease_, &fault);
    if (!revoked) {
      Log(LogLevel::kInfo, "presence_not_ended", {{"fault", ToString(fault)}});
    }
  }
}

void InstancePresence::OnList(const std::vector<store::StoreItem>& items) {
  HoldCount();
  keys_.clear();
  peers_.clear();
  ++peers_version_;
  std::ranges::for_each(items,
                        [this](const store::StoreItem& it) { ApplyItem(it); });
  listed_ = true;
  UpdateCount();
}

void InstancePresence::OnChange(const store::StoreItem& item) {
  HoldCount();
  ApplyItem(item);
  UpdateCount();
}

void InstancePresence::ApplyItem(const store::StoreItem& item) {
  if (!item.key.starts_with(options_.prefix)) {
    return;
  }
  ++peers_version_;
  const base::InstanceId instance = InstanceOf(item.key);
  std::erase_if(peers_, [&instance](const InstancePeer& it) {
    return it.instance == instance;
  });
  if (item.deleted) {
    keys_.erase(item.key);
    return;
  }
  keys_.insert(item.key);
  if (auto peer = ParsePeer(item)) {
    peers_.push_back(std::move(*peer));
  }
}

std::string InstancePresence::SerializeSelf() const {
  json text{{"zone", options_.zone.str()}};
  if (options_.peer_endpoint) {
    text["peer"] = options_.peer_endpoint->address + ':' +
                   std::to_string(options_.peer_endpoint->port);
  }
  if (options_.link_mbps > 0) {
    text["link_mbps"] = options_.link_mbps;
  }
  return text.dump();
}

// Returns nullopt for an instance that published no endpoint.
std::optional<InstancePeer> InstancePresence::ParsePeer(
    const store::StoreItem& item) const {
  const auto text = base::ParseBoundedJson(item.value);
  if (!text || !text->is_object()) {
    return std::nullopt;
  }
  const auto zone = text->find("zone");
  const auto peer = text->find("peer");
  if (zone == text->end() || !zone->is_string() || peer == text->end() ||
      !peer->is_string()) {
    return std::nullopt;
  }
  const auto endpoint = ParseEndpoint(peer->get<std::string>());
  if (!endpoint) {
    return std::nullopt;
  }
  return InstancePeer{
      InstanceOf(item.key),
      base::ZoneId(zone->get<std::string>()),
      {asio::ip::make_address(endpoint->address),
       static_cast<std::uint16_t>(endpoint->port)},
      static_cast<int>(
          base::WholeMember(*text, "link_mbps", 0, kMaxLinkMbps).value_or(0))};
}

void InstancePresence::HoldCount() {
  if (static_cast<int>(keys_.size()) == peak_count_) {
    peak_seen_at_ = clock_();
  }
}

void InstancePresence::UpdateCount() {
  const int n = static_cast<int>(keys_.size());
  const base::Time now = clock_();
  if (n >= peak_count_ || now - peak_seen_at_ > options_.count_hold_time) {
    peak_count_ = n;
    peak_seen_at_ = now;
  }
}

int InstancePresence::Count() const {
  if (!listed_) {
    return options_.assumed_instances;
  }
  return std::max(peak_count_, 1);
}

}  // namespace lynxglade::process::peers
