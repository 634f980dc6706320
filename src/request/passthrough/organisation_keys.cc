#include "request/passthrough/organisation_keys.h"

#include <utility>

#include "base/secret_hash.h"

namespace lynxglade::request::passthrough {

std::size_t OrganisationKeys::AddOrganisation(Organisation organisation) {
  organisations_.push_back(std::move(organisation));
  return organisations_.size() - 1;
}

void OrganisationKeys::AddKey(std::size_t organisation, std::string_view key) {
  by_hash_[base::SecretHash(key)] = organisation;
}

const Organisation* OrganisationKeys::Find(std::string_view key) const {
  const auto it = by_hash_.find(base::SecretHash(key));
  return it == by_hash_.end() ? nullptr : &organisations_[it->second];
}

}  // namespace lynxglade::request::passthrough
