// Strict JSON encoding and decoding of the configuration.
//
// Decoding rejects unknown members, wrong types, values out of range and
// dangling references, and reports an error code with a JSON pointer to the
// location.
#ifndef LYNXGLADE_VERSION_CONFIGURATION_CODEC_H_
#define LYNXGLADE_VERSION_CONFIGURATION_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "version/configuration.h"

namespace lynxglade::version {

// Limits that decoding enforces.
inline constexpr std::size_t kMaxConfigurationBytes = 32u << 20;
inline constexpr std::size_t kMaxIdBytes = 128;
inline constexpr std::size_t kMaxServices = 1'000;
inline constexpr std::size_t kMaxContracts = 20'000;
inline constexpr std::size_t kMaxOperators = 20'000;
inline constexpr std::size_t kMaxIntentsPerContract = 64;
inline constexpr std::size_t kMaxAdaptersPerIntent = 64;
inline constexpr std::size_t kMaxKeysPerOwner = 16;
inline constexpr int kMaxPriority = 9;
inline constexpr double kMaxRoleChangePrice = 1e9;
inline constexpr base::Duration kMinDeadline = std::chrono::milliseconds(1);
inline constexpr base::Duration kMaxDeadline = std::chrono::hours(1);
// Rounding tolerance for sums of shares.
inline constexpr double kShareTolerance = 1e-9;

enum class CodecError {
  kNone,
  kNotJson,
  kTooLarge,
  kMissing,
  kUnknownMember,
  kWrongType,
  kOutOfRange,
  // A reference to an unknown part, or a model that the service does not take
  // or lacks.
  kBadReference,
  // Two intents of one contract for the same service and model.
  kDuplicate,
  // The shares on a service sum to more than 1.
  kOverCommitted,
};
std::string_view ToString(CodecError error) noexcept;

struct CodecFault {
  CodecError error = CodecError::kNone;
  // JSON pointer, such as "/contracts/archive/intents/0/share".
  std::string where;
  // Error message for the operator: what was expected.
  std::string message;
};

std::string_view ToString(OperatorRole role) noexcept;

// Canonical: equal configurations have equal text.
std::string EncodeConfiguration(const Configuration& configuration);

std::optional<Configuration> DecodeConfiguration(std::string_view text,
                                                 CodecFault* fault);

// Checks constraints between parts: references and sums of shares. Returns
// false and fills `fault` at the first violation.
bool CheckConfiguration(const Configuration& configuration, CodecFault* fault);

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_CONFIGURATION_CODEC_H_
