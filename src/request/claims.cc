#include "request/claims.h"

#include <algorithm>
#include <string>
#include <utility>

#include "request/claim_record.h"

namespace lynxglade::request {

namespace {

using base::Outcome;
using Status = ClaimWriteResult::Status;

ClaimDecision RefusedDecision(RefusalReason reason,
                              Outcome outcome,
                              std::string message,
                              std::optional<base::Duration> retry_after) {
  ClaimDecision decision;
  decision.refusal = Refusal{.reason = reason,
                             .outcome = outcome,
                             .message = std::move(message),
                             .retry_after = retry_after};
  return decision;
}

}  // namespace

Claims::Claims(const connection::KeyValue& key_value,
               base::InstanceId self,
               base::Clock clock,
               base::RandomSource random,
               base::Metrics& metrics,
               ClaimOptions options)
    : self_(std::move(self)),
      clock_(clock),
      random_(random),
      options_(options),
      metrics_(metrics),
      writer_(key_value,
              std::move(clock),
              std::move(random),
              metrics,
              options.writer) {}

ClaimDecision Claims::Begin(const Request& request) {
  if (request.idempotency_key.empty()) {
    return RefusedDecision(
        RefusalReason::kBadHeader, Outcome::kNotRun,
        "a non-idempotent request requires an Idempotency-Key", std::nullopt);
  }
  ClaimRecord record;
  record.write_id = base::RandomHexId(random_);
  record.instance = self_;
  record.request = request.id;
  record.content_hash = request.content_hash;
  Claim claim{.key = ClaimKey(request.contract, request.idempotency_key),
              .write_id = record.write_id,
              .mod_revision = 0,
              .record = EncodeClaimRecord(record)};
  const ClaimWriteResult written = writer_.Write(
      {.kind = ClaimOp::Kind::kCreate,
       .key = claim.key,
       .value = claim.record,
       .guard = base::Revision(0)},
      std::min(options_.begin_timeout, request.deadline - clock_()));
  if (written.status == Status::kWritten) {
    Count("claimed");
    claim.mod_revision = written.revision.value();
    ClaimDecision decision;
    decision.claim = std::move(claim);
    return decision;
  }
  if (written.status == Status::kConflict && written.found) {
    Count("repeat");
    return DecideFromExisting(request, *written.found);
  }
  // The outcome is not-run even if the write takes effect later: the request is
  // not sent under this claim.
  Count("unavailable");
  return RefusedDecision(RefusalReason::kClaimUnavailable, Outcome::kNotRun,
                         "the claim could not be written",
                         options_.retry_after);
}

ClaimDecision Claims::DecideFromExisting(
    const Request& request,
    const connection::KvEntry& entry) const {
  std::optional<ClaimRecord> existing = DecodeClaimRecord(entry.value);
  if (!existing) {
    return RefusedDecision(
        RefusalReason::kAlreadyClaimed, Outcome::kUnknown,
        "the key is claimed, but its record cannot be decoded", std::nullopt);
  }
  if (existing->content_hash != request.content_hash) {
    return RefusedDecision(
        RefusalReason::kAlreadyClaimed, Outcome::kNotRun,
        "the Idempotency-Key was used for a different request", std::nullopt);
  }
  if (!existing->done) {
    return RefusedDecision(RefusalReason::kAlreadyClaimed, Outcome::kUnknown,
                           "the request is in flight, or its instance failed",
                           options_.retry_after);
  }
  if (existing->answer) {
    ClaimDecision decision;
    decision.recorded = std::move(existing->answer);
    return decision;
  }
  return RefusedDecision(
      RefusalReason::kAlreadyClaimed, existing->outcome,
      "the request was already run; its answer was not recorded", std::nullopt);
}

void Claims::Finish(const Claim& claim, Outcome outcome, const Answer* answer) {
  if (outcome == Outcome::kNotRun) {
    // Wait for the deletion, so that the caller can retry right away.
    writer_.Write({.kind = ClaimOp::Kind::kRelease,
                   .key = claim.key,
                   .value = claim.record,
                   .guard = base::Revision(claim.mod_revision)},
                  options_.record_timeout);
    return;
  }
  std::optional<ClaimRecord> record = DecodeClaimRecord(claim.record);
  if (!record) {
    return;
  }
  record->done = true;
  record->outcome = outcome;
  if (answer != nullptr) {
    record->answer = *answer;
  }
  const ClaimWriteResult written =
      writer_.Write({.kind = ClaimOp::Kind::kRecord,
                     .key = claim.key,
                     .value = EncodeClaimRecord(*record),
                     .guard = base::Revision(claim.mod_revision)},
                    options_.record_timeout);
  Count(written.status == Status::kWritten ? "recorded" : "record_pending");
}

void Claims::Count(const char* result) {
  metrics_.GetCounter("lynxglade_claims_total", {{"result", result}}).Add();
}

}  // namespace lynxglade::request
