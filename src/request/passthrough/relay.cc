#include "request/passthrough/relay.h"

#include <utility>
#include <vector>

#include "base/scope_exit.h"
#include "request/passthrough/relay_run.h"

namespace lynxglade::request::passthrough {

Relay::Relay(RelayDependencies deps, RelayOptions options)
    : deps_(std::move(deps)), options_(options) {}

connection::event::Awaitable<void> Relay::Serve(
    std::shared_ptr<connection::event::CallerRequest> request,
    connection::event::CallerReply& reply) {
  RelayRun run(deps_, options_, std::move(request), reply);
  runs_->insert(&run);
  const base::ScopeExit end([runs = runs_, &run] { runs->erase(&run); });
  co_await run.Run();
}

// A request may end, and leave the set, while it is told to.
void Relay::EndAll() {
  const std::vector<RelayRun*> runs(runs_->begin(), runs_->end());
  for (RelayRun* it : runs) {
    if (runs_->contains(it)) {
      it->End();
    }
  }
}

}  // namespace lynxglade::request::passthrough
