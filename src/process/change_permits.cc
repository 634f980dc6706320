#include "process/change_permits.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace lynxglade::process {

namespace {

using Json = nlohmann::json;
using connection::KvError;

constexpr const char* kPermitPrefix = "/lynxglade/permits/";

std::string SlotKey(const base::ServiceName& service, int slot) {
  return kPermitPrefix + service.str() + "/" + std::to_string(slot);
}

std::string EncodePermit(const Permit& permit) {
  const Json json = {{"service", permit.service.str()},
                     {"target", permit.target.str()},
                     {"zone", permit.zone.str()}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// A value that can't be parsed still occupies its slot; it names no engine.
Permit DecodePermit(const connection::KvEntry& entry) {
  Permit permit;
  permit.key = entry.key;
  permit.mod_revision = entry.mod_revision;
  const Json json = Json::parse(entry.value, nullptr, false);
  const auto text = [&](const char* name) {
    const bool there =
        json.is_object() && json.contains(name) && json.at(name).is_string();
    return there ? json.at(name).get<std::string>() : std::string();
  };
  permit.service = base::ServiceName(text("service"));
  permit.target = base::TargetId(text("target"));
  permit.zone = base::ZoneId(text("zone"));
  return permit;
}

connection::KvGuard ToGuard(const LeaseGuard& guard) {
  return {guard.key, base::Revision(guard.fence.value())};
}

}  // namespace

std::optional<std::vector<Permit>> ListPermits(const OrderStore& store,
                                               KvError* error) {
  const auto range = store.list(kPermitPrefix, error);
  if (!range) {
    return std::nullopt;
  }
  std::vector<Permit> permits;
  std::ranges::transform(range->entries, std::back_inserter(permits),
                         DecodePermit);
  return permits;
}

PermitResult TakePermit(const OrderStore& store,
                        const LeaseGuard& guard,
                        int max_unavailable,
                        Permit* permit) {
  KvError error = KvError::kNone;
  const auto taken = ListPermits(store, &error);
  if (!taken) {
    return PermitResult::kUnknown;
  }
  const auto own = std::ranges::find(*taken, permit->target, &Permit::target);
  if (own != taken->end()) {
    *permit = *own;
    return PermitResult::kTaken;
  }
  for (int slot = 0; slot < max_unavailable; ++slot) {
    const std::string key = SlotKey(permit->service, slot);
    if (std::ranges::find(*taken, key, &Permit::key) != taken->end()) {
      continue;
    }
    const auto result = store.commit(
        {ToGuard(guard), {key, base::Revision(0)}},
        {{key, EncodePermit(*permit), connection::KvLeaseId(0)}}, &error);
    if (!result || !result->committed) {
      return PermitResult::kUnknown;
    }
    permit->key = key;
    permit->mod_revision = result->revision;
    return PermitResult::kTaken;
  }
  return PermitResult::kNoneFree;
}

bool ReleasePermit(const OrderStore& store,
                   const LeaseGuard& guard,
                   const Permit& permit) {
  KvError error = KvError::kNone;
  const auto result = store.commit(
      {ToGuard(guard), {permit.key, permit.mod_revision}},
      {{permit.key, std::nullopt, connection::KvLeaseId(0)}}, &error);
  if (!result || result->committed) {
    return result.has_value();
  }
  // It may have been released by an earlier call whose answer was lost.
  return std::ranges::none_of(result->found, [&](const auto& entry) {
    return entry.key == permit.key && entry.mod_revision == permit.mod_revision;
  });
}

}  // namespace lynxglade::process
