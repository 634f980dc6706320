#include "process/peer_messages.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <nlohmann/json.hpp>

#include "connection/bounded_cbor.h"

namespace lynxglade::process {

namespace {

using Json = nlohmann::json;

// Message type numbers on the wire; must never be reused.
enum class Type : std::uint64_t {
  kHello = 1,
  kHeartbeat = 2,
  kViewBatch = 3,
  kDigest = 4,
  kSummary = 5,
  kFetch = 6,
  kCloseLink = 7,
};

constexpr std::uint64_t kMaxPort = 65535;
// About 34 years; larger ages would overflow a duration in nanoseconds.
constexpr std::uint64_t kMaxAgeMillis = 1ull << 40;

Json Head(Type type) {
  return Json::array({static_cast<std::uint64_t>(type)});
}

Json EncodeItem(const ViewItem& item, base::Time now) {
  const auto age = std::max(now - item.as_of, base::Duration::zero());
  const auto age_ms = static_cast<std::uint64_t>(base::ToMillis(age));
  return Json::array({static_cast<std::uint64_t>(item.kind), item.key,
                      item.version.epoch, item.version.sequence,
                      item.source.str(), std::min(age_ms, kMaxAgeMillis),
                      item.body});
}

Json Encode(const HelloMessage& m, base::Time /*now*/) {
  Json out = Head(Type::kHello);
  out.push_back(m.protocol);
  out.push_back(m.instance.str());
  out.push_back(m.zone.str());
  out.push_back(m.address);
  out.push_back(static_cast<std::uint64_t>(m.port));
  return out;
}

Json Encode(const HeartbeatMessage& m, base::Time /*now*/) {
  Json out = Head(Type::kHeartbeat);
  out.push_back(m.sequence);
  out.push_back(m.echo);
  return out;
}

Json Encode(const ViewBatchMessage& m, base::Time now) {
  Json out = Head(Type::kViewBatch);
  std::ranges::for_each(m.items, [&](const ViewItem& item) {
    out.push_back(EncodeItem(item, now));
  });
  return out;
}

Json Encode(const DigestMessage& m, base::Time /*now*/) {
  Json out = Head(Type::kDigest);
  std::ranges::for_each(m.buckets,
                        [&](std::uint64_t hash) { out.push_back(hash); });
  return out;
}

Json Encode(const SummaryMessage& m, base::Time /*now*/) {
  Json out = Head(Type::kSummary);
  for (const SummaryBucket& bucket : m.buckets) {
    Json fields = Json::array({bucket.bucket});
    for (const SummaryEntry& entry : bucket.entries) {
      fields.push_back(entry.key_hash);
      fields.push_back(entry.version.epoch);
      fields.push_back(entry.version.sequence);
      fields.push_back(entry.body_hash);
    }
    out.push_back(std::move(fields));
  }
  return out;
}

Json Encode(const FetchMessage& m, base::Time /*now*/) {
  Json out = Head(Type::kFetch);
  std::ranges::for_each(m.key_hashes,
                        [&](std::uint64_t hash) { out.push_back(hash); });
  return out;
}

Json Encode(const CloseLinkMessage& /*m*/, base::Time /*now*/) {
  return Head(Type::kCloseLink);
}

// Reads the fields of one array in order. After the first invalid field every
// read returns a default value and Done() returns false.
class FieldReader {
 public:
  FieldReader(const Json& fields, std::size_t first)
      : fields_(fields), next_(first), ok_(fields.is_array()) {}

  std::uint64_t Unsigned(std::uint64_t max = ~std::uint64_t{0}) {
    const Json* field = Next();
    if (field == nullptr || !field->is_number_unsigned()) {
      ok_ = false;
      return 0;
    }
    const auto n = field->get<std::uint64_t>();
    ok_ = ok_ && n <= max;
    return n;
  }

  std::string Text(std::size_t max_bytes) {
    const Json* field = Next();
    if (field == nullptr || !field->is_string()) {
      ok_ = false;
      return {};
    }
    const auto& text = field->get_ref<const std::string&>();
    ok_ = ok_ && text.size() <= max_bytes;
    return ok_ ? text : std::string();
  }

  const Json* Next() {
    if (!ok_ || next_ >= fields_.size()) {
      ok_ = false;
      return nullptr;
    }
    return &fields_[next_++];
  }

  bool more() const { return ok_ && next_ < fields_.size(); }
  // Whether all fields were read and valid.
  bool Done() const { return ok_ && next_ == fields_.size(); }

 private:
  const Json& fields_;
  std::size_t next_;
  bool ok_;
};

std::optional<ViewItem> DecodeItem(const Json& fields, base::Time now) {
  FieldReader reader(fields, 0);
  ViewItem item;
  const auto kind =
      reader.Unsigned(static_cast<std::uint64_t>(ViewKind::kListed));
  item.kind = static_cast<ViewKind>(kind);
  item.key = reader.Text(kMaxViewKeyBytes);
  item.version.epoch = reader.Unsigned();
  item.version.sequence = reader.Unsigned();
  item.source = base::InstanceId(reader.Text(kMaxPeerIdBytes));
  item.as_of = now - std::chrono::milliseconds(reader.Unsigned(kMaxAgeMillis));
  item.body = reader.Text(kMaxViewBodyBytes);
  if (!reader.Done() || kind == 0) {
    return std::nullopt;
  }
  return item;
}

std::optional<PeerMessage> DecodeHello(FieldReader reader) {
  HelloMessage m;
  m.protocol = reader.Unsigned();
  m.instance = base::InstanceId(reader.Text(kMaxPeerIdBytes));
  m.zone = base::ZoneId(reader.Text(kMaxPeerIdBytes));
  m.address = reader.Text(kMaxPeerIdBytes);
  m.port = static_cast<int>(reader.Unsigned(kMaxPort));
  if (!reader.Done() || m.instance.empty() || m.zone.empty()) {
    return std::nullopt;
  }
  return m;
}

std::optional<PeerMessage> DecodeHeartbeat(FieldReader reader) {
  HeartbeatMessage m;
  m.sequence = reader.Unsigned();
  m.echo = reader.Unsigned();
  return reader.Done() ? std::optional<PeerMessage>(m) : std::nullopt;
}

std::optional<PeerMessage> DecodeViewBatch(FieldReader reader, base::Time now) {
  ViewBatchMessage m;
  while (reader.more()) {
    auto item = DecodeItem(*reader.Next(), now);
    if (!item) {
      return std::nullopt;
    }
    m.items.push_back(std::move(*item));
  }
  return m;
}

std::optional<std::vector<std::uint64_t>> DecodeHashes(FieldReader reader) {
  std::vector<std::uint64_t> hashes;
  while (reader.more()) {
    hashes.push_back(reader.Unsigned());
  }
  return reader.Done() ? std::optional(std::move(hashes)) : std::nullopt;
}

std::optional<SummaryBucket> DecodeSummaryBucket(const Json& fields) {
  FieldReader reader(fields, 0);
  SummaryBucket bucket;
  bucket.bucket = reader.Unsigned();
  while (reader.more()) {
    SummaryEntry entry;
    entry.key_hash = reader.Unsigned();
    entry.version.epoch = reader.Unsigned();
    entry.version.sequence = reader.Unsigned();
    entry.body_hash = reader.Unsigned();
    bucket.entries.push_back(entry);
  }
  return reader.Done() ? std::optional(std::move(bucket)) : std::nullopt;
}

std::optional<PeerMessage> DecodeSummary(FieldReader reader) {
  SummaryMessage m;
  while (reader.more()) {
    auto bucket = DecodeSummaryBucket(*reader.Next());
    if (!bucket) {
      return std::nullopt;
    }
    m.buckets.push_back(std::move(*bucket));
  }
  return m;
}

std::optional<PeerMessage> DecodeBody(Type type,
                                      const Json& fields,
                                      base::Time now) {
  const FieldReader reader(fields, 1);
  switch (type) {
    case Type::kHello:
      return DecodeHello(reader);
    case Type::kHeartbeat:
      return DecodeHeartbeat(reader);
    case Type::kViewBatch:
      return DecodeViewBatch(reader, now);
    case Type::kDigest:
      if (auto hashes = DecodeHashes(reader)) {
        return DigestMessage{std::move(*hashes)};
      }
      return std::nullopt;
    case Type::kSummary:
      return DecodeSummary(reader);
    case Type::kFetch:
      if (auto hashes = DecodeHashes(reader)) {
        return FetchMessage{std::move(*hashes)};
      }
      return std::nullopt;
    case Type::kCloseLink:
      return reader.Done() ? std::optional<PeerMessage>(CloseLinkMessage{})
                           : std::nullopt;
  }
  return std::nullopt;
}

}  // namespace

std::string_view ToString(PeerMessageError error) noexcept {
  switch (error) {
    case PeerMessageError::kNone:
      return "none";
    case PeerMessageError::kBadEncoding:
      return "bad_encoding";
    case PeerMessageError::kUnknownType:
      return "unknown_type";
    case PeerMessageError::kBadField:
      break;
  }
  return "bad_field";
}

std::string EncodePeerMessage(const PeerMessage& message, base::Time now) {
  return connection::EncodeCbor(
      std::visit([&](const auto& m) { return Encode(m, now); }, message));
}

std::optional<PeerMessage> DecodePeerMessage(std::string_view bytes,
                                             base::Time now,
                                             PeerMessageError* error) {
  *error = PeerMessageError::kNone;
  connection::CborError cbor_error = connection::CborError::kNone;
  const auto value = connection::DecodeCbor(bytes, {}, &cbor_error);
  if (!value) {
    *error = PeerMessageError::kBadEncoding;
    return std::nullopt;
  }
  FieldReader reader(*value, 0);
  const std::uint64_t type = reader.Unsigned();
  if (type < static_cast<std::uint64_t>(Type::kHello) ||
      type > static_cast<std::uint64_t>(Type::kCloseLink)) {
    *error = PeerMessageError::kUnknownType;
    return std::nullopt;
  }
  auto message = DecodeBody(static_cast<Type>(type), *value, now);
  if (!message) {
    *error = PeerMessageError::kBadField;
  }
  return message;
}

}  // namespace lynxglade::process
