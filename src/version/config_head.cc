#include "version/config_head.h"

#include <utility>

#include "version/details/configuration_json.h"
#include "version/details/json_reader.h"

namespace lynxglade::version {
namespace {

using details::json;

constexpr std::size_t kMaxHeadBytes = 4096;
constexpr std::size_t kMaxWriteIdBytes = 128;
constexpr std::size_t kMaxDigestBytes = 64;
constexpr std::int64_t kMaxSnapshotParts = 1000;

// The delta is embedded as escaped text, at most twice as long.
constexpr std::size_t kMaxChainedBytes = 2 * kMaxDeltaBytes + kMaxHeadBytes;

}  // namespace

std::string EncodeHead(const ConfigHead& head) {
  return details::Canonical({{"revision", head.revision.value()},
                             {"digest", head.digest},
                             {"snapshot", head.snapshot.value()},
                             {"snapshot_parts", head.snapshot_parts},
                             {"mark", head.write_id}});
}

std::optional<ConfigHead> DecodeHead(std::string_view text) {
  json value;
  CodecFault fault;
  if (!details::ParseObject(text, kMaxHeadBytes, &value, &fault)) {
    return std::nullopt;
  }
  ConfigHead head;
  std::int64_t revision = 0;
  std::int64_t snapshot = 0;
  std::int64_t parts = 0;
  details::JsonReader reader(value, "", &fault);
  reader.Integer("revision", 0, INT64_MAX, &revision);
  reader.OptionalText("digest", kMaxDigestBytes, &head.digest);
  reader.Integer("snapshot", 0, revision, &snapshot);
  reader.Integer("snapshot_parts", 0, kMaxSnapshotParts, &parts);
  reader.OptionalText("mark", kMaxWriteIdBytes, &head.write_id);
  if (!reader.Done()) {
    return std::nullopt;
  }
  head.revision = base::Revision(revision);
  head.snapshot = base::Revision(snapshot);
  head.snapshot_parts = static_cast<int>(parts);
  return head;
}

ChainedDelta MakeChainedDelta(const ConfigDelta& delta,
                              const std::string& previous_digest) {
  ChainedDelta chained{EncodeDelta(delta), previous_digest, {}};
  chained.digest = ChainDigest(previous_digest, chained.text);
  return chained;
}

std::string EncodeChainedDelta(const ChainedDelta& delta) {
  return details::Canonical({{"delta", delta.text},
                             {"previous", delta.previous_digest},
                             {"digest", delta.digest}});
}

std::optional<ChainedDelta> DecodeChainedDelta(std::string_view text) {
  json value;
  CodecFault fault;
  if (!details::ParseObject(text, kMaxChainedBytes, &value, &fault)) {
    return std::nullopt;
  }
  ChainedDelta chained;
  details::JsonReader reader(value, "", &fault);
  reader.OptionalText("delta", kMaxDeltaBytes, &chained.text);
  reader.OptionalText("previous", kMaxDigestBytes, &chained.previous_digest);
  reader.OptionalText("digest", kMaxDigestBytes, &chained.digest);
  const bool valid =
      reader.Done() &&
      chained.digest == ChainDigest(chained.previous_digest, chained.text);
  if (!valid) {
    return std::nullopt;
  }
  return chained;
}

std::string EncodeSnapshot(const ConfigSnapshot& snapshot) {
  return details::Canonical(
      {{"configuration", details::ToJson(*snapshot.configuration)},
       {"digest", snapshot.digest}});
}

std::optional<ConfigSnapshot> DecodeSnapshot(std::string_view bytes,
                                             CodecFault* fault) {
  json value;
  if (!details::ParseObject(bytes, kMaxConfigurationBytes, &value, fault)) {
    return std::nullopt;
  }
  ConfigSnapshot snapshot;
  Configuration configuration;
  details::JsonReader reader(value, "", fault);
  const json* inner = reader.Any("configuration");
  reader.OptionalText("digest", kMaxDigestBytes, &snapshot.digest);
  const bool read =
      reader.Done() && inner != nullptr &&
      details::FromJson(*inner, "/configuration", &configuration, fault) &&
      CheckConfiguration(configuration, fault);
  if (!read) {
    return std::nullopt;
  }
  snapshot.configuration =
      std::make_shared<const Configuration>(std::move(configuration));
  return snapshot;
}

}  // namespace lynxglade::version
