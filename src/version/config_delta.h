// The difference between two consecutive configurations.
//
// A delta holds each changed part with its value before and after. It therefore
// applies only to the exact state it was made from, and it can be undone.
#ifndef LYNXGLADE_VERSION_CONFIG_DELTA_H_
#define LYNXGLADE_VERSION_CONFIG_DELTA_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/units.h"
#include "version/configuration.h"
#include "version/configuration_codec.h"

namespace lynxglade::version {

// Size limit of an encoded delta. The delta must fit into one transaction of
// the key-value service together with the head and the audit record.
inline constexpr std::size_t kMaxDeltaBytes = 700u << 10;

// A part before and after a change; nullopt where it does not exist.
template <typename Part>
struct Edit {
  std::optional<Part> before;
  std::optional<Part> after;

  bool operator==(const Edit&) const = default;
};

struct ConfigDelta {
  // Revision after the delta; it applies to the preceding revision.
  base::Revision revision{0};
  std::map<base::ServiceName, Edit<ServiceSpec>> services;
  std::map<base::ContractId, Edit<Contract>> contracts;
  std::map<base::OperatorId, Edit<Operator>> operators;

  bool empty() const noexcept {
    return services.empty() && contracts.empty() && operators.empty();
  }
  bool operator==(const ConfigDelta&) const = default;
};

// Computes the delta from `from` to `to`, with the revision after `from`.
ConfigDelta MakeDelta(const Configuration& from, const Configuration& to);

// Applies a delta in place. Returns false and leaves the configuration
// unchanged when its revision or parts differ from those the delta was made
// from.
bool ApplyDelta(const ConfigDelta& delta, Configuration* configuration);

// Reverts a delta in place; the inverse of ApplyDelta().
bool UndoDelta(const ConfigDelta& delta, Configuration* configuration);

// Canonical JSON text.
std::string EncodeDelta(const ConfigDelta& delta);
std::optional<ConfigDelta> DecodeDelta(std::string_view text,
                                       CodecFault* fault);

// Digest of the history up to and including a delta: SHA-256 of the previous
// digest and the delta's text. Equal digests mean equal histories. The digest
// at revision 0 is the empty string.
std::string ChainDigest(std::string_view previous, std::string_view delta_text);

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_CONFIG_DELTA_H_
