// Removal of hop-by-hop headers, which must not be forwarded.
#ifndef LYNXGLADE_CONNECTION_EVENT_HOP_HEADERS_H_
#define LYNXGLADE_CONNECTION_EVENT_HOP_HEADERS_H_

#include "connection/event/http_types.h"

namespace lynxglade::connection::event {

// Removes the hop-by-hop headers of RFC 9110, the headers named in Connection,
// those that frame the body, and Expect.
void EraseHopHeaders(HeaderFields& fields);

}  // namespace lynxglade::connection::event

#endif  // LYNXGLADE_CONNECTION_EVENT_HOP_HEADERS_H_
