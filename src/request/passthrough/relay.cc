#include "request/passthrough/relay.h"

#include <utility>

#include "request/passthrough/relay_run.h"

namespace lynxglade::request::passthrough {

Relay::Relay(RelayDependencies deps, RelayOptions options)
    : deps_(std::move(deps)), options_(options) {}

connection::event::Awaitable<void> Relay::Serve(
    std::shared_ptr<connection::event::CallerRequest> request,
    connection::event::CallerReply& reply) {
  RelayRun run(deps_, options_, std::move(request), reply);
  co_await run.Run();
}

}  // namespace lynxglade::request::passthrough
