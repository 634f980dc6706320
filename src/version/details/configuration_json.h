// JSON conversion of the parts of a configuration. Internal to src/version.
#ifndef LYNXGLADE_VERSION_DETAILS_CONFIGURATION_JSON_H_
#define LYNXGLADE_VERSION_DETAILS_CONFIGURATION_JSON_H_

#include <string>

#include <nlohmann/json.hpp>

#include "version/configuration.h"
#include "version/configuration_codec.h"

namespace lynxglade::version::details {

// Each encoded part includes its own id or name.
nlohmann::json ToJson(const ServiceSpec& service);
nlohmann::json ToJson(const Intent& intent);
nlohmann::json ToJson(const Contract& contract);
nlohmann::json ToJson(const Operator& op);
nlohmann::json ToJson(const Configuration& configuration);

// `where` is the JSON pointer to `value` for error reports.
bool FromJson(const nlohmann::json& value,
              const std::string& where,
              ServiceSpec* out,
              CodecFault* fault);
bool FromJson(const nlohmann::json& value,
              const std::string& where,
              Intent* out,
              CodecFault* fault);
bool FromJson(const nlohmann::json& value,
              const std::string& where,
              Contract* out,
              CodecFault* fault);
bool FromJson(const nlohmann::json& value,
              const std::string& where,
              Operator* out,
              CodecFault* fault);
bool FromJson(const nlohmann::json& value,
              const std::string& where,
              Configuration* out,
              CodecFault* fault);

}  // namespace lynxglade::version::details

#endif  // LYNXGLADE_VERSION_DETAILS_CONFIGURATION_JSON_H_
