// Headers that concern one connection only and are not passed on.
#ifndef LYNXGLADE_CONNECTION_EVENT_HOP_HEADERS_H_
#define LYNXGLADE_CONNECTION_EVENT_HOP_HEADERS_H_

#include "connection/event/http_types.h"

namespace lynxglade::connection::event {

// Takes out the hop-by-hop headers of RFC 9110, those that Connection names,
// and those that say how a body is framed.
void EraseHopHeaders(http::fields& fields);

}  // namespace lynxglade::connection::event

#endif  // LYNXGLADE_CONNECTION_EVENT_HOP_HEADERS_H_
