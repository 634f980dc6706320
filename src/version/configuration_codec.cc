#include "version/configuration_codec.h"

#include <algorithm>
#include <utility>

#include "version/details/configuration_json.h"
#include "version/details/json_reader.h"

namespace lynxglade::version {
namespace {

using details::AppendToPointer;
using details::Fail;

std::string IntentPointer(const Contract& contract, std::size_t intent) {
  return AppendToPointer(
      AppendToPointer(AppendToPointer("/contracts", contract.id.str()),
                      "intents"),
      std::to_string(intent));
}

bool CheckIntent(const Intent& intent,
                 const std::string& where,
                 const Configuration& configuration,
                 CodecFault* fault) {
  const auto service = configuration.services.find(intent.service);
  if (service == configuration.services.end()) {
    return Fail(fault, CodecError::kBadReference,
                AppendToPointer(where, "service"),
                "unknown service " + intent.service.str());
  }
  if (service->second.engines == intent.model.empty()) {
    return Fail(fault, CodecError::kBadReference,
                AppendToPointer(where, "model"),
                service->second.engines
                    ? "a model is required for a service of model engines"
                    : "a plain service must not have a model");
  }
  return true;
}

bool CheckIntents(const Configuration& configuration, CodecFault* fault) {
  return std::ranges::all_of(configuration.contracts, [&](const auto& entry) {
    const Contract& contract = entry.second;
    std::size_t n = 0;
    return std::ranges::all_of(contract.intents, [&](const Intent& it) {
      return CheckIntent(it, IntentPointer(contract, n++), configuration,
                         fault);
    });
  });
}

std::map<base::ServiceName, double> SumShares(
    const Configuration& configuration) {
  std::map<base::ServiceName, double> sums;
  for (const auto& [id, contract] : configuration.contracts) {
    for (const Intent& it : contract.intents) {
      sums[it.service] += it.share;
    }
  }
  return sums;
}

}  // namespace

std::string_view ToString(CodecError error) noexcept {
  switch (error) {
    case CodecError::kNone:
      return "none";
    case CodecError::kNotJson:
      return "not_json";
    case CodecError::kTooLarge:
      return "too_large";
    case CodecError::kMissing:
      return "missing";
    case CodecError::kUnknownMember:
      return "unknown_member";
    case CodecError::kWrongType:
      return "wrong_type";
    case CodecError::kOutOfRange:
      return "out_of_range";
    case CodecError::kBadReference:
      return "bad_reference";
    case CodecError::kDuplicate:
      return "duplicate";
    case CodecError::kOverCommitted:
      break;
  }
  return "over_committed";
}

std::string_view ToString(OperatorRole role) noexcept {
  switch (role) {
    case OperatorRole::kReadOnly:
      return "read_only";
    case OperatorRole::kContract:
      return "contract";
    case OperatorRole::kFleet:
      break;
  }
  return "fleet";
}

std::string EncodeConfiguration(const Configuration& configuration) {
  return details::Canonical(details::ToJson(configuration));
}

std::optional<Configuration> DecodeConfiguration(std::string_view text,
                                                 CodecFault* fault) {
  nlohmann::json value;
  Configuration configuration;
  const bool read =
      details::ParseObject(text, kMaxConfigurationBytes, &value, fault) &&
      details::FromJson(value, "", &configuration, fault) &&
      CheckConfiguration(configuration, fault);
  if (!read) {
    return std::nullopt;
  }
  return configuration;
}

bool CheckConfiguration(const Configuration& configuration, CodecFault* fault) {
  if (!CheckIntents(configuration, fault)) {
    return false;
  }
  const auto sums = SumShares(configuration);
  const auto over_committed = std::ranges::find_if(
      sums, [](const auto& it) { return it.second > 1 + kShareTolerance; });
  return over_committed == sums.end() ||
         Fail(fault, CodecError::kOverCommitted,
              AppendToPointer("/services", over_committed->first.str()),
              "the shares on " + over_committed->first.str() + " sum to " +
                  nlohmann::json(over_committed->second).dump() +
                  ", more than 1");
}

}  // namespace lynxglade::version
