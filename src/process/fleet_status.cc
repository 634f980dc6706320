#include "process/fleet_status.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "connection/engine_admin_codec.h"

namespace lynxglade::process {

namespace {

using Json = nlohmann::json;

Json EncodeOrdered(const JournalRecord& record) {
  Json json = connection::EncodeTargetState(record.target);
  json["generation"] = record.generation.value();
  json["phase"] = std::string(ToString(record.phase));
  json["fence"] = record.fence.value();
  json["holder"] = record.holder.str();
  json["attempts"] = record.attempts;
  json["failures"] = record.failures;
  return json;
}

Json EncodeObserved(const EngineObservation& observation, base::Time now) {
  const connection::EngineState& state = observation.state;
  Json json = connection::EncodeTargetState(state.current);
  json["phase"] = std::string(connection::ToString(state.phase));
  json["in_flight"] = state.in_flight;
  json["generation"] = state.generation.value();
  json["fence"] = state.fence.value();
  json["incarnation"] = state.incarnation;
  json["age_ms"] = base::ToMillis(now - observation.requested_at);
  return json;
}

}  // namespace

Json EncodeEngineStatus(const EngineStatus& status, base::Time now) {
  Json json = {{"id", status.id.str()},
               {"service", status.service.str()},
               {"zone", status.zone.str()},
               {"fenced", status.fenced},
               {"state", std::string(request::ToString(status.state))},
               {"step", std::string(ToString(status.step))},
               {"reason", std::string(ToString(status.reason))},
               {"waiting_ms", base::ToMillis(now - status.waiting_since)},
               {"overdue", status.overdue}};
  if (status.intended) {
    json["intended"] = connection::EncodeTargetState(*status.intended);
  }
  if (status.ordered) {
    json["ordered"] = EncodeOrdered(*status.ordered);
  }
  if (status.observed) {
    json["observed"] = EncodeObserved(*status.observed, now);
  }
  if (!status.permit.empty()) {
    json["permit"] = status.permit;
  }
  return json;
}

Json EncodeAuthority(const ShardStatus& shard, base::Time now) {
  Json json = {{"zone", shard.zone.str()},
               {"shard", shard.shard},
               {"lease", std::string(ToString(shard.state))}};
  if (shard.holder) {
    json["holder"] = shard.holder->id.str();
    json["fence"] = shard.holder->fence.value();
  }
  if (shard.state == LeaseState::kHeld) {
    json["lapses_in_ms"] = base::ToMillis(shard.expiry - now);
    json["may_order_for_ms"] =
        std::max<std::int64_t>(0, base::ToMillis(shard.order_deadline - now));
  }
  return json;
}

}  // namespace lynxglade::process
