#include "connection/engine_admin_codec.h"

#include <algorithm>
#include <array>
#include <climits>
#include <cstdint>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/bounded_json.h"

namespace lynxglade::connection {

namespace {

using Json = nlohmann::json;

constexpr std::array<EnginePhase, 3> kPhases = {
    EnginePhase::kReady, EnginePhase::kChanging, EnginePhase::kHalfChanged};
constexpr std::array<OrderRefusal, 4> kRefusals = {
    OrderRefusal::kStaleFence, OrderRefusal::kStaleGeneration,
    OrderRefusal::kBusy, OrderRefusal::kInFlight};

constexpr int kHttpOk = 200;
constexpr int kHttpAccepted = 202;
constexpr int kHttpConflict = 409;
constexpr int kHttpClientErrors = 400;
constexpr int kHttpServerErrors = 500;

std::optional<EnginePhase> ParsePhase(const std::string& text) {
  const auto* const it = std::ranges::find_if(
      kPhases, [&](auto p) { return ToString(p) == text; });
  return it == kPhases.end() ? std::nullopt : std::optional(*it);
}

OrderRefusal ParseRefusal(const std::string& text) {
  const auto* const it = std::ranges::find_if(
      kRefusals, [&](auto r) { return ToString(r) == text; });
  return it == kRefusals.end() ? OrderRefusal::kOther : *it;
}

// Calls `decode` and returns nullopt if the JSON library throws because of a
// missing member or a wrong type.
template <typename Decode>
auto Guarded(Decode decode) -> decltype(decode()) {
  try {
    return decode();
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::optional<EngineTargetState> ReadTargetState(const Json& json) {
  EngineTargetState target;
  target.draining = json.at("draining").get<bool>();
  if (!request::ParseEngineRole(json.at("role").get<std::string>(),
                                &target.role)) {
    return std::nullopt;
  }
  target.model = base::ModelName(json.at("model").get<std::string>());
  target.version = base::ModelVersion(json.at("version").get<std::string>());
  target.adapters = json.at("adapters").get<std::vector<std::string>>();
  std::ranges::sort(target.adapters);
  return target;
}

std::optional<EngineState> ReadEngineState(const Json& json) {
  auto current = ReadTargetState(json);
  const auto phase = ParsePhase(json.at("phase").get<std::string>());
  if (!current || !phase) {
    return std::nullopt;
  }
  EngineState state;
  // Engines send a string or a number.
  const Json& incarnation = json.at("incarnation");
  if (!incarnation.is_string() && !incarnation.is_number()) {
    return std::nullopt;
  }
  // A count that overflows must not be read as 0, which would end a drain.
  const auto in_flight = base::WholeMember(json, "in_flight", 0, INT_MAX);
  const auto generation = base::WholeMember(json, "generation", 0, INT64_MAX);
  const auto fence = base::WholeMember(json, "fence", 0, INT64_MAX);
  const auto seq = base::WholeMember(json, "seq", 0, INT64_MAX);
  if (!in_flight || !generation || !fence || !seq) {
    return std::nullopt;
  }
  state.incarnation = incarnation.is_string() ? incarnation.get<std::string>()
                                              : incarnation.dump();
  state.fenced = json.at("fenced").get<bool>();
  state.phase = *phase;
  state.in_flight = static_cast<int>(*in_flight);
  state.current = *std::move(current);
  state.generation = base::Generation(*generation);
  state.fence = base::FencingToken(*fence);
  state.order_id = json.at("order_id").get<std::string>();
  state.seq = static_cast<std::uint64_t>(*seq);
  return state;
}

}  // namespace

Json EncodeTargetState(const EngineTargetState& target) {
  return {{"draining", target.draining},
          {"role", std::string(request::ToString(target.role))},
          {"model", target.model.str()},
          {"version", target.version.str()},
          {"adapters", target.adapters}};
}

std::optional<EngineTargetState> DecodeTargetState(const Json& json) {
  return Guarded([&] { return ReadTargetState(json); });
}

std::optional<EngineState> DecodeEngineState(const Json& json) {
  return Guarded([&] { return ReadEngineState(json); });
}

std::string EncodeOrder(const EngineOrder& order) {
  const Json json = {{"order_id", order.order_id},
                     {"fence", order.fence.value()},
                     {"generation", order.generation.value()},
                     {"holder", order.holder.str()},
                     {"target", EncodeTargetState(order.target)}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<OrderAnswer> DecodeOrderAnswer(int status,
                                             const std::string& body) {
  const Json json = base::ParseBoundedJson(body).value_or(Json());
  if (status == kHttpOk || status == kHttpAccepted) {
    const bool accepted =
        json.is_object() && json.value("accepted", Json()) == Json(true);
    return accepted ? std::optional(OrderAnswer{true, OrderRefusal::kNone})
                    : std::nullopt;
  }
  if (status < kHttpClientErrors || status >= kHttpServerErrors) {
    return std::nullopt;
  }
  if (status != kHttpConflict) {
    return OrderAnswer{false, OrderRefusal::kOther};
  }
  return Guarded([&]() -> std::optional<OrderAnswer> {
    return OrderAnswer{
        false, ParseRefusal(json.at("error").at("code").get<std::string>())};
  });
}

}  // namespace lynxglade::connection
