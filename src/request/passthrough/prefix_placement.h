// Where the KV cache of a prompt's shared parts lives.
//
// All instances agree on a part's home without a message (rendezvous hashing).
// An engine that has just joined, or has just become a prefill engine, is home
// to parts that still lie where they were; and one that is leaving still has
// what now belongs elsewhere. Fetching a part's cache takes a few milliseconds
// where reading it takes hundreds.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_PREFIX_PLACEMENT_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_PREFIX_PLACEMENT_H_

#include <vector>

#include "base/time.h"
#include "request/passthrough/engine_table.h"
#include "request/passthrough/prompt.h"

namespace lynxglade::request::passthrough {

// Both null for a prompt that shares nothing.
struct PrefixPlacement {
  // Where the shared parts are to be read or kept.
  EngineHandle home;
  // Where they most likely are: the home, or the one before it.
  EngineHandle holder;
};

// `usable` may read the prompt now; `engines` are all of the service, those
// that are leaving included. An engine that took up its stage less than
// `settling` ago is not taken to hold anything yet.
PrefixPlacement FindPrefixPlacement(const std::vector<EngineHandle>& usable,
                                    const std::vector<EngineHandle>& engines,
                                    const Prompt& prompt,
                                    base::Duration settle_time,
                                    base::Time now);

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_PREFIX_PLACEMENT_H_
