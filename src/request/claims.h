// The right to run a non-idempotent request, over all instances.
//
// A claim is a key that is created in the platform's key-value service before
// the first byte goes to a target, and that nobody can create twice. It is
// deleted again only by its owner, and only when the request provably did not
// run. How it ended is recorded, with the answer where that is small, so that
// a repeat through any instance gets the same answer or is told what is known.
// Two writes a claimed request, batched with others' (claim_writer.h). See
// docs/notes/whole-once.md.
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
  // Longest wait for a claim; after it the request is refused as not run.
  base::Duration begin_timeout = std::chrono::seconds(2);
  // How long an answer is held back until it is recorded; after it the
  // recording goes on in the background.
  base::Duration record_timeout = std::chrono::milliseconds(100);
  // When a repeat of a request that is under way may come back.
  base::Duration retry_after = std::chrono::seconds(2);
};

// Thread-safe. Both methods block on the key-value service for a bounded
// time; neither holds a lock meanwhile.
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
  ClaimVerdict Begin(const Request& request);
  // RelayHooks::claim_finish.
  void Finish(const Claim& claim, base::Outcome outcome, const Answer* answer);

 private:
  ClaimVerdict JudgeEarlier(const Request& request,
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
