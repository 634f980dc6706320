#include "request/claim_record.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "base/bounded_json.h"
#include "base/hash.h"
#include "connection/base64.h"

namespace lynxglade::request {

namespace {

using base::Outcome;
using nlohmann::json;

constexpr char kClaimKeyPrefix[] = "/lynxglade/claims/";
// Seed of the second half of the 128-bit key hash.
constexpr std::uint64_t kSecondHashSeed = 0x6c796e78;

std::string StringMember(const json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_string() ? it->get<std::string>()
                                               : std::string();
}

std::int64_t IntegerMember(const json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_number_integer() ? it->get<std::int64_t>()
                                                       : 0;
}

json EncodeAnswer(const Answer& answer) {
  json out = {{"text", answer.text},
              {"finish_reason", answer.finish_reason},
              {"prompt", answer.usage.prompt.value()},
              {"completion", answer.usage.completion.value()},
              {"cached", answer.usage.cached.value()}};
  if (answer.plain) {
    // The body may hold arbitrary bytes.
    out["plain"] = {{"status", answer.plain->status},
                    {"content_type", answer.plain->content_type},
                    {"body", connection::Base64Encode(answer.plain->body)}};
  }
  return out;
}

std::optional<Answer> DecodeAnswer(const json& in) {
  Answer answer;
  answer.text = StringMember(in, "text");
  answer.finish_reason = StringMember(in, "finish_reason");
  answer.usage.prompt = base::Tokens(IntegerMember(in, "prompt"));
  answer.usage.completion = base::Tokens(IntegerMember(in, "completion"));
  answer.usage.cached = base::Tokens(IntegerMember(in, "cached"));
  const auto plain = in.find("plain");
  if (plain == in.end()) {
    return answer;
  }
  auto body = connection::Base64Decode(StringMember(*plain, "body"));
  if (!body) {
    return std::nullopt;
  }
  answer.plain =
      PlainAnswer{.status = static_cast<int>(IntegerMember(*plain, "status")),
                  .content_type = StringMember(*plain, "content_type"),
                  .body = std::move(*body)};
  return answer;
}

}  // namespace

std::string EncodeClaimRecord(const ClaimRecord& record) {
  json out = {{"mark", record.write_id},
              {"instance", record.instance.str()},
              {"request", record.request.str()},
              {"content", base::ToHex(record.content_hash)},
              {"done", record.done}};
  if (record.done) {
    out["outcome"] = base::ToString(record.outcome);
  }
  if (record.answer) {
    out["answer"] = EncodeAnswer(*record.answer);
  }
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<ClaimRecord> DecodeClaimRecord(std::string_view text) {
  const std::optional<json> in = base::ParseBoundedJson(text);
  if (!in || !in->is_object() || StringMember(*in, "mark").empty()) {
    return std::nullopt;
  }
  ClaimRecord record;
  record.write_id = StringMember(*in, "mark");
  record.instance = base::InstanceId(StringMember(*in, "instance"));
  record.request = base::RequestId(StringMember(*in, "request"));
  record.content_hash =
      std::strtoull(StringMember(*in, "content").c_str(), nullptr, 16);
  record.done = in->value("done", json(false)) == json(true);
  record.outcome = StringMember(*in, "outcome") == base::ToString(Outcome::kRan)
                       ? Outcome::kRan
                       : Outcome::kUnknown;
  const auto answer = in->find("answer");
  if (answer != in->end() && answer->is_object()) {
    record.answer = DecodeAnswer(*answer);
  }
  return record;
}

std::string ClaimKey(const base::ContractId& contract,
                     const base::IdempotencyKey& key) {
  return kClaimKeyPrefix + contract.str() + "/" +
         base::ToHex(base::Hash64(key.str())) +
         base::ToHex(base::Hash64(key.str(), kSecondHashSeed));
}

}  // namespace lynxglade::request
