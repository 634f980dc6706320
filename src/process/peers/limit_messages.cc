#include "process/peers/limit_messages.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <limits>

#include <nlohmann/json.hpp>

#include "connection/bounded_cbor.h"

namespace lynxglade::process::peers {

namespace {

using connection::CborWhole;
using nlohmann::json;

constexpr std::uint64_t kVersion = 1;
constexpr std::size_t kReportParts = 5;
constexpr std::size_t kMaxTargetBytes = 200;
constexpr std::size_t kMaxMessageBytes = 4096;
constexpr double kThousandths = 1000;
// Larger rates are no limits in practice.
constexpr double kMaxRate = 1e9;
constexpr auto kMaxThousandths =
    static_cast<std::uint64_t>(kMaxRate * kThousandths);
constexpr connection::CborLimits kLimits{
    .max_bytes = kMaxMessageBytes,
    .max_depth = 2,
    .max_elements = (kReportParts + 1) * kMaxLimitReports + 2};

json EncodeRate(const std::optional<base::PerSecond>& rate) {
  if (!rate) {
    return nullptr;
  }
  return static_cast<std::uint64_t>(
      std::floor(std::clamp(rate->value(), 0.0, kMaxRate) * kThousandths));
}

json EncodeStart(const std::optional<base::StartMillis>& start) {
  return start ? json(start->value()) : json(nullptr);
}

json EncodeAge(std::chrono::milliseconds age) {
  return static_cast<std::uint64_t>(std::clamp<std::int64_t>(
      age.count(), 0, base::ToMillis(kMaxLimitReportAge)));
}

std::optional<base::Duration> ReadAge(const json& value) {
  const auto ms =
      CborWhole(value, std::uint64_t(base::ToMillis(kMaxLimitReportAge)));
  if (!ms) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(*ms);
}

// Members that may be null: false if the value is of another type.
bool ReadRate(const json& value, std::optional<base::PerSecond>* rate) {
  if (value.is_null()) {
    return true;
  }
  const auto thousandths = CborWhole(value, kMaxThousandths);
  if (thousandths) {
    *rate = base::PerSecond(static_cast<double>(*thousandths) / kThousandths);
  }
  return thousandths.has_value();
}

bool ReadStart(const json& value, std::optional<base::StartMillis>* start) {
  if (value.is_null()) {
    return true;
  }
  const auto ms = CborWhole(value, std::numeric_limits<std::int64_t>::max());
  if (ms) {
    *start = base::StartMillis(static_cast<std::int64_t>(*ms));
  }
  return ms.has_value();
}

std::optional<LimitReport> ParseReport(const json& row) {
  if (!row.is_array() || row.size() != kReportParts || !row[0].is_string()) {
    return std::nullopt;
  }
  LimitReport report;
  report.target = base::TargetId(row[0].get<std::string>());
  const auto sent_ago = ReadAge(row[3]);
  const auto received_ago = ReadAge(row[4]);
  const bool is_valid = report.target.str().size() <= kMaxTargetBytes &&
                        ReadStart(row[1], &report.start_time) &&
                        ReadRate(row[2], &report.rate) && sent_ago &&
                        received_ago;
  if (!is_valid) {
    return std::nullopt;
  }
  report.sent_ago = *sent_ago;
  report.received_ago = *received_ago;
  return report;
}

}  // namespace

std::string EncodeLimits(const std::vector<LimitReport>& reports) {
  json message = json::array({kVersion});
  const std::size_t n = std::min(reports.size(), kMaxLimitReports);
  std::for_each_n(reports.begin(), n, [&message](const LimitReport& it) {
    message.push_back(
        {it.target.str(), EncodeStart(it.start_time), EncodeRate(it.rate),
         EncodeAge(std::chrono::ceil<std::chrono::milliseconds>(it.sent_ago)),
         EncodeAge(
             std::chrono::floor<std::chrono::milliseconds>(it.received_ago))});
  });
  return connection::EncodeCbor(message);
}

std::optional<std::vector<LimitReport>> DecodeLimits(std::string_view bytes) {
  const auto message = connection::DecodeVersioned(bytes, kLimits, kVersion);
  if (!message || message->size() > kMaxLimitReports + 1) {
    return std::nullopt;
  }
  std::vector<LimitReport> reports;
  for (std::size_t i = 1; i < message->size(); ++i) {
    auto report = ParseReport((*message)[i]);
    if (!report) {
      return std::nullopt;
    }
    reports.push_back(std::move(*report));
  }
  return reports;
}

}  // namespace lynxglade::process::peers
