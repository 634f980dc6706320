#include "process/operator_drains.h"

#include <optional>

#include <nlohmann/json.hpp>

#include "base/time.h"
#include "process/order_coordinator.h"

namespace lynxglade::process {

namespace {

using connection::KvError;

std::string EncodeDrain(const std::string& drain_id) {
  const nlohmann::json json = {{"mark", drain_id},
                               {"set_at_ms", base::WallMillis()}};
  return json.dump();
}

DrainResult FromError(KvError error) {
  const bool unknown =
      error == KvError::kAmbiguous || error == KvError::kBadAnswer;
  return unknown ? DrainResult::kUnknown : DrainResult::kUnavailable;
}

}  // namespace

DrainResult SetDrain(const OrderStore& store,
                     const base::TargetId& target,
                     const std::string& drain_id) {
  const std::string key = DrainKey(target);
  KvError error = KvError::kNone;
  const auto before = store.get(key, &error);
  if (!before) {
    return DrainResult::kUnavailable;
  }
  if (!before->entries.empty()) {
    return DrainResult::kUnchanged;
  }
  const auto result = store.commit(
      {{key, base::Revision(0)}},
      {{key, EncodeDrain(drain_id), connection::KvLeaseId(0)}}, &error);
  if (result) {
    return result->committed ? DrainResult::kDone : DrainResult::kConflict;
  }
  const DrainResult lost = FromError(error);
  const auto after = store.get(key, &error);
  const bool there = after && !after->entries.empty();
  return there ? DrainResult::kDone : lost;
}

DrainResult RemoveDrain(const OrderStore& store, const base::TargetId& target) {
  const std::string key = DrainKey(target);
  KvError error = KvError::kNone;
  const auto before = store.get(key, &error);
  if (!before) {
    return DrainResult::kUnavailable;
  }
  if (before->entries.empty()) {
    return DrainResult::kUnchanged;
  }
  const auto result =
      store.commit({{key, before->entries.front().mod_revision}},
                   {{key, std::nullopt, connection::KvLeaseId(0)}}, &error);
  if (result) {
    return result->committed ? DrainResult::kDone : DrainResult::kConflict;
  }
  const DrainResult lost = FromError(error);
  const auto after = store.get(key, &error);
  const bool gone = after && after->entries.empty();
  return gone ? DrainResult::kDone : lost;
}

}  // namespace lynxglade::process
