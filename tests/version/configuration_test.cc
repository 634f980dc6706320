// Tests of encoding configurations and deltas.
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <nlohmann/json.hpp>

#include "version/config_delta.h"
#include "version/config_head.h"
#include "version/configuration_codec.h"
#include "version/sample.h"

namespace lynxglade::version {
namespace {

using nlohmann::json;

RC_GTEST_PROP(ConfigurationCodecTest, RoundTrip, ()) {
  Configuration configuration = SampleConfiguration();
  for (int i = *rc::gen::inRange(0, 8); i > 0; --i) {
    Mutate(&configuration);
  }
  CodecFault fault;
  const auto read =
      DecodeConfiguration(EncodeConfiguration(configuration), &fault);
  RC_ASSERT(read.has_value());
  RC_ASSERT(*read == configuration);
}

// Invalid values are rejected with an error code and their location.
TEST(ConfigurationCodecTest, FaultsHaveCodeAndLocation) {
  struct Case {
    const char* place;
    json value;
    CodecError error;
  };
  const std::vector<Case> cases = {
      {"/contracts/archive/intents/0/share", 0, CodecError::kOutOfRange},
      {"/contracts/archive/intents/0/share", 1.5, CodecError::kOutOfRange},
      {"/contracts/archive/intents/0/share", "half", CodecError::kWrongType},
      {"/contracts/archive/intents/0/priority", 10, CodecError::kOutOfRange},
      {"/contracts/archive/intents/0/priority", 1.5, CodecError::kWrongType},
      {"/contracts/archive/intents/0/priority", 18446744073709551615u,
       CodecError::kWrongType},
      {"/contracts/archive/intents/0/service", "none",
       CodecError::kBadReference},
      {"/contracts/archive/intents/0/model", "", CodecError::kBadReference},
      {"/contracts/archive/key_hashes/0", "secret", CodecError::kOutOfRange},
      {"/contracts/archive/surprise", 1, CodecError::kUnknownMember},
      {"/contracts/archive/id", "other", CodecError::kBadReference},
      {"/services/llm/role_change_price", -1, CodecError::kOutOfRange},
      {"/contracts/archive/default_deadline_ms", 0, CodecError::kOutOfRange},
  };
  const json valid = json::parse(EncodeConfiguration(SampleConfiguration()));
  for (const Case& it : cases) {
    json broken = valid;
    broken[json::json_pointer(it.place)] = it.value;
    CodecFault fault;
    EXPECT_FALSE(DecodeConfiguration(broken.dump(), &fault)) << it.place;
    EXPECT_EQ(fault.error, it.error) << it.place << ": " << fault.message;
    const std::string expected = it.place;
    // A mismatched id is reported at the part that contains it.
    EXPECT_TRUE(expected.starts_with(fault.where)) << fault.where;
    EXPECT_EQ(fault.message.find("secret"), std::string::npos);
  }
}

TEST(ConfigurationCodecTest, OverCommitmentIsRejected) {
  Configuration configuration = SampleConfiguration();
  Contract& parish = configuration.contracts[base::ContractId("parish")];
  parish.intents[0].share = 0.5;
  CodecFault fault;
  EXPECT_TRUE(CheckConfiguration(configuration, &fault)) << fault.message;
  parish.intents[0].share = 0.51;
  EXPECT_FALSE(CheckConfiguration(configuration, &fault));
  EXPECT_EQ(fault.error, CodecError::kOverCommitted);
  EXPECT_EQ(fault.where, "/services/llm");
}

// Decoding corrupted text either succeeds or reports a fault.
RC_GTEST_PROP(ConfigurationCodecTest, CorruptedTextIsRejectedOrDecoded, ()) {
  std::string text = EncodeConfiguration(SampleConfiguration());
  const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
  text[at] = *rc::gen::arbitrary<char>();
  CodecFault fault;
  const auto read = DecodeConfiguration(text, &fault);
  RC_ASSERT(read.has_value() == (fault.error == CodecError::kNone));
}

RC_GTEST_PROP(ConfigDeltaTest, AppliesUndoesAndRoundTrips, ()) {
  Configuration from = SampleConfiguration();
  from.revision = base::Revision(41);
  Configuration to = from;
  to.revision = base::Revision(42);
  for (int i = *rc::gen::inRange(0, 6); i > 0; --i) {
    Mutate(&to);
  }
  const ConfigDelta delta = MakeDelta(from, to);
  CodecFault fault;
  const auto read = DecodeDelta(EncodeDelta(delta), &fault);
  RC_ASSERT(read.has_value());
  RC_ASSERT(*read == delta);

  Configuration moved = from;
  RC_ASSERT(ApplyDelta(*read, &moved));
  RC_ASSERT(moved == to);
  // A delta applies only to the state it was made from.
  RC_ASSERT(!ApplyDelta(*read, &moved));
  RC_ASSERT(UndoDelta(*read, &moved));
  RC_ASSERT(moved == from);
  if (!delta.contracts.empty()) {
    Configuration other = from;
    const base::ContractId id = delta.contracts.begin()->first;
    other.contracts[id].display_name += "?";
    const Configuration before = other;
    RC_ASSERT(!ApplyDelta(*read, &other));
    RC_ASSERT(other == before);
  }
}

TEST(ChainedDeltaTest, ModifiedTextIsRejected) {
  const ConfigDelta delta = MakeDelta(Configuration(), SampleConfiguration());
  const std::string text = EncodeChainedDelta(MakeChainedDelta(delta, ""));
  EXPECT_TRUE(DecodeChainedDelta(text));
  std::string altered = text;
  altered.replace(altered.find("0.25"), 4, "0.35");
  EXPECT_FALSE(DecodeChainedDelta(altered));
}

}  // namespace
}  // namespace lynxglade::version
