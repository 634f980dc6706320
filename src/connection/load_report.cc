#include "connection/load_report.h"

#include <algorithm>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "base/bounded_json.h"

namespace lynxglade::connection {

namespace {

using nlohmann::json;

// Clocks of targets and instances differ a little; an age outside this range
// says more of the clocks than of the report.
constexpr std::int64_t kMaxAgeMs = 30'000;
constexpr int kMaxDepth = 4;

std::int64_t ReadWhole(const json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_number() ? it->get<std::int64_t>() : 0;
}

double ReadReal(const json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_number() ? it->get<double>() : 0;
}

std::string ReadText(const json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

bool ReadFlag(const json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_boolean() && it->get<bool>();
}

base::Time AsOf(const json& object, base::Time now) {
  const std::int64_t made = ReadWhole(object, "generated_at_ms");
  const std::int64_t age = base::WallMillis() - made;
  return now -
         std::chrono::milliseconds(std::clamp<std::int64_t>(age, 0, kMaxAgeMs));
}

request::TargetLoad ReadLoad(const json& object, base::Time now) {
  request::TargetLoad load;
  load.running = static_cast<int>(ReadWhole(object, "running"));
  load.waiting = static_cast<int>(ReadWhole(object, "waiting"));
  load.queued_prefill =
      base::Tokens(ReadWhole(object, "queued_prefill_tokens"));
  load.running_decode =
      base::Tokens(ReadWhole(object, "running_decode_tokens"));
  load.prefill_tokens_per_s = ReadReal(object, "prefill_tokens_per_s");
  load.decode_tokens_per_s = ReadReal(object, "decode_tokens_per_s");
  load.as_of = AsOf(object, now);
  return load;
}

}  // namespace

std::optional<LoadReport> ParseLoadReport(std::string_view json_text,
                                          base::Time now) {
  const auto object = base::ParseBoundedJson(json_text, kMaxDepth);
  if (!object || !object->is_object()) {
    return std::nullopt;
  }
  LoadReport report;
  report.target = base::TargetId(ReadText(*object, "engine"));
  if (report.target.empty()) {
    return std::nullopt;
  }
  report.incarnation = ReadText(*object, "incarnation");
  report.sequence = static_cast<std::uint64_t>(ReadWhole(*object, "seq"));
  report.made_ms = ReadWhole(*object, "generated_at_ms");
  const std::string role = ReadText(*object, "role");
  if (!role.empty() && !request::ParseEngineRole(role, &report.role)) {
    return std::nullopt;
  }
  report.model = base::ModelName(ReadText(*object, "model"));
  report.version = base::ModelVersion(ReadText(*object, "version"));
  report.draining = ReadFlag(*object, "draining");
  report.load = ReadLoad(*object, now);
  return report;
}

std::string EncodeLoadReport(const LoadReport& report) {
  const request::TargetLoad& load = report.load;
  json object = {{"engine", report.target.str()},
                 {"incarnation", report.incarnation},
                 {"seq", report.sequence},
                 {"generated_at_ms", report.made_ms},
                 {"role", request::ToString(report.role)},
                 {"running", load.running},
                 {"waiting", load.waiting}};
  if (!report.model.empty()) {
    object["model"] = report.model.str();
    object["version"] = report.version.str();
    object["queued_prefill_tokens"] = load.queued_prefill.value();
    object["running_decode_tokens"] = load.running_decode.value();
    object["prefill_tokens_per_s"] = load.prefill_tokens_per_s;
    object["decode_tokens_per_s"] = load.decode_tokens_per_s;
  }
  if (report.draining) {
    object["draining"] = true;
  }
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<LoadReport> FetchLoadReport(const std::string& address,
                                          int port,
                                          base::Duration timeout,
                                          const base::Clock& now) {
  httplib::Client client(address, port);
  client.set_connection_timeout(timeout);
  client.set_read_timeout(timeout);
  const auto answer = client.Get("/v1/load");
  if (!answer || answer->status != 200) {
    return std::nullopt;
  }
  return ParseLoadReport(answer->body, now());
}

}  // namespace lynxglade::connection
