#include "version/config_gossip.h"

#include <algorithm>
#include <utility>

#include "version/details/json_reader.h"

namespace lynxglade::version {
namespace {

using details::json;
using details::JsonReader;
using process::ViewItem;
using process::ViewKind;

constexpr std::string_view kHeadKey = "head";
constexpr std::string_view kSnapshotPrefix = "whole/";
// Bounds the memory that a peer can make this instance use.
constexpr std::size_t kMaxParts = kMaxConfigurationBytes / kPublishedPartBytes;
constexpr std::size_t kMaxBodyBytes = 4 * kPublishedPartBytes;
// Refreshes this instance's revision fact before it expires.
constexpr base::Duration kRepublishInterval = std::chrono::minutes(5);
// Minimum interval between revision facts of an instance, per known member; it
// limits all instances together to five facts per second.
constexpr base::Duration kPublishIntervalPerMember =
    std::chrono::milliseconds(200);

std::string HeadBody(base::Revision revision, const std::string& digest) {
  return details::Canonical(
      {{"revision", revision.value()}, {"digest", digest}});
}

process::ViewVersion VersionOf(base::Revision revision) {
  return {static_cast<std::uint64_t>(revision.value()), 0};
}

std::optional<ConfigHead> ReadHeadBody(const std::string& body) {
  json value;
  CodecFault fault;
  if (!details::ParseObject(body, kMaxBodyBytes, &value, &fault)) {
    return std::nullopt;
  }
  JsonReader reader(value, "", &fault);
  std::int64_t revision = 0;
  ConfigHead head;
  reader.Integer("revision", 0, INT64_MAX, &revision);
  reader.OptionalText("digest", kMaxIdBytes, &head.digest);
  head.revision = base::Revision(revision);
  if (!reader.Done()) {
    return std::nullopt;
  }
  return head;
}

}  // namespace

ConfigGossip::ConfigGossip(base::InstanceId instance,
                           ConfigTracker& tracker,
                           ConfigGossipHooks hooks,
                           base::Metrics& metrics)
    : instance_(std::move(instance)),
      tracker_(tracker),
      hooks_(std::move(hooks)),
      metrics_(metrics) {}

void ConfigGossip::Publish(ViewKind kind,
                           std::string key,
                           process::ViewVersion version,
                           std::string body) {
  ViewItem item;
  item.kind = kind;
  item.key = std::move(key);
  item.version = version;
  item.body = std::move(body);
  hooks_.publish(std::move(item));
}

void ConfigGossip::PublishDelta(base::Revision revision,
                                const ChainedDelta& delta) {
  std::string body = EncodeChainedDelta(delta);
  if (body.size() <= kPublishedDeltaBytes) {
    Publish(ViewKind::kConfigDelta,
            std::to_string(revision.value() % kPublishedDeltas),
            VersionOf(revision), std::move(body));
    Publish(ViewKind::kConfigHead, std::string(kHeadKey), VersionOf(revision),
            HeadBody(revision, delta.digest));
    return;
  }
  // Too large for one fact: publish a snapshot instead.
  metrics_.GetCounter("lynxglade_config_large_deltas_total").Add();
  PublishSnapshot(tracker_.GetSnapshot());
}

void ConfigGossip::PublishSnapshot(const ConfigSnapshot& snapshot) {
  const std::string bytes = EncodeSnapshot(snapshot);
  const std::size_t count =
      (bytes.size() + kPublishedPartBytes - 1) / kPublishedPartBytes;
  for (std::size_t i = 0; i < count; ++i) {
    Publish(ViewKind::kConfigHead,
            std::string(kSnapshotPrefix) + std::to_string(i),
            VersionOf(snapshot.revision()),
            details::Canonical({{"count", count},
                                {"index", i},
                                {"text", bytes.substr(i * kPublishedPartBytes,
                                                      kPublishedPartBytes)}}));
  }
  Publish(ViewKind::kConfigHead, std::string(kHeadKey),
          VersionOf(snapshot.revision()),
          HeadBody(snapshot.revision(), snapshot.digest));
}

void ConfigGossip::HandleFact(const ViewItem& item) {
  if (item.kind == ViewKind::kConfigDelta) {
    if (const auto delta = DecodeChainedDelta(item.body)) {
      tracker_.OfferDelta(*delta, ConfigSource::kPeer);
    }
  } else if (item.key == kHeadKey) {
    if (const auto head = ReadHeadBody(item.body)) {
      tracker_.OfferHead(*head, ConfigSource::kPeer);
    }
  } else if (item.key.starts_with(kSnapshotPrefix)) {
    HandleSnapshotPart(item);
  }
}

void ConfigGossip::HandleSnapshotPart(const ViewItem& item) {
  const base::Revision revision(static_cast<std::int64_t>(item.version.epoch));
  if (revision <= tracker_.Get()->revision) {
    return;
  }
  json value;
  CodecFault fault;
  if (!details::ParseObject(item.body, kMaxBodyBytes, &value, &fault)) {
    return;
  }
  JsonReader reader(value, "", &fault);
  std::int64_t count = 0;
  std::int64_t index = 0;
  std::string text;
  reader.Integer("count", 1, static_cast<std::int64_t>(kMaxParts), &count);
  reader.Integer("index", 0, count - 1, &index);
  reader.OptionalText("text", kPublishedPartBytes, &text);
  if (!reader.Done()) {
    return;
  }
  const auto bytes = AddPart(revision, static_cast<std::size_t>(index),
                             static_cast<std::size_t>(count), std::move(text));
  if (bytes) {
    tracker_.OfferEncodedSnapshot(*bytes, ConfigSource::kPeer);
  }
}

std::optional<std::string> ConfigGossip::AddPart(base::Revision revision,
                                                 std::size_t index,
                                                 std::size_t count,
                                                 std::string text) {
  const std::scoped_lock lock(mutex_);
  if (revision < assembly_.revision) {
    return std::nullopt;
  }
  if (revision > assembly_.revision || count != assembly_.count) {
    assembly_ = {revision, count, {}};
  }
  assembly_.parts.insert_or_assign(index, std::move(text));
  if (assembly_.parts.size() < count) {
    return std::nullopt;
  }
  std::string bytes;
  for (const auto& [i, part] : assembly_.parts) {
    bytes += part;
  }
  assembly_.parts.clear();
  return bytes;
}

void ConfigGossip::Tick() {
  const ConfigSnapshot current = tracker_.GetSnapshot();
  const base::Time now = hooks_.clock();
  const auto members = static_cast<std::int64_t>(hooks_.member_count());
  {
    const std::scoped_lock lock(mutex_);
    const base::Duration since = now - published_at_;
    const bool first =
        published_revision_.value() == 0 && current.revision().value() > 0;
    const bool changed = current.revision() > published_revision_ &&
                         since >= kPublishIntervalPerMember * members;
    const bool refresh =
        published_revision_.value() > 0 && since >= kRepublishInterval;
    if (!first && !changed && !refresh) {
      return;
    }
    published_revision_ = current.revision();
    published_at_ = now;
  }
  process::ViewVersion version = VersionOf(current.revision());
  version.sequence =
      static_cast<std::uint64_t>(base::ToMillis(now.time_since_epoch()));
  Publish(ViewKind::kConfigInForce, instance_.str(), version,
          HeadBody(current.revision(), current.digest));
}

std::optional<InstanceRevision> ConfigGossip::DecodeInstanceRevision(
    const ViewItem& item) {
  const std::optional<ConfigHead> head = ReadHeadBody(item.body);
  if (!head) {
    return std::nullopt;
  }
  return InstanceRevision{base::InstanceId(item.key), head->revision,
                          head->digest, item.as_of};
}

}  // namespace lynxglade::version
