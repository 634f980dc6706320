#include "connection/load_report.h"

#include <algorithm>
#include <cstdint>
#include <type_traits>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "base/bounded_json.h"

namespace lynxglade::connection {

namespace {

using nlohmann::json;

// Clamps the computed age of a report: the clocks of target and instance may
// differ.
constexpr std::int64_t kMaxAgeMs = 30'000;
constexpr int kMaxDepth = 4;

// Exceed any real value; sums cannot overflow.
constexpr std::int64_t kMaxCount = 1'000'000'000;
constexpr double kMaxRate = 1e12;

// Reads a count, clamped to its valid range. Some targets send integers as
// floating-point numbers.
std::int64_t ReadCount(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_number()) {
    return 0;
  }
  const double n = std::clamp(it->get<double>(), 0.0, double{kMaxCount});
  return static_cast<std::int64_t>(n);
}

double ReadRate(const json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_number()
             ? std::clamp(it->get<double>(), 0.0, kMaxRate)
             : 0;
}

// Reads a sequence number or a time; 0 if absent or out of range.
std::int64_t ReadWhole(const json& object, const char* name) {
  return base::WholeMember(object, name, 0, INT64_MAX).value_or(0);
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
  load.running = static_cast<int>(ReadCount(object, "running"));
  load.waiting = static_cast<int>(ReadCount(object, "waiting"));
  load.queued_prefill =
      base::Tokens(ReadCount(object, "queued_prefill_tokens"));
  load.running_decode =
      base::Tokens(ReadCount(object, "running_decode_tokens"));
  load.prefill_tokens_per_s = ReadRate(object, "prefill_tokens_per_s");
  load.decode_tokens_per_s = ReadRate(object, "decode_tokens_per_s");
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
  report.created_ms = ReadWhole(*object, "generated_at_ms");
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
                 {"generated_at_ms", report.created_ms},
                 {"role", request::ToString(report.role)},
                 {"running", load.running},
                 {"waiting", load.waiting}};
  // Omits members with default values, such as those unused by plain services.
  const auto add = [&object](const char* name, const auto& value) {
    if (value != std::decay_t<decltype(value)>{}) {
      object[name] = value;
    }
  };
  add("model", report.model.str());
  add("version", report.version.str());
  add("queued_prefill_tokens", load.queued_prefill.value());
  add("running_decode_tokens", load.running_decode.value());
  add("prefill_tokens_per_s", load.prefill_tokens_per_s);
  add("decode_tokens_per_s", load.decode_tokens_per_s);
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
