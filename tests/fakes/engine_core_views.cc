// JSON views of a fake engine.
#include <algorithm>
#include <string>

#include "fakes/engine_core.h"

namespace lynxglade::fakes {

namespace {

using nlohmann::json;

json SetupJson(const EngineSetup& setup) {
  return {{"role", request::ToString(setup.role)},
          {"model", setup.model},
          {"version", setup.version},
          {"adapters", setup.adapters}};
}

}  // namespace

json EngineCore::LoadNow() const {
  const EngineCounts counts = model_.Counts();
  json body = {{"engine", settings_.id},
               {"incarnation", IncarnationText()},
               {"seq", load_seq_},
               {"generated_at_ms", base::WallMillis()},
               {"running", counts.running},
               {"waiting", counts.waiting},
               {"queued_prefill_tokens", counts.queued_prefill.value()},
               {"running_decode_tokens", counts.running_decode.value()},
               {"prefill_tokens_per_s", settings_.rates.prefill},
               {"decode_tokens_per_s", settings_.rates.decode},
               {"kv_used_tokens", counts.kv_used.value()},
               {"kv_capacity_tokens", settings_.limits.kv.value()},
               {"draining", orders_.draining()}};
  body.update(SetupJson(orders_.setup()));
  return body;
}

json EngineCore::LoadJson() const {
  const std::lock_guard lock(mutex_);
  const base::Time latest = clock_() - settings_.load_lag;
  const auto it =
      std::find_if(loads_.rbegin(), loads_.rend(),
                   [latest](const LoadReport& r) { return r.at <= latest; });
  return it == loads_.rend() ? loads_.front().body : it->body;
}

json EngineCore::StateJson() const {
  const std::lock_guard lock(mutex_);
  json body = {{"engine", settings_.id},
               {"incarnation", IncarnationText()},
               {"fenced", orders_.fenced()},
               {"phase", ToString(orders_.phase())},
               {"draining", orders_.draining()},
               {"in_flight", InFlight()},
               {"generation", orders_.generation().value()},
               {"fence", orders_.fence().value()},
               {"order_id", orders_.order_id()},
               {"seq", orders_.seq()}};
  body.update(SetupJson(orders_.setup()));
  return body;
}

json EngineCore::EventsJson(std::int64_t since) const {
  const std::lock_guard lock(mutex_);
  const base::Time latest = clock_() - settings_.event_lag;
  json list = json::array();
  std::int64_t last = since;
  bool gap = false;
  for (const auto& [at, event] : events_) {
    if (event.seq <= since || at > latest) {
      continue;
    }
    gap = gap || event.seq != last + 1;
    last = event.seq;
    list.push_back({{"seq", event.seq},
                    {"kind", event.stored ? "stored" : "evicted"},
                    {"prefix", event.prefix}});
  }
  return {{"events", list}, {"next", last}, {"gap", gap}};
}

json EngineCore::FaultsJson() const {
  const std::lock_guard lock(mutex_);
  json body = faults_.ToJson();
  body["poison"] = poison_;
  return body;
}

json EngineCore::OrdersJson() const {
  const std::lock_guard lock(mutex_);
  json list = json::array();
  for (const OrderRecord& it : orders_.records()) {
    json target = SetupJson(it.order.target);
    target["draining"] = it.order.draining;
    list.push_back({{"order_id", it.order.order_id},
                    {"fence", it.order.fence.value()},
                    {"generation", it.order.generation.value()},
                    {"holder", it.order.holder},
                    {"target", target},
                    {"verdict", ToString(it.verdict)},
                    {"accepted", IsAccepted(it.verdict)},
                    {"incarnation", it.incarnation},
                    {"received_ms", WallMillisOf(it.received)},
                    {"in_effect_ms",
                     it.in_effect ? json(WallMillisOf(*it.in_effect)) : json()},
                    {"interrupted", it.interrupted},
                    {"outage", it.took_out_of_service},
                    {"role_changed", it.role_changed}});
  }
  return list;
}

json EngineCore::RunsJson() const {
  const std::lock_guard lock(mutex_);
  return journal_.RunsJson();
}

json EngineCore::RefusalsJson() const {
  const std::lock_guard lock(mutex_);
  return journal_.RefusalsJson();
}

// Unlike the number, the text also differs between runs of the program.
std::string EngineCore::IncarnationText() const {
  return std::to_string(started_ms_) + "-" +
         std::to_string(orders_.incarnation());
}

std::string EngineCore::Model() const {
  const std::lock_guard lock(mutex_);
  return orders_.setup().model;
}

}  // namespace lynxglade::fakes
