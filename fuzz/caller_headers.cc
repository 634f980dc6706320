// Request headers, one "name: value" per line: parsed terms are in range, a
// contract with keys requires its key, and no error message contains a key.
#include <algorithm>
#include <cctype>
#include <sstream>
#include <string>

#include "base/random.h"
#include "base/secret_hash.h"
#include "connection/caller_terms.h"
#include "fuzz/check.h"

namespace {

using namespace lynxglade;

constexpr char kKey[] = "a-key";

connection::HttpRequest ReadRequest(std::string_view text) {
  connection::HttpRequest http;
  std::istringstream lines{std::string(text)};
  std::string line;
  while (std::getline(lines, line)) {
    const auto colon = line.find(": ");
    if (colon != std::string::npos) {
      std::string name = line.substr(0, colon);
      std::ranges::transform(name, name.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
      });
      http.headers.emplace(std::move(name), line.substr(colon + 2));
    }
  }
  return http;
}

version::ServingConfiguration MakeConfiguration() {
  version::Configuration configuration;
  configuration.revision = base::Revision(1);
  version::Contract& open = configuration.contracts[base::ContractId("open")];
  open.id = base::ContractId("open");
  version::Contract& keyed = configuration.contracts[base::ContractId("keyed")];
  keyed.id = base::ContractId("keyed");
  keyed.key_hashes = {base::SecretHash(kKey)};
  return version::ServingConfiguration(configuration);
}

void CheckTerms(const connection::HttpRequest& http) {
  request::Refusal refusal;
  const auto terms =
      connection::ReadCallerTerms(http, base::SeededRandom(1), &refusal);
  if (!terms) {
    fuzz::Check(refusal.outcome == base::Outcome::kNotRun, "not run");
    return;
  }
  const double worth = terms->worth.value();
  fuzz::Check(worth > 0 && worth <= 1e6, "worth in range");
  fuzz::Check(!terms->id.empty() && terms->id.str().size() <= 128, "id");
  fuzz::Check(!terms->non_idempotent || !terms->idempotency_key.empty(),
              "a non-idempotent request has a key");
  fuzz::Check(!terms->deadline || *terms->deadline > base::Duration::zero(),
              "deadline ahead");
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  static const version::ServingConfiguration configuration =
      MakeConfiguration();
  const auto http = ReadRequest(fuzz::TextOf(data, size));
  CheckTerms(http);
  request::Refusal refusal;
  const auto* contract =
      connection::IdentifyContract(http, configuration, &refusal);
  const std::string shown = http.Header("authorization");
  if (contract != nullptr && contract->id.str() == "keyed") {
    fuzz::Check(shown == std::string("Bearer ") + kKey, "the key was shown");
  }
  if (contract == nullptr && shown.size() > 32) {
    fuzz::Check(refusal.message.find(shown) == std::string::npos,
                "no key in an error message");
  }
  return 0;
}
