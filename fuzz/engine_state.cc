// Responses of engines to orders and to state queries.
#include <string>

#include <nlohmann/json.hpp>

#include "base/bounded_json.h"
#include "connection/engine_admin_codec.h"
#include "fuzz/check.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace lynxglade;
  const std::string text(fuzz::TextOf(data, size));
  if (const auto json = base::ParseBoundedJson(text)) {
    connection::DecodeEngineState(*json);
    connection::DecodeTargetState(*json);
  }
  for (const int status : {200, 202, 409, 500}) {
    connection::DecodeOrderAnswer(status, text);
  }
  return 0;
}
