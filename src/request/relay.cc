#include "request/relay.h"

#include <utility>

#include "request/relay_run.h"

namespace lynxglade::request {

Relay::Relay(RelayHooks hooks, RelayLimits limits)
    : hooks_(std::move(hooks)), limits_(limits) {}

RelayResult Relay::Serve(const Request& request, const CallerSink& sink) const {
  return RelayRun(hooks_, limits_, request, sink).Run();
}

}  // namespace lynxglade::request
