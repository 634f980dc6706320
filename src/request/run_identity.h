// What a run is recognised by when it crashes its target.
#ifndef LYNXGLADE_REQUEST_RUN_IDENTITY_H_
#define LYNXGLADE_REQUEST_RUN_IDENTITY_H_

#include <cstdint>
#include <vector>

#include "request/content_hash.h"

namespace lynxglade::request {

// The two grains of a run's identity: the whole content, and each part of the
// prompt that other requests may have too.
struct RunIdentity {
  ContentHash content;
  // Without repetitions, and without the request's own part.
  std::vector<ContentHash> parts = {};
  // Hash of the organisation that the request belongs to; 0: none.
  std::uint32_t organisation = 0;
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_RUN_IDENTITY_H_
