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

constexpr char kClaimRoot[] = "/lynxglade/claims/";
// Seed of the key hash's second half.
constexpr std::uint64_t kSecondSeed = 0x6c796e78;

std::string TextOf(const json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_string() ? it->get<std::string>()
                                               : std::string();
}

std::int64_t NumberOf(const json& object, const char* name) {
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
    // A plain service's body may be any bytes.
    out["plain"] = {{"status", answer.plain->status},
                    {"content_type", answer.plain->content_type},
                    {"body", connection::Base64Encode(answer.plain->body)}};
  }
  return out;
}

std::optional<Answer> DecodeAnswer(const json& in) {
  Answer answer;
  answer.text = TextOf(in, "text");
  answer.finish_reason = TextOf(in, "finish_reason");
  answer.usage.prompt = base::Tokens(NumberOf(in, "prompt"));
  answer.usage.completion = base::Tokens(NumberOf(in, "completion"));
  answer.usage.cached = base::Tokens(NumberOf(in, "cached"));
  const auto plain = in.find("plain");
  if (plain == in.end()) {
    return answer;
  }
  auto body = connection::Base64Decode(TextOf(*plain, "body"));
  if (!body) {
    return std::nullopt;
  }
  answer.plain =
      PlainAnswer{.status = static_cast<int>(NumberOf(*plain, "status")),
                  .content_type = TextOf(*plain, "content_type"),
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
  if (!in || !in->is_object() || TextOf(*in, "mark").empty()) {
    return std::nullopt;
  }
  ClaimRecord record;
  record.write_id = TextOf(*in, "mark");
  record.instance = base::InstanceId(TextOf(*in, "instance"));
  record.request = base::RequestId(TextOf(*in, "request"));
  record.content_hash =
      std::strtoull(TextOf(*in, "content").c_str(), nullptr, 16);
  record.done = in->value("done", json(false)) == json(true);
  record.outcome = TextOf(*in, "outcome") == base::ToString(Outcome::kRan)
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
  return kClaimRoot + contract.str() + "/" +
         base::ToHex(base::Hash64(key.str())) +
         base::ToHex(base::Hash64(key.str(), kSecondSeed));
}

}  // namespace lynxglade::request
