// Parses the headers of a caller's request and identifies its contract.
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

// Validated headers of a request.
struct CallerTerms {
  base::RequestId id;
  base::Worth worth{1.0};
  std::optional<base::Duration> deadline;
  std::optional<request::Priority> priority;
  bool non_idempotent = false;
  base::IdempotencyKey idempotency_key;
};

// Parses the headers listed in docs/PROTOCOLS.md. A request without an id gets
// a random one. On failure returns nullopt and sets `refusal` (outcome not
// run).
std::optional<CallerTerms> ReadCallerTerms(const HttpRequest& http,
                                           const base::RandomSource& random,
                                           request::Refusal* refusal);

// Finds the contract of the call: by caller key, else by X-Contract if that
// contract needs no key. If there is none, returns null and sets `refusal`,
// which never contains the key.
const version::Contract* IdentifyContract(
    const HttpRequest& http,
    const version::ServingConfiguration& configuration,
    request::Refusal* refusal);

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_CALLER_TERMS_H_
