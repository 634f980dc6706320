// The configuration's records: the first byte names the kind, '0' to '4'.
#include "fuzz/check.h"
#include "version/config_delta.h"
#include "version/config_head.h"
#include "version/configuration_codec.h"

namespace {

using namespace lynxglade;
using namespace lynxglade::version;

void TryConfiguration(std::string_view text) {
  CodecFault fault;
  const auto value = DecodeConfiguration(text, &fault);
  if (!value) {
    fuzz::Check(fault.error != CodecError::kNone, "a refusal has a reason");
    return;
  }
  fuzz::Check(CheckConfiguration(*value, &fault), "what is read is sound");
  const auto again = DecodeConfiguration(EncodeConfiguration(*value), &fault);
  fuzz::Check(again && *again == *value, "what is written is read");
}

void TryHead(std::string_view text) {
  const auto value = DecodeHead(text);
  if (value) {
    fuzz::Check(DecodeHead(EncodeHead(*value)) == value, "head comes back");
    fuzz::Check(value->snapshot <= value->revision, "snapshot is older");
  }
}

void TryDelta(std::string_view text) {
  CodecFault fault;
  const auto value = DecodeDelta(text, &fault);
  if (!value) {
    return;
  }
  const auto again = DecodeDelta(EncodeDelta(*value), &fault);
  fuzz::Check(again && *again == *value, "delta comes back");
  // Whatever it says, applying is all or nothing and can be undone.
  Configuration configuration;
  configuration.revision = value->revision - base::Revision(1);
  const Configuration before = configuration;
  if (!ApplyDelta(*value, &configuration)) {
    fuzz::Check(configuration == before, "a misfit changes nothing");
  } else if (UndoDelta(*value, &configuration)) {
    fuzz::Check(configuration == before, "undone");
  }
}

void TryChained(std::string_view text) {
  const auto value = DecodeChainedDelta(text);
  if (value) {
    fuzz::Check(
        ChainDigest(value->previous_digest, value->text) == value->digest,
        "the chain holds");
  }
}

void TryHeld(std::string_view text) {
  CodecFault fault;
  const auto value = DecodeSnapshot(text, &fault);
  if (value) {
    const auto again = DecodeSnapshot(EncodeSnapshot(*value), &fault);
    fuzz::Check(again && *again->configuration == *value->configuration,
                "held comes back");
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  if (size == 0) {
    return 0;
  }
  const std::string_view text = fuzz::TextOf(data, size).substr(1);
  switch (data[0]) {
    case '0':
      TryConfiguration(text);
      break;
    case '1':
      TryHead(text);
      break;
    case '2':
      TryDelta(text);
      break;
    case '3':
      TryChained(text);
      break;
    case '4':
      TryHeld(text);
      break;
    default:
      break;
  }
  return 0;
}
