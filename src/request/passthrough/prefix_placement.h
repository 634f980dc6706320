// Locates the engine that holds the KV cache of a prompt's shared parts.
//
// All instances derive a part's home independently by rendezvous hashing. When
// an engine joins or becomes a prefill engine it is home to parts whose cache
// is still held by their previous home; a draining engine still holds parts
// that now have another home.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_PREFIX_PLACEMENT_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_PREFIX_PLACEMENT_H_

#include <vector>

#include "base/time.h"
#include "request/passthrough/engine_table.h"
#include "request/passthrough/prompt.h"

namespace lynxglade::request::passthrough {

// Both null for a prompt without shared parts.
struct PrefixPlacement {
  // Where the shared parts are to be prefilled and cached.
  EngineHandle home;
  // Where their KV cache most likely is: the home, or the previous home.
  EngineHandle holder;
};

// `usable` may prefill the prompt now; `engines` are all of the service,
// draining ones included. An engine that took up its stage less than
// `settle_time` ago is not assumed to hold any cache.
PrefixPlacement FindPrefixPlacement(const std::vector<EngineHandle>& usable,
                                    const std::vector<EngineHandle>& engines,
                                    const Prompt& prompt,
                                    base::Duration settle_time,
                                    base::Time now);

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_PREFIX_PLACEMENT_H_
