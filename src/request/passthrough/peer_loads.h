// Loads of targets that other instances were told with their answers.
//
// Each answer of a target carries its load. An instance that sends few requests
// to a target learns its load rarely; the reports that its peers received are
// as good as its own.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_PEER_LOADS_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_PEER_LOADS_H_

#include <vector>

#include "base/time.h"
#include "request/passthrough/engine_table.h"
#include "request/passthrough/peer_prefills.h"

namespace lynxglade::request::passthrough {

// A load report, and how long ago its target sent it.
struct PeerLoad {
  EngineKey engine = 0;
  ReportedLoad load;
  base::Duration age{};
};

// Reports that this instance itself received after `since`.
std::vector<PeerLoad> OwnLoads(const EngineTable& engines,
                               base::Time since,
                               base::Time now);

// Takes the reports of a peer for the targets in use, where they are newer than
// what is known.
void ApplyPeerLoads(const EngineTable& engines,
                    const std::vector<PeerLoad>& loads,
                    base::Time now);

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_PEER_LOADS_H_
