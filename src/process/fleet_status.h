// Status of engines and shards for operators: intended, ordered and observed
// state, and why an engine is waiting.
#ifndef LYNXGLADE_PROCESS_FLEET_STATUS_H_
#define LYNXGLADE_PROCESS_FLEET_STATUS_H_

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "base/ids.h"
#include "base/time.h"
#include "connection/engine_admin.h"
#include "process/order_decision.h"
#include "process/order_journal.h"
#include "process/shard_lease.h"
#include "request/target.h"

namespace lynxglade::process {

struct EngineStatus {
  base::TargetId id;
  base::ServiceName service;
  base::ZoneId zone;
  bool fenced = false;
  // False for a target of a plain service.
  bool engine = true;
  request::TargetState state = request::TargetState::kServing;
  std::optional<connection::EngineTargetState> intended;
  std::optional<JournalRecord> ordered;
  std::optional<EngineObservation> observed;
  OrderStep step = OrderStep::kWait;
  WaitReason reason = WaitReason::kNone;
  base::Time waiting_since{};
  // It has waited longer than OrderSettings::overdue_after.
  bool overdue = false;
  // Key of the permit that it holds; empty if none.
  std::string permit;
};

struct ShardStatus {
  base::ZoneId zone;
  int shard = 0;
  LeaseState state = LeaseState::kNone;
  std::optional<LeaseHolder> holder;
  // Valid for an own lease only: when it expires without a renewal, and until
  // when orders may be sent.
  base::Time expiry{};
  base::Time order_deadline{};
  std::vector<EngineStatus> engines;
};

nlohmann::json EncodeEngineStatus(const EngineStatus& status, base::Time now);
nlohmann::json EncodeAuthority(const ShardStatus& shard, base::Time now);

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_FLEET_STATUS_H_
