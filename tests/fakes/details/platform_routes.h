// The HTTP faces of the platform's stand-ins.
#ifndef LYNXGLADE_FAKES_DETAILS_PLATFORM_ROUTES_H_
#define LYNXGLADE_FAKES_DETAILS_PLATFORM_ROUTES_H_

#include "fakes/details/http_server.h"
#include "fakes/fake_instance_list.h"
#include "fakes/fake_kv.h"
#include "fakes/fake_weight_store.h"

namespace lynxglade::fakes {

// The caller's IP address is its source for FakeKv's cuts. `quiet` says
// whether open watches are to say nothing now.
void AddKvRoutes(httplib::Server& server,
                 FakeKv& kv,
                 std::function<bool()> quiet);
// Targets' ports are given out greater by `port_offset`: callers of this list
// use those links.
void AddInstanceListRoutes(httplib::Server& server,
                           FakeInstanceList& list,
                           int port_offset);
void AddWeightStoreRoutes(httplib::Server& server, FakeWeightStore& store);

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_DETAILS_PLATFORM_ROUTES_H_
