#include "process/instance_fact.h"

#include <nlohmann/json.hpp>

#include "base/bounded_json.h"
namespace lynxglade::process {

namespace {

constexpr int kMaxPort = 65535;

}  // namespace

std::string_view ToString(MemberState state) noexcept {
  switch (state) {
    case MemberState::kLive:
      return "live";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kGone:
      break;
  }
  return "gone";
}

MemberState StateOf(const ViewVersion& version) noexcept {
  if (version.epoch >= kGoneEpoch) {
    return MemberState::kGone;
  }
  if (version.epoch == kLeavingEpoch) {
    return MemberState::kLeaving;
  }
  return version.sequence % 2 == 0 ? MemberState::kLive : MemberState::kSuspect;
}

std::string EncodeInstanceFact(const InstanceFact& fact) {
  return nlohmann::json{
      {"zone", fact.zone.str()}, {"address", fact.address}, {"port", fact.port}}
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<InstanceFact> DecodeInstanceFact(const std::string& body) {
  const auto json = base::ParseBoundedJson(body).value_or(nlohmann::json());
  if (!json.is_object()) {
    return std::nullopt;
  }
  const auto zone = json.find("zone");
  const auto address = json.find("address");
  const auto port = json.find("port");
  if (zone == json.end() || !zone->is_string() || address == json.end() ||
      !address->is_string() || port == json.end() ||
      !port->is_number_unsigned() || port->get<std::uint64_t>() > kMaxPort) {
    return std::nullopt;
  }
  return InstanceFact{base::ZoneId(zone->get<std::string>()),
                      address->get<std::string>(), port->get<int>()};
}

}  // namespace lynxglade::process
