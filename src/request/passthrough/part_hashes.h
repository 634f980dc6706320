// Identifies the parts of a prompt that other requests may have too.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_PART_HASHES_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_PART_HASHES_H_

#include <vector>

#include "request/content_hash.h"
#include "request/passthrough/prompt.h"

namespace lynxglade::request::passthrough {

// A hash of each part's id, each id once; without the last part, which is the
// request's own. Never equal to the hash of a content.
std::vector<ContentHash> HashSharedParts(const Prompt& prompt);

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_PART_HASHES_H_
