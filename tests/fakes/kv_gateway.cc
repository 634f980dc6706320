#include "fakes/kv_gateway.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <iterator>
#include <optional>
#include <utility>

#include "connection/base64.h"

namespace lynxglade::fakes {

namespace {

using base::Revision;
using connection::Base64Decode;
using connection::Base64Encode;
using connection::KvAnswer;
using connection::KvLeaseId;
using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kGrpcInvalid = 3;
constexpr int kGrpcNotFound = 5;
constexpr std::size_t kMaxValueBytes = 1u << 20;

// 64-bit numbers are encoded as strings; small ones may be JSON numbers.
std::int64_t Number(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end()) {
    return 0;
  }
  if (it->is_number_integer()) {
    return it->get<std::int64_t>();
  }
  std::int64_t n = 0;
  if (it->is_string()) {
    const auto& text = it->get_ref<const std::string&>();
    std::from_chars(text.data(), text.data() + text.size(), n);
  }
  return n;
}

std::string Bytes(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_string()) {
    return "";
  }
  return Base64Decode(it->get_ref<const std::string&>()).value_or("");
}

std::string Text(const json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

const json& Member(const json& object, const char* name) {
  static const json empty = json::object();
  const auto it = object.find(name);
  return it == object.end() ? empty : *it;
}

json Header(Revision revision) {
  return {{"cluster_id", "1"},
          {"member_id", "1"},
          {"revision", std::to_string(revision.value())},
          {"raft_term", "1"}};
}

// Omits zero members, as the gateway does.
json RecordJson(const KvRecord& record) {
  const connection::KvEntry& entry = record.entry;
  json kv = {{"key", Base64Encode(entry.key)},
             {"mod_revision", std::to_string(entry.mod_revision.value())}};
  if (entry.create_revision.value() != 0) {
    kv["create_revision"] = std::to_string(entry.create_revision.value());
    kv["version"] = std::to_string(record.version);
  }
  if (!entry.value.empty()) {
    kv["value"] = Base64Encode(entry.value);
  }
  if (entry.lease.value() != 0) {
    kv["lease"] = std::to_string(entry.lease.value());
  }
  return kv;
}

KvSpan SpanOf(const json& body) {
  return {Bytes(body, "key"), Bytes(body, "range_end")};
}

json RangeJson(const json& body, const KvStore& store) {
  std::int64_t count = 0;
  const std::int64_t limit = Number(body, "limit");
  const std::vector<KvRecord> found = store.Range(SpanOf(body), limit, &count);
  json answer = json::object();
  if (!found.empty()) {
    json kvs = json::array();
    std::ranges::transform(found, std::back_inserter(kvs), RecordJson);
    answer["kvs"] = std::move(kvs);
  }
  if (count > 0) {
    answer["count"] = std::to_string(count);
  }
  if (count > static_cast<std::int64_t>(found.size())) {
    answer["more"] = true;
  }
  return answer;
}

// Returns a positive, zero or negative value for a > b, a == b or a < b.
int Order(std::int64_t a, std::int64_t b) {
  return a < b ? -1 : static_cast<int>(a > b);
}

int CompareTarget(const json& compare, const KvRecord& record) {
  const std::string target = Text(compare, "target");
  const connection::KvEntry& entry = record.entry;
  if (target == "CREATE") {
    return Order(entry.create_revision.value(),
                 Number(compare, "create_revision"));
  }
  if (target == "MOD") {
    return Order(entry.mod_revision.value(), Number(compare, "mod_revision"));
  }
  if (target == "LEASE") {
    return Order(entry.lease.value(), Number(compare, "lease"));
  }
  if (target == "VALUE") {
    return entry.value.compare(Bytes(compare, "value"));
  }
  return Order(record.version, Number(compare, "version"));
}

bool Holds(const json& compare, const KvStore& store) {
  const KvRecord record = store.Get(Bytes(compare, "key"));
  // The value of a missing key never compares equal.
  if (Text(compare, "target") == "VALUE" && record.version == 0) {
    return false;
  }
  const int order = CompareTarget(compare, record);
  const std::string result = Text(compare, "result");
  if (result == "GREATER") {
    return order > 0;
  }
  if (result == "LESS") {
    return order < 0;
  }
  return result == "NOT_EQUAL" ? order != 0 : order == 0;
}

// A put with an expired lease fails the whole transaction, so this is checked
// before any write.
bool LeasesExist(const json& operations, KvStore& store) {
  return std::ranges::all_of(operations, [&](const json& operation) {
    const KvLeaseId lease(Number(Member(operation, "request_put"), "lease"));
    return lease.value() == 0 || store.HasLease(lease);
  });
}

bool ValuesFit(const json& operations) {
  return std::ranges::all_of(operations, [](const json& operation) {
    return Bytes(Member(operation, "request_put"), "value").size() <=
           kMaxValueBytes;
  });
}

json RunOperation(const json& operation, KvStore& store) {
  if (const auto it = operation.find("request_put"); it != operation.end()) {
    store.Put(Bytes(*it, "key"), Bytes(*it, "value"),
              KvLeaseId(Number(*it, "lease")));
    return {{"response_put", json::object()}};
  }
  if (const auto it = operation.find("request_delete_range");
      it != operation.end()) {
    return {{"response_delete_range",
             {{"deleted", std::to_string(store.Delete(SpanOf(*it)))}}}};
  }
  return {
      {"response_range", RangeJson(Member(operation, "request_range"), store)}};
}

KvAnswer Ok(json body, Revision revision) {
  body["header"] = Header(revision);
  return {kOk, body.dump()};
}

KvAnswer RunTxn(const json& body, KvStore& store) {
  const bool succeeded = std::ranges::all_of(
      Member(body, "compare"),
      [&](const json& compare) { return Holds(compare, store); });
  const json& operations = Member(body, succeeded ? "success" : "failure");
  if (!ValuesFit(operations)) {
    return KvErrorAnswer(kBadRequest, kGrpcInvalid, "request is too large");
  }
  if (!LeasesExist(operations, store)) {
    return KvErrorAnswer(kNotFound, kGrpcNotFound, "requested lease not found");
  }
  json responses = json::array();
  store.Begin();
  std::ranges::transform(
      operations, std::back_inserter(responses),
      [&](const json& operation) { return RunOperation(operation, store); });
  store.Commit();
  json answer = {{"responses", std::move(responses)}};
  if (succeeded) {
    answer["succeeded"] = true;
  }
  return Ok(std::move(answer), store.revision());
}

// Runs a single put or delete as a transaction of one operation.
KvAnswer RunSingle(const char* operation, const json& body, KvStore& store) {
  return RunTxn({{"success", json::array({{{operation, body}}})}}, store);
}

KvAnswer RunGrant(const json& body, base::Time now, KvStore& store) {
  const std::int64_t ttl = Number(body, "TTL");
  if (ttl <= 0) {
    return KvErrorAnswer(kBadRequest, kGrpcInvalid, "TTL must be above 0");
  }
  const KvLeaseId id = store.Grant(KvLeaseId(Number(body, "ID")),
                                   std::chrono::seconds(ttl), now);
  return Ok({{"ID", std::to_string(id.value())}, {"TTL", std::to_string(ttl)}},
            store.revision());
}

KvAnswer RunKeepAlive(const json& body, base::Time now, KvStore& store) {
  const KvLeaseId id(Number(body, "ID"));
  const auto ttl =
      std::chrono::duration_cast<std::chrono::seconds>(store.KeepAlive(id, now))
          .count();
  json result = {{"header", Header(store.revision())},
                 {"ID", std::to_string(id.value())}};
  if (ttl > 0) {
    result["TTL"] = std::to_string(ttl);
  }
  return {kOk, json({{"result", std::move(result)}}).dump()};
}

KvAnswer RunRevoke(const json& body, KvStore& store) {
  if (!store.Revoke(KvLeaseId(Number(body, "ID")))) {
    return KvErrorAnswer(kNotFound, kGrpcNotFound, "requested lease not found");
  }
  return Ok(json::object(), store.revision());
}

std::string Line(json result, Revision revision) {
  result["header"] = Header(revision);
  return json({{"result", std::move(result)}}).dump() + "\n";
}

bool Writes(const json& operations) {
  return std::ranges::any_of(operations, [](const json& operation) {
    return !operation.contains("request_range");
  });
}

}  // namespace

KvCallKind KindOf(std::string_view path, const json& body) {
  if (path == "/v3/kv/txn") {
    return Writes(Member(body, "success")) || Writes(Member(body, "failure"))
               ? KvCallKind::kWrite
               : KvCallKind::kRead;
  }
  if (path == "/v3/kv/range" || path == "/v3/lease/keepalive" ||
      path == "/v3/watch") {
    return KvCallKind::kRead;
  }
  if (path == "/v3/kv/put" || path == "/v3/kv/deleterange" ||
      path == "/v3/lease/grant" || path == "/v3/lease/revoke") {
    return KvCallKind::kWrite;
  }
  return KvCallKind::kUnknown;
}

KvAnswer RunKvCall(std::string_view path,
                   const json& body,
                   base::Time now,
                   KvStore& store) {
  if (path == "/v3/kv/range") {
    return Ok(RangeJson(body, store), store.revision());
  }
  if (path == "/v3/kv/txn") {
    return RunTxn(body, store);
  }
  if (path == "/v3/kv/put") {
    return RunSingle("request_put", body, store);
  }
  if (path == "/v3/kv/deleterange") {
    return RunSingle("request_delete_range", body, store);
  }
  if (path == "/v3/lease/grant") {
    return RunGrant(body, now, store);
  }
  if (path == "/v3/lease/keepalive") {
    return RunKeepAlive(body, now, store);
  }
  if (path == "/v3/lease/revoke") {
    return RunRevoke(body, store);
  }
  return KvErrorAnswer(kNotFound, kGrpcNotFound, "Not Found");
}

KvAnswer KvErrorAnswer(int status, int grpc_code, const std::string& message) {
  return {status,
          json({{"error", message}, {"message", message}, {"code", grpc_code}})
              .dump()};
}

KvWatchRequest ParseWatch(const json& body) {
  const json& create = Member(body, "create_request");
  return {SpanOf(create), Revision(Number(create, "start_revision")),
          create.value("progress_notify", false)};
}

std::string WatchCreatedLine(Revision revision) {
  return Line({{"created", true}}, revision);
}

std::string WatchProgressLine(Revision revision) {
  return Line(json::object(), revision);
}

std::string WatchCompactedLine(Revision revision, Revision oldest) {
  return Line({{"canceled", true},
               {"compact_revision", std::to_string(oldest.value())}},
              revision);
}

std::string WatchEventsLine(Revision revision, json events) {
  return Line({{"events", std::move(events)}}, revision);
}

json WatchEvent(const KvChange& change) {
  json event = {{"kv", RecordJson(change.record)}};
  if (change.deleted) {
    event["type"] = "DELETE";
  }
  return event;
}

}  // namespace lynxglade::fakes
