#include "connection/api_call.h"

#include <nlohmann/json.hpp>

namespace lynxglade::connection {

ApiAnswer ApiError(int status,
                   const std::string& code,
                   const std::string& message) {
  const nlohmann::json body = {
      {"error", {{"code", code}, {"message", message}}}};
  return {status,
          body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

}  // namespace lynxglade::connection
