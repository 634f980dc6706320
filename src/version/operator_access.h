// Who may do what over the administration API.
//
// Operators are part of the configuration, known by the SHA-256 of their keys.
// While no fleet operator has a key, the bootstrap key from the settings
// stands in for one, so that a first configuration can be made. Keys are
// compared in constant time and appear in no log and no answer.
#ifndef LYNXGLADE_VERSION_OPERATOR_ACCESS_H_
#define LYNXGLADE_VERSION_OPERATOR_ACCESS_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "version/config_delta.h"
#include "version/configuration.h"

namespace lynxglade::version {

// An operator whose key was recognised.
struct Caller {
  base::OperatorId id;
  OperatorRole role = OperatorRole::kReadOnly;
  // kContract only.
  std::vector<base::ContractId> contracts;

  // kContract operators see their own contracts only, the others all.
  bool MaySee(const base::ContractId& contract) const;
  bool is_fleet() const noexcept { return role == OperatorRole::kFleet; }
};

// Name under which the bootstrap key acts.
inline constexpr std::string_view kBootstrapOperator = "bootstrap";

// Thread-safe.
class OperatorAccess {
 public:
  using CurrentConfiguration =
      std::function<std::shared_ptr<const Configuration>()>;

  // `bootstrap_key` as in the settings; only its digest is kept. Empty: none.
  OperatorAccess(CurrentConfiguration current,
                 const std::string& bootstrap_key);

  // Nothing when the key is no operator's.
  std::optional<Caller> Recognise(const std::string& key) const;

 private:
  const CurrentConfiguration current_;
  const std::string bootstrap_digest_;
};

// Whether the caller may make this change; otherwise `reason` says why not.
// A fleet operator may make any. A contract's operator may change deadlines,
// keys, models and versions of its own contracts, and lower shares and
// urgency, but not raise them: these come out of what others have.
bool MayChange(const Caller& caller,
               const ConfigDelta& delta,
               std::string* reason);

// Whether the delta leaves no fleet operator with a key where there was one.
bool LocksOut(const Configuration& before, const Configuration& after);

}  // namespace lynxglade::version

#endif  // LYNXGLADE_VERSION_OPERATOR_ACCESS_H_
