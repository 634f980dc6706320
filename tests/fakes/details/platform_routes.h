// The HTTP interfaces of the fake platform services.
#ifndef LYNXGLADE_FAKES_DETAILS_PLATFORM_ROUTES_H_
#define LYNXGLADE_FAKES_DETAILS_PLATFORM_ROUTES_H_

#include "fakes/details/http_server.h"
#include "fakes/fake_instance_list.h"
#include "fakes/fake_kv.h"
#include "fakes/fake_weight_store.h"

namespace lynxglade::fakes {

// The IP address of the caller is its source for FakeKv::Cut(). While `paused`
// returns true, open watches send nothing.
void AddKvRoutes(httplib::Server& server,
                 FakeKv& kv,
                 std::function<bool()> paused);
// Adds `port_offset` to the ports of targets, so that the readers of this list
// use the corresponding links (see LinkedPorts).
void AddInstanceListRoutes(httplib::Server& server,
                           FakeInstanceList& list,
                           int port_offset);
void AddWeightStoreRoutes(httplib::Server& server, FakeWeightStore& store);

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_DETAILS_PLATFORM_ROUTES_H_
