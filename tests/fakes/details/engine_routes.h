// The HTTP interface of a fake engine.
#ifndef LYNXGLADE_FAKES_DETAILS_ENGINE_ROUTES_H_
#define LYNXGLADE_FAKES_DETAILS_ENGINE_ROUTES_H_

#include "fakes/details/http_server.h"
#include "fakes/engine_host.h"

namespace lynxglade::fakes {

// Adds the engine routes of docs/PROTOCOLS.md and the controls of README.md.
void AddEngineRoutes(httplib::Server& server, EngineHost& host);

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_DETAILS_ENGINE_ROUTES_H_
