// The kinds of requests of a deployment's sheet.
#include "rig/traffic.h"

namespace lynxglade::rig {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const char* TypeName(RequestType type) {
  switch (type) {
    case RequestType::kStream:
      return "streaming";
    case RequestType::kIdempotent:
      return "idempotent";
    case RequestType::kNonIdempotent:
      break;
  }
  return "non_idempotent";
}

}  // namespace

std::vector<RequestKind> AlbumMix() {
  return {{.name = "album",
           .service = "llm",
           .per_second = 36.2,
           .timeout = seconds(5),
           .latency_target = milliseconds(500),
           .priority = 2,
           .shared = {.count = 164, .mean_tokens = 13'300},
           .own_mean = 3'720,
           .own_spread = 1.1,
           .own_max = 53'200,
           .events_mean = 13.3,
           .events_spread = 1.4,
           .events_max = 53,
           .body_mean = 17'000,
           .body_max = 100'000},
          {.name = "caption",
           .service = "llm",
           .per_second = 24.9,
           .timeout = seconds(3),
           .latency_target = milliseconds(500),
           .priority = 1,
           .max_targets = 2,
           .resumable = true,
           .shared = {.count = 75, .mean_tokens = 6'300},
           .own_mean = 2'890,
           .own_spread = 1,
           .own_max = 39'600,
           .events_mean = 5.8,
           .events_spread = 1.4,
           .events_max = 23,
           .body_mean = 9'200,
           .body_max = 55'000},
          {.name = "note",
           .service = "llm",
           .per_second = 38.4,
           .timeout = seconds(6),
           .latency_target = milliseconds(300),
           .priority = 0,
           .shared = {.count = 174, .mean_tokens = 350},
           .own_mean = 1'110,
           .own_spread = 1,
           .own_max = 3'790,
           .events_mean = 19.1,
           .events_spread = 0.9,
           .events_max = 67,
           .body_mean = 1'500,
           .body_max = 8'700},
          {.name = "receipt",
           .service = "portal",
           .type = RequestType::kNonIdempotent,
           .per_second = 24.9,
           .timeout = milliseconds(1'200),
           .latency_target = milliseconds(150),
           .priority = 2,
           .body_mean = 600,
           .body_max = 3'600},
          {.name = "thumb",
           .service = "portal",
           .type = RequestType::kIdempotent,
           .per_second = 10,
           .timeout = milliseconds(1'200),
           .latency_target = milliseconds(150),
           .priority = 2,
           .max_targets = 2}};
}

nlohmann::json MakeConfiguration(const std::vector<RequestKind>& kinds) {
  using nlohmann::json;
  json routes = json::array();
  for (const RequestKind& it : kinds) {
    routes.push_back({{"name", it.name},
                      {"hostname", "rig"},
                      {"pathPrefix", it.Path()},
                      {"type", TypeName(it.type)},
                      {"timeoutMs", base::ToMillis(it.timeout)},
                      {"targetLatencyMs", base::ToMillis(it.latency_target)},
                      {"gapTargetMs", base::ToMillis(it.pause_target)},
                      {"backend", it.service},
                      {"priority", it.priority},
                      {"maxAttempts", it.max_targets},
                      {"resumable", it.resumable},
                      {"sessionAffinity", it.own_mean > 0}});
  }
  return {{"version", 1},
          {"routes", routes},
          {"services",
           {{{"name", "llm"},
             {"healthPath", "/healthz"},
             {"maxConnections", 360},
             {"engine", {{"switchS", 3}}}},
            {{"name", "portal"},
             {"healthPath", "/healthz"},
             {"maxConnections", 100}}}},
          {"limits",
           {{"maxHeaderBytes", 16'384},
            {"maxBodyBytes", 4'194'304},
            {"headerTimeoutMs", 3'000},
            {"idleTimeoutMs", 15'000}}}};
}

}  // namespace lynxglade::rig
