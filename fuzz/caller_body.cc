// Chat request bodies: an accepted body is forwarded to engines as valid JSON.
#include <string>

#include <nlohmann/json.hpp>

#include "connection/chat_body.h"
#include "connection/target_client_exchange.h"
#include "fuzz/check.h"
#include "request/attempt.h"
#include "request/request.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace lynxglade;
  const std::string body(fuzz::TextOf(data, size));
  std::string reason;
  const auto call = connection::ParseChatCall(body, &reason);
  if (!call) {
    fuzz::Check(!reason.empty(), "a rejected input has a reason");
    return 0;
  }
  fuzz::Check(call->prompt_tokens.value() >= 0, "prompt is counted");
  fuzz::Check(call->max_output_tokens.value() > 0, "output is bounded");
  request::Request request;
  request.body = call->engine_body;
  request.prefix_hash = call->prefix_hash;
  request::AttemptSpec spec;
  spec.request = &request;
  const auto engine_body = connection::EngineBody(spec);
  fuzz::Check(engine_body.has_value(), "a body for engines is made");
  const auto sent = nlohmann::json::parse(*engine_body, nullptr,
                                          /*allow_exceptions=*/false);
  fuzz::Check(sent.is_object(), "the engine gets an object");
  fuzz::Check(sent.value("stream", nlohmann::json()) == true,
              "the engine streams");
  fuzz::Check(sent.value("model", nlohmann::json()).is_string(),
              "the engine gets a model");
  return 0;
}
