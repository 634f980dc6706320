// Ports of one run of the rig, which runs at the same time do not share.
#ifndef LYNXGLADE_TESTS_RIG_PORTS_H_
#define LYNXGLADE_TESTS_RIG_PORTS_H_

#include <cstddef>
#include <vector>

#include <boost/asio/ip/udp.hpp>

#include "connection/event/http_types.h"

namespace lynxglade::rig {

// Takes a block of ports for this run: its first port is bound until the end of
// the run. Throws if there is none left.
connection::event::asio::ip::udp::socket ReservePorts(
    connection::event::asio::io_context& loop);

// Ports of the block on which nothing listens. Connections of an earlier run
// may still wait for their end there, which does not keep a listener out.
// Throws if there are too few.
std::vector<int> FindPorts(int first, std::size_t n);

}  // namespace lynxglade::rig

#endif  // LYNXGLADE_TESTS_RIG_PORTS_H_
