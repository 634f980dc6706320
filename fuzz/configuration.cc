// Configuration records; the first byte selects the kind, '0' to '4'.
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
    fuzz::Check(fault.error != CodecError::kNone,
                "a rejected input has a reason");
    return;
  }
  fuzz::Check(CheckConfiguration(*value, &fault),
              "a decoded configuration is valid");
  const auto again = DecodeConfiguration(EncodeConfiguration(*value), &fault);
  fuzz::Check(again && *again == *value, "encoded data can be decoded");
}

void TryHead(std::string_view text) {
  const auto value = DecodeHead(text);
  if (value) {
    fuzz::Check(DecodeHead(EncodeHead(*value)) == value,
                "decoding an encoded head yields the same head");
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
  fuzz::Check(again && *again == *value,
              "decoding an encoded delta yields the same delta");
  // Applying any delta is atomic and can be undone.
  Configuration configuration;
  configuration.revision = value->revision - base::Revision(1);
  const Configuration before = configuration;
  if (!ApplyDelta(*value, &configuration)) {
    fuzz::Check(configuration == before, "a rejected delta changes nothing");
  } else if (UndoDelta(*value, &configuration)) {
    fuzz::Check(configuration == before,
                "undoing a delta restores the configuration");
  }
}

void TryChained(std::string_view text) {
  const auto value = DecodeChainedDelta(text);
  if (value) {
    fuzz::Check(
        ChainDigest(value->previous_digest, value->text) == value->digest,
        "the digest matches the chain");
  }
}

void TryHeld(std::string_view text) {
  CodecFault fault;
  const auto value = DecodeSnapshot(text, &fault);
  if (value) {
    const auto again = DecodeSnapshot(EncodeSnapshot(*value), &fault);
    fuzz::Check(again && *again->configuration == *value->configuration,
                "decoding an encoded snapshot yields the same configuration");
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
