#include "connection/key_value.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/bounded_json.h"
#include "connection/base64.h"
#include "connection/http_limits.h"

namespace lynxglade::connection {
namespace {

using nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpServerError = 500;
// gRPC status NOT_FOUND: the lease does not exist.
constexpr int kGrpcNotFound = 5;

// Whether a call writes, which decides if a lost answer is ambiguous.
enum class Effect { kReads, kWrites };

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<json> Parse(std::string_view text) {
  json value = base::ParseJsonWithoutDeepValues(text).value_or(json());
  if (!value.is_object()) {
    return std::nullopt;
  }
  return value;
}

// The gateway omits members that are zero and encodes 64-bit numbers as
// strings.
std::int64_t Number(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end()) {
    return 0;
  }
  if (it->is_number_integer()) {
    return it->get<std::int64_t>();
  }
  if (!it->is_string()) {
    return 0;
  }
  const auto& text = it->get_ref<const std::string&>();
  std::int64_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

bool IsTrue(const json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_boolean() && it->get<bool>();
}

const json& Member(const json& object, const char* name) {
  static const json empty = json::object();
  const auto it = object.find(name);
  return it == object.end() ? empty : *it;
}

std::optional<std::string> BytesOf(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end()) {
    return std::string();
  }
  if (!it->is_string()) {
    return std::nullopt;
  }
  return Base64Decode(it->get_ref<const std::string&>());
}

std::optional<KvEntry> ReadEntry(const json& kv) {
  if (!kv.is_object()) {
    return std::nullopt;
  }
  std::optional<std::string> key = BytesOf(kv, "key");
  std::optional<std::string> value = BytesOf(kv, "value");
  if (!key || !value) {
    return std::nullopt;
  }
  return KvEntry{std::move(*key), std::move(*value),
                 base::Revision(Number(kv, "create_revision")),
                 base::Revision(Number(kv, "mod_revision")),
                 KvLeaseId(Number(kv, "lease"))};
}

bool ReadEntries(const json& range, std::vector<KvEntry>* entries) {
  const json& kvs = Member(range, "kvs");
  return std::ranges::all_of(kvs, [&](const json& kv) {
    std::optional<KvEntry> entry = ReadEntry(kv);
    if (!entry) {
      return false;
    }
    entries->push_back(std::move(*entry));
    return true;
  });
}

base::Revision HeaderRevision(const json& answer) {
  return base::Revision(Number(Member(answer, "header"), "revision"));
}

// The smallest key greater than all keys that start with `prefix`, or a zero
// byte, which etcd takes as an open range.
std::string PrefixEnd(std::string prefix) {
  while (!prefix.empty()) {
    const auto last = static_cast<unsigned char>(prefix.back());
    if (last < 0xff) {
      prefix.back() = static_cast<char>(last + 1);
      return prefix;
    }
    prefix.pop_back();
  }
  return std::string(1, '\0');
}

json CompareOf(const KvGuard& guard) {
  json compare = {{"result", "EQUAL"}, {"key", Base64Encode(guard.key)}};
  if (guard.mod_revision.value() == 0) {
    compare["target"] = "CREATE";
    compare["create_revision"] = "0";
  } else {
    compare["target"] = "MOD";
    compare["mod_revision"] = std::to_string(guard.mod_revision.value());
  }
  return compare;
}

json RequestOf(const KvWrite& write) {
  if (!write.value) {
    return {{"request_delete_range", {{"key", Base64Encode(write.key)}}}};
  }
  json put = {{"key", Base64Encode(write.key)},
              {"value", Base64Encode(*write.value)}};
  if (write.lease.value() != 0) {
    put["lease"] = std::to_string(write.lease.value());
  }
  return {{"request_put", std::move(put)}};
}

json TxnBody(const std::vector<KvGuard>& guards,
             const std::vector<KvWrite>& writes) {
  json compares = json::array();
  json success = json::array();
  json failure = json::array();
  std::ranges::transform(guards, std::back_inserter(compares), CompareOf);
  std::ranges::transform(writes, std::back_inserter(success), RequestOf);
  std::ranges::transform(
      guards, std::back_inserter(failure), [](const KvGuard& guard) {
        return json{{"request_range", {{"key", Base64Encode(guard.key)}}}};
      });
  return {{"compare", std::move(compares)},
          {"success", std::move(success)},
          {"failure", std::move(failure)}};
}

// Maps an HTTP status to an error. A write may have taken effect despite a
// server error.
KvError ErrorOfStatus(int status, Effect effect) {
  if (status == kHttpTooManyRequests) {
    return KvError::kRateLimited;
  }
  if (status >= kHttpServerError) {
    return effect == Effect::kWrites ? KvError::kAmbiguous
                                     : KvError::kUnreachable;
  }
  return KvError::kBadAnswer;
}

// A read whose answer was lost has changed nothing.
KvError ErrorOfLostAnswer(KvError error, Effect effect) {
  return error == KvError::kAmbiguous && effect == Effect::kReads
             ? KvError::kUnreachable
             : error;
}

// If the answer cannot be parsed, a write may have taken effect.
KvError ErrorOfInvalidAnswer(Effect effect) {
  return effect == Effect::kWrites ? KvError::kAmbiguous : KvError::kBadAnswer;
}

std::optional<json> CallJson(const KvTransport& transport,
                             const std::string& path,
                             const json& body,
                             base::Duration timeout,
                             Effect effect,
                             KvError* last_error) {
  KvError lost = KvError::kUnreachable;
  const std::optional<KvAnswer> answer =
      transport({path, Dump(body), timeout, nullptr, {}}, &lost);
  if (!answer) {
    *last_error = ErrorOfLostAnswer(lost, effect);
    return std::nullopt;
  }
  if (answer->status != kHttpOk) {
    *last_error = ErrorOfStatus(answer->status, effect);
    return std::nullopt;
  }
  std::optional<json> value = Parse(answer->body);
  *last_error = value ? KvError::kNone : ErrorOfInvalidAnswer(effect);
  return value;
}

std::optional<KvRange> CallRange(const KvTransport& transport,
                                 const json& body,
                                 base::Duration timeout,
                                 KvError* last_error) {
  const std::optional<json> answer = CallJson(
      transport, "/v3/kv/range", body, timeout, Effect::kReads, last_error);
  if (!answer) {
    return std::nullopt;
  }
  KvRange range;
  range.revision = HeaderRevision(*answer);
  if (!ReadEntries(*answer, &range.entries)) {
    *last_error = KvError::kBadAnswer;
    return std::nullopt;
  }
  return range;
}

// Splits a watch's streamed answer into lines of JSON and passes on the events.
class WatchReader {
 public:
  using OnEvents =
      std::function<bool(const std::vector<KvEvent>&, base::Revision)>;

  explicit WatchReader(const OnEvents& on_events) : on_events_(on_events) {}

  // Returns false to end the stream.
  bool Take(std::string_view chunk) {
    buf_.append(chunk);
    std::size_t begin = 0;
    std::size_t end = buf_.find('\n');
    while (end != std::string::npos) {
      if (!TakeLine(std::string_view(buf_).substr(begin, end - begin))) {
        return false;
      }
      begin = end + 1;
      end = buf_.find('\n', begin);
    }
    buf_.erase(0, begin);
    if (buf_.size() > kMaxPlatformBodyBytes) {
      error_ = KvError::kBadAnswer;
      return false;
    }
    return true;
  }

  bool ended_by_receiver() const noexcept { return ended_by_receiver_; }
  KvError error() const noexcept { return error_; }

 private:
  bool TakeLine(std::string_view line) {
    if (line.find_first_not_of(" \r\t") == std::string_view::npos) {
      return true;
    }
    const std::optional<json> value = Parse(line);
    if (!value || !value->contains("result")) {
      error_ = KvError::kBadAnswer;
      return false;
    }
    const json& result = Member(*value, "result");
    // Sent if the start revision of the watch has been compacted.
    if (IsTrue(result, "canceled")) {
      error_ = KvError::kBadAnswer;
      return false;
    }
    return HandOver(result);
  }

  bool HandOver(const json& result) {
    std::vector<KvEvent> events;
    for (const json& it : Member(result, "events")) {
      std::optional<KvEntry> entry = ReadEntry(Member(it, "kv"));
      if (!entry) {
        error_ = KvError::kBadAnswer;
        return false;
      }
      events.push_back(
          {std::move(*entry), it.value("type", std::string()) == "DELETE"});
    }
    ended_by_receiver_ = !on_events_(events, HeaderRevision(result));
    return !ended_by_receiver_;
  }

  const OnEvents& on_events_;
  std::string buf_;
  bool ended_by_receiver_ = false;
  KvError error_ = KvError::kNone;
};

}  // namespace

std::string_view ToString(KvError error) noexcept {
  switch (error) {
    case KvError::kNone:
      return "none";
    case KvError::kUnreachable:
      return "unreachable";
    case KvError::kRateLimited:
      return "rate_limited";
    case KvError::kAmbiguous:
      return "ambiguous";
    case KvError::kBadAnswer:
      break;
  }
  return "bad_answer";
}

KeyValue::KeyValue(KvTransport transport, base::Duration timeout)
    : transport_(std::move(transport)), timeout_(timeout) {}

std::optional<KvRange> KeyValue::Get(const std::string& key,
                                     KvError* last_error) const {
  return CallRange(transport_, {{"key", Base64Encode(key)}}, timeout_,
                   last_error);
}

std::optional<KvRange> KeyValue::List(const std::string& prefix,
                                      std::int64_t limit,
                                      KvError* last_error) const {
  json body = {{"key", Base64Encode(prefix)},
               {"range_end", Base64Encode(PrefixEnd(prefix))}};
  if (limit > 0) {
    body["limit"] = std::to_string(limit);
  }
  return CallRange(transport_, body, timeout_, last_error);
}

std::optional<KvTxnResult> KeyValue::Commit(const std::vector<KvGuard>& guards,
                                            const std::vector<KvWrite>& writes,
                                            KvError* last_error) const {
  const std::optional<json> answer =
      CallJson(transport_, "/v3/kv/txn", TxnBody(guards, writes), timeout_,
               Effect::kWrites, last_error);
  if (!answer) {
    return std::nullopt;
  }
  KvTxnResult result;
  result.committed = IsTrue(*answer, "succeeded");
  result.revision = HeaderRevision(*answer);
  if (result.committed) {
    return result;
  }
  const json& responses = Member(*answer, "responses");
  const bool readable = std::ranges::all_of(responses, [&](const json& it) {
    return ReadEntries(Member(it, "response_range"), &result.found);
  });
  if (!readable) {
    *last_error = KvError::kBadAnswer;
    return std::nullopt;
  }
  return result;
}

std::optional<KvLeaseId> KeyValue::GrantLease(base::Duration ttl,
                                              KvError* last_error) const {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(ttl).count();
  const std::optional<json> answer =
      CallJson(transport_, "/v3/lease/grant",
               {{"TTL", std::to_string(seconds)}, {"ID", "0"}}, timeout_,
               Effect::kWrites, last_error);
  if (!answer) {
    return std::nullopt;
  }
  const std::int64_t id = Number(*answer, "ID");
  if (id == 0) {
    *last_error = KvError::kBadAnswer;
    return std::nullopt;
  }
  return KvLeaseId(id);
}

std::optional<base::Duration> KeyValue::KeepAlive(KvLeaseId lease,
                                                  KvError* last_error) const {
  const std::optional<json> answer =
      CallJson(transport_, "/v3/lease/keepalive",
               {{"ID", std::to_string(lease.value())}}, timeout_,
               Effect::kWrites, last_error);
  if (!answer) {
    return std::nullopt;
  }
  return std::chrono::seconds(Number(Member(*answer, "result"), "TTL"));
}

bool KeyValue::RevokeLease(KvLeaseId lease, KvError* last_error) const {
  KvError lost = KvError::kUnreachable;
  const json body = {{"ID", std::to_string(lease.value())}};
  const std::optional<KvAnswer> answer = transport_(
      {"/v3/lease/revoke", Dump(body), timeout_, nullptr, {}}, &lost);
  if (!answer) {
    *last_error = lost;
    return false;
  }
  // A lease that no longer exists counts as revoked.
  const std::optional<json> value = Parse(answer->body);
  const bool gone = value && Number(*value, "code") == kGrpcNotFound;
  *last_error = answer->status == kHttpOk || gone
                    ? KvError::kNone
                    : ErrorOfStatus(answer->status, Effect::kWrites);
  return *last_error == KvError::kNone;
}

KvError KeyValue::Watch(const std::string& prefix,
                        base::Revision from,
                        const std::function<bool(const std::vector<KvEvent>&,
                                                 base::Revision)>& on_events,
                        std::stop_token stop) const {
  const json create = {{"key", Base64Encode(prefix)},
                       {"range_end", Base64Encode(PrefixEnd(prefix))},
                       {"start_revision", std::to_string(from.value())},
                       {"progress_notify", true}};
  WatchReader reader(on_events);
  const auto take = [&](std::string_view chunk) { return reader.Take(chunk); };
  KvError lost = KvError::kUnreachable;
  const std::optional<KvAnswer> answer =
      transport_({"/v3/watch", Dump({{"create_request", create}}),
                  kWatchIdleTimeout, take, stop},
                 &lost);
  if (reader.ended_by_receiver() || stop.stop_requested()) {
    return KvError::kNone;
  }
  if (reader.error() != KvError::kNone) {
    return reader.error();
  }
  if (!answer) {
    return ErrorOfLostAnswer(lost, Effect::kReads);
  }
  return answer->status == kHttpOk
             ? KvError::kUnreachable
             : ErrorOfStatus(answer->status, Effect::kReads);
}

}  // namespace lynxglade::connection
