#include "request/passthrough/organisation_keys.h"

#include <map>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lynxglade::request::passthrough {
namespace {

TEST(OrganisationKeys, FindsTheHolderOfEachKey) {
  OrganisationKeys keys;
  const auto a = keys.AddOrganisation({base::OrganisationId("a"), 2});
  const auto b =
      keys.AddOrganisation({base::OrganisationId("b"), std::nullopt});
  keys.AddKey(a, "one");
  keys.AddKey(b, "two");
  keys.AddKey(b, "three");
  EXPECT_EQ(keys.Find("one")->id.str(), "a");
  EXPECT_EQ(keys.Find("one")->priority, 2);
  EXPECT_EQ(keys.Find("two"), keys.Find("three"));
  EXPECT_EQ(keys.Find("two")->priority, std::nullopt);
  EXPECT_EQ(keys.Find("four"), nullptr);
  EXPECT_EQ(keys.Find(""), nullptr);
}

TEST(OrganisationKeys, AnOrganisationMayHoldNoKey) {
  OrganisationKeys keys;
  keys.AddOrganisation({base::OrganisationId("a"), std::nullopt});
  EXPECT_EQ(keys.organisations(), 1U);
  EXPECT_EQ(keys.keys(), 0U);
}

// Any bytes are a key, and only the exact ones find it.
RC_GTEST_PROP(OrganisationKeys, AgreesWithAMapOfKeys, ()) {
  const auto holders = *rc::gen::arbitrary<std::map<std::string, int>>();
  OrganisationKeys keys;
  for (const auto& [key, holder] : holders) {
    keys.AddKey(keys.AddOrganisation({base::OrganisationId(key), holder}), key);
  }
  const auto asked = *rc::gen::arbitrary<std::string>();
  const Organisation* found = keys.Find(asked);
  RC_ASSERT((found != nullptr) == holders.contains(asked));
  for (const auto& [key, holder] : holders) {
    RC_ASSERT(keys.Find(key)->priority == holder);
  }
}

}  // namespace
}  // namespace lynxglade::request::passthrough
