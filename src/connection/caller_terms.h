// Who calls and on which terms: the headers of a caller's request.
#ifndef LYNXGLADE_CONNECTION_CALLER_TERMS_H_
#define LYNXGLADE_CONNECTION_CALLER_TERMS_H_

#include <optional>
#include <string>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "base/units.h"
#include "connection/http_server.h"
#include "request/request.h"
#include "version/serving_configuration.h"

namespace lynxglade::connection {

// What the headers say, checked.
struct CallerTerms {
  base::RequestId id;
  base::Worth worth{1.0};
  std::optional<base::Duration> deadline;
  std::optional<request::Priority> priority;
  bool non_idempotent = false;
  base::IdempotencyKey idempotency_key;
};

// Reads the headers that docs/PROTOCOLS.md lists. A request without an id gets
// a random one. On failure returns nothing and fills `refusal` (not run).
std::optional<CallerTerms> ReadCallerTerms(const HttpRequest& http,
                                           const base::RandomSource& random,
                                           request::Refusal* refusal);

// The contract under which the call is made: by caller key, else by X-Contract
// where the contract needs no key. Null when there is none; then `refusal`
// says why. The key itself is never part of the refusal.
const version::Contract* IdentifyContract(
    const HttpRequest& http,
    const version::ServingConfiguration& configuration,
    request::Refusal* refusal);

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_CALLER_TERMS_H_
