// What a claim says in the key-value service.
#ifndef LYNXGLADE_REQUEST_CLAIM_RECORD_H_
#define LYNXGLADE_REQUEST_CLAIM_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/outcome.h"
#include "request/relay.h"

namespace lynxglade::request {

// The value under a claim's key. Its text is unique by its mark, so equal
// texts are the same write.
struct ClaimRecord {
  std::string write_id;
  base::InstanceId instance;
  base::RequestId request;
  // What is to run; a repeat must ask for the same.
  std::uint64_t content_hash = 0;
  // False: claimed, and the owner has not said how it ended.
  bool done = false;
  // Once done; never kNotRun, since such a claim is deleted instead.
  base::Outcome outcome = base::Outcome::kUnknown;
  // Once done, when it was whole and small enough.
  std::optional<Answer> answer;
};

std::string EncodeClaimRecord(const ClaimRecord& record);
// Nothing when the text is no claim.
std::optional<ClaimRecord> DecodeClaimRecord(std::string_view text);

// "/lynxglade/claims/<contract>/<128-bit hash of the key>".
std::string ClaimKey(const base::ContractId& contract,
                     const base::IdempotencyKey& key);

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_CLAIM_RECORD_H_
