#include "connection/caller_terms.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>

#include "base/secret_hash.h"

namespace lynxglade::connection {

namespace {

using request::RefusalReason;

constexpr std::size_t kMaxIdBytes = 128;
constexpr double kMaxWorth = 1'000'000;
constexpr long kMaxDeadlineMs = 3'600'000;
constexpr long kMaxPriority = 9;
constexpr char kDefaultContract[] = "default";
constexpr std::string_view kBearer = "Bearer ";

void Refuse(request::Refusal* refusal,
            RefusalReason reason,
            std::string message) {
  *refusal = {reason, base::Outcome::kNotRun, std::move(message), std::nullopt};
}

// Whether `text` is printable ASCII, which is safe in headers and logs.
bool IsPrintable(const std::string& text) {
  return std::ranges::all_of(
      text, [](unsigned char c) { return c > 0x20 && c < 0x7f; });
}

template <typename Number>
std::optional<Number> ParseNumber(const std::string& text) {
  Number n{};
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, n);
  if (ec != std::errc() || rest != end) {
    return std::nullopt;
  }
  return n;
}

bool ReadId(const HttpRequest& http,
            const base::RandomSource& random,
            CallerTerms& terms,
            request::Refusal* refusal) {
  std::string id = http.Header("x-request-id");
  if (id.empty()) {
    id = base::RandomHexId(random);
  }
  if (id.size() > kMaxIdBytes || !IsPrintable(id)) {
    Refuse(refusal, RefusalReason::kBadHeader,
           "X-Request-Id must be 1 to 128 printable ASCII bytes");
    return false;
  }
  terms.id = base::RequestId(std::move(id));
  return true;
}

bool ReadWorth(const HttpRequest& http,
               CallerTerms& terms,
               request::Refusal* refusal) {
  const std::string text = http.Header("x-worth");
  if (text.empty()) {
    return true;
  }
  const auto worth = ParseNumber<double>(text);
  if (!worth || !std::isfinite(*worth) || *worth <= 0 || *worth > kMaxWorth) {
    Refuse(refusal, RefusalReason::kBadHeader,
           "X-Worth must be a number above 0 and at most 1000000");
    return false;
  }
  terms.worth = base::Worth(*worth);
  return true;
}

bool ReadDeadline(const HttpRequest& http,
                  CallerTerms& terms,
                  request::Refusal* refusal) {
  const std::string text = http.Header("x-deadline-ms");
  if (text.empty()) {
    return true;
  }
  const auto ms = ParseNumber<long>(text);
  if (!ms || *ms > kMaxDeadlineMs) {
    Refuse(refusal, RefusalReason::kBadHeader,
           "X-Deadline-Ms must be a whole number from 1 to 3600000");
    return false;
  }
  if (*ms <= 0) {
    Refuse(refusal, RefusalReason::kDeadlinePassed,
           "the deadline passed before the request came");
    return false;
  }
  terms.deadline = std::chrono::milliseconds(*ms);
  return true;
}

bool ReadPriority(const HttpRequest& http,
                  CallerTerms& terms,
                  request::Refusal* refusal) {
  const std::string text = http.Header("x-priority");
  if (text.empty()) {
    return true;
  }
  const auto n = ParseNumber<long>(text);
  if (!n || *n < 0 || *n > kMaxPriority) {
    Refuse(refusal, RefusalReason::kBadHeader,
           "X-Priority must be a whole number from 0 to 9");
    return false;
  }
  terms.priority = request::Priority(static_cast<int>(*n));
  return true;
}

bool ReadIdempotency(const HttpRequest& http,
                     CallerTerms& terms,
                     request::Refusal* refusal) {
  const std::string key = http.Header("idempotency-key");
  if (key.size() > kMaxIdBytes || !IsPrintable(key)) {
    Refuse(refusal, RefusalReason::kBadHeader,
           "Idempotency-Key must be 1 to 128 printable ASCII bytes");
    return false;
  }
  terms.idempotency_key = base::IdempotencyKey(key);
  const std::string flag = http.Header("x-non-idempotent");
  if (!flag.empty() && flag != "true" && flag != "false") {
    Refuse(refusal, RefusalReason::kBadHeader,
           "X-Non-Idempotent must be true or false");
    return false;
  }
  terms.non_idempotent = flag == "true";
  if (terms.non_idempotent && key.empty()) {
    Refuse(refusal, RefusalReason::kBadHeader,
           "X-Non-Idempotent: true needs an Idempotency-Key");
    return false;
  }
  return true;
}

const version::Contract* IdentifyByKey(
    const std::string& authorization,
    const version::ServingConfiguration& configuration,
    request::Refusal* refusal) {
  const version::Contract* contract = nullptr;
  if (authorization.starts_with(kBearer)) {
    contract = configuration.FindContractByKeyHash(
        base::SecretHash(authorization.substr(kBearer.size())));
  }
  if (contract == nullptr) {
    Refuse(refusal, RefusalReason::kUnauthenticated,
           "the caller key is not known");
  }
  return contract;
}

}  // namespace

std::optional<CallerTerms> ReadCallerTerms(const HttpRequest& http,
                                           const base::RandomSource& random,
                                           request::Refusal* refusal) {
  CallerTerms terms;
  const bool good = ReadId(http, random, terms, refusal) &&
                    ReadWorth(http, terms, refusal) &&
                    ReadDeadline(http, terms, refusal) &&
                    ReadPriority(http, terms, refusal) &&
                    ReadIdempotency(http, terms, refusal);
  if (!good) {
    return std::nullopt;
  }
  return terms;
}

const version::Contract* IdentifyContract(
    const HttpRequest& http,
    const version::ServingConfiguration& configuration,
    request::Refusal* refusal) {
  const std::string named = http.Header("x-contract");
  const auto* by_name = configuration.FindContract(
      base::ContractId(named.empty() ? kDefaultContract : named));
  const std::string authorization = http.Header("authorization");
  const bool open = by_name != nullptr && by_name->key_hashes.empty();
  if (open && (!named.empty() || authorization.empty())) {
    // OpenAI-compatible clients always send a key; a contract that needs none
    // accepts any.
    return by_name;
  }
  if (authorization.empty()) {
    if (by_name != nullptr) {
      Refuse(refusal, RefusalReason::kUnauthenticated,
             "this contract needs a caller key");
    } else {
      Refuse(refusal, RefusalReason::kUnknownContract,
             "no such contract; send a caller key or X-Contract");
    }
    return nullptr;
  }
  const auto* by_key = IdentifyByKey(authorization, configuration, refusal);
  if (by_key == nullptr && open) {
    return by_name;
  }
  if (by_key != nullptr && !named.empty() && by_key != by_name) {
    Refuse(refusal, RefusalReason::kUnauthenticated,
           "the caller key belongs to another contract");
    return nullptr;
  }
  return by_key;
}

}  // namespace lynxglade::connection
