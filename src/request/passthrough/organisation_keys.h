// Looks up the organisation that holds an API key.
//
// Only hashes of the keys are stored. A lookup compares hashes, so its time
// does not depend on how much of a guessed key is right.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_ORGANISATION_KEYS_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_ORGANISATION_KEYS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/ids.h"

namespace lynxglade::request::passthrough {

// A customer of the operator, as the configuration describes it.
struct Organisation {
  base::OrganisationId id;
  // Replaces the priority of the route, if set; 0 is the most urgent.
  std::optional<int> priority;
};

// One version of the configuration; immutable once filled.
class OrganisationKeys {
 public:
  // Adds an organisation, before AddKey() of its keys. Returns its index.
  std::size_t AddOrganisation(Organisation organisation);
  // A key that is added twice belongs to the last organisation.
  void AddKey(std::size_t organisation, std::string_view key);

  // Null if no organisation holds the key.
  const Organisation* Find(std::string_view key) const;

  std::size_t organisations() const noexcept { return organisations_.size(); }
  std::size_t keys() const noexcept { return by_hash_.size(); }

 private:
  std::vector<Organisation> organisations_;
  // Indices into `organisations_`, by the hash of a key.
  std::unordered_map<std::string, std::size_t> by_hash_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_ORGANISATION_KEYS_H_
