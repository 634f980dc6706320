// Ensures that a non-idempotent request runs at most once over all instances.
//
// A claim is a key in the platform's key-value service that is created, if
// absent, before the first byte is sent to a target. Only its owner deletes it,
// and only if the request provably did not run. Otherwise the owner records the
// outcome, with the answer if that is small, so that a repeat through any
// instance gets the same answer or is told the known outcome. A claimed request
// costs two writes, batched with those of other requests (claim_writer.h). See
// docs/design/whole-once.md.
#ifndef LYNXGLADE_REQUEST_CLAIMS_H_
#define LYNXGLADE_REQUEST_CLAIMS_H_

#include "base/ids.h"
#include "base/metrics.h"
#include "base/outcome.h"
#include "base/random.h"
#include "base/time.h"
#include "connection/key_value.h"
#include "request/claim_writer.h"
#include "request/relay.h"
#include "request/request.h"

namespace lynxglade::request {

struct ClaimOptions {
  ClaimWriterOptions writer;
  // Maximum wait for a claim. After it the request is refused as not run.
  base::Duration begin_timeout = std::chrono::seconds(2);
  // Maximum time for which an answer is held back until it is recorded. After
  // it, recording continues in the background.
  base::Duration record_timeout = std::chrono::milliseconds(100);
  // retry_after of refusals: while the claimed request is in flight, or if the
  // claim could not be written.
  base::Duration retry_after = std::chrono::seconds(2);
};

// Thread-safe. Begin and Finish block on the key-value service for a bounded
// time, without holding a lock.
class Claims {
 public:
  // `key_value` and `metrics` must outlive it.
  Claims(const connection::KeyValue& key_value,
         base::InstanceId self,
         base::Clock clock,
         base::RandomSource random,
         base::Metrics& metrics,
         ClaimOptions options);
  Claims(const Claims&) = delete;
  Claims& operator=(const Claims&) = delete;

  // RelayHooks::claim_begin.
  ClaimDecision Begin(const Request& request);
  // RelayHooks::claim_finish.
  void Finish(const Claim& claim, base::Outcome outcome, const Answer* answer);

 private:
  ClaimDecision DecideFromExisting(const Request& request,
                                   const connection::KvEntry& entry) const;
  void Count(const char* result);

  const base::InstanceId self_;
  const base::Clock clock_;
  const base::RandomSource random_;
  const ClaimOptions options_;
  base::Metrics& metrics_;
  ClaimWriter writer_;
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_CLAIMS_H_
