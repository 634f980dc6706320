// The difference between two configurations that follow one another.
//
// A delta names each part that differs with its value before and after, so it
// applies only to exactly the state it was made on, can be undone, and is a
// few kilobytes where the whole configuration is megabytes.
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

// Largest delta as text; it has to fit one value of the key-value service
// beside the head and the audit record of the same transaction.
inline constexpr std::size_t kMaxDeltaBytes = 700u << 10;

// A part before and after; nothing where it does not exist.
template <typename Part>
struct Edit {
  std::optional<Part> before;
  std::optional<Part> after;

  bool operator==(const Edit&) const = default;
};

struct ConfigDelta {
  // The revision this leads to; it applies to the one before.
  base::Revision revision{0};
  std::map<base::ServiceName, Edit<ServiceSpec>> services;
  std::map<base::ContractId, Edit<Contract>> contracts;
  std::map<base::OperatorId, Edit<Operator>> operators;

  bool empty() const noexcept {
    return services.empty() && contracts.empty() && operators.empty();
  }
  bool operator==(const ConfigDelta&) const = default;
};

// What leads from `from` to `to`, as the revision after `from`.
ConfigDelta MakeDelta(const Configuration& from, const Configuration& to);

// Applies a delta in place. Returns false, leaving the configuration as it
// was, when revision or parts are not those that the delta was made on.
bool ApplyDelta(const ConfigDelta& delta, Configuration* configuration);

// Takes a delta back in place: the reverse of ApplyDelta().
bool UndoDelta(const ConfigDelta& delta, Configuration* configuration);

// Canonical JSON text.
std::string EncodeDelta(const ConfigDelta& delta);
std::optional<ConfigDelta> DecodeDelta(std::string_view text,
                                       CodecFault* fault);

// Digest of the history up to and with a delta: SHA-256 over the digest before
// and the delta's text. Equal digests mean equal histories. The digest of the
// empty configuration at revision 0 is the empty string.
std::string ChainDigest(std::string_view previous, std::string_view delta_text);

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_CONFIG_DELTA_H_
