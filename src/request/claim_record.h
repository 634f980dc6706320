// The encoding of a claim in the key-value service.
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

// The value stored under a claim's key. `write_id` makes its text unique, so
// equal texts come from the same write.
struct ClaimRecord {
  std::string write_id;
  base::InstanceId instance;
  base::RequestId request;
  // Hash of the content to run. A repeat must have the same.
  std::uint64_t content_hash = 0;
  // Whether the owner has recorded the outcome.
  bool done = false;
  // Valid if done. Never kNotRun, as such a claim is deleted instead.
  base::Outcome outcome = base::Outcome::kUnknown;
  // Set if done and the answer was complete and small enough.
  std::optional<Answer> answer;
};

std::string EncodeClaimRecord(const ClaimRecord& record);
// Returns nullopt if the text is not a claim record.
std::optional<ClaimRecord> DecodeClaimRecord(std::string_view text);

// "/lynxglade/claims/<contract>/<128-bit hash of the key>".
std::string ClaimKey(const base::ContractId& contract,
                     const base::IdempotencyKey& key);

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_CLAIM_RECORD_H_
