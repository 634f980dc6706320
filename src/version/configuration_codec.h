// The configuration as JSON text, read with strict checks.
//
// Reading accepts only what writing produces: unknown members, wrong types,
// values out of range and references that lead nowhere are refused with a
// typed reason and the place, as a JSON pointer.
#ifndef LYNXGLADE_VERSION_CONFIGURATION_CODEC_H_
#define LYNXGLADE_VERSION_CONFIGURATION_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "version/configuration.h"

namespace lynxglade::version {

// Bounds on what is read; beyond them the text is refused.
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
// Shares are added as doubles; a sum above 1 by less than this is rounding.
inline constexpr double kShareSlack = 1e-9;

enum class CodecError {
  kNone,
  kNotJson,
  kTooLarge,
  kMissing,
  kUnknownMember,
  kWrongType,
  kOutOfRange,
  // An intent for a service that is not there, or a model where none fits.
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
  // What was expected, in words for an operator.
  std::string message;
};

std::string_view ToString(OperatorRole role) noexcept;

// Canonical: the same configuration always gives the same text.
std::string EncodeConfiguration(const Configuration& configuration);

std::optional<Configuration> DecodeConfiguration(std::string_view text,
                                                 CodecFault* fault);

// Checks what holds between parts: references and sums of shares. Returns
// false and fills `fault` at the first breach.
bool CheckConfiguration(const Configuration& configuration, CodecFault* fault);

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_CONFIGURATION_CODEC_H_
