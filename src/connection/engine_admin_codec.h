// JSON encoding of engine states and orders (docs/PROTOCOLS.md, "Orders"). The
// order journal stores target states in this encoding, too.
#ifndef LYNXGLADE_CONNECTION_ENGINE_ADMIN_CODEC_H_
#define LYNXGLADE_CONNECTION_ENGINE_ADMIN_CODEC_H_

#include <optional>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "connection/engine_admin.h"

namespace lynxglade::connection {

nlohmann::json EncodeTargetState(const EngineTargetState& target);
// Returns nullopt on a missing member, a wrong type or an unknown role.
std::optional<EngineTargetState> DecodeTargetState(const nlohmann::json& json);

std::optional<EngineState> DecodeEngineState(const nlohmann::json& json);
std::string EncodeOrder(const EngineOrder& order);
// Decodes the answer to an order. Returns nullopt if it is not valid.
std::optional<OrderAnswer> DecodeOrderAnswer(int status,
                                             const std::string& body);

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_ENGINE_ADMIN_CODEC_H_
