#include "request/passthrough/crash_checks.h"

#include <memory>
#include <string>
#include <utility>

#include "base/log.h"
#include "connection/event/sleep.h"
#include "connection/event/socket_probe.h"
#include "connection/event/tasks.h"
#include "request/passthrough/engine_address.h"

namespace lynxglade::request::passthrough {

namespace {

using connection::event::Awaitable;
using connection::event::Connect;
using connection::event::ConnectEnd;
using connection::event::SleepFor;
using connection::event::Tcp;
namespace asio = connection::event::asio;

}  // namespace

base::TargetId QuarantineTarget(const Engine& engine) {
  return base::TargetId(AddressOf(engine));
}

CrashChecks::CrashChecks(asio::io_context& loop,
                         Quarantine& quarantine,
                         CrashCheckOptions options,
                         base::Clock clock,
                         base::Metrics& metrics,
                         ReachTarget reach)
    : loop_(loop),
      quarantine_(quarantine),
      options_(options),
      clock_(std::move(clock)),
      metrics_(metrics),
      reach_(std::move(reach)) {}

void CrashChecks::Start(const EngineHandle& engine) {
  const base::TargetId target = QuarantineTarget(*engine);
  if (running_.insert(target).second) {
    connection::event::Spawn(loop_, "crash_check", Check(engine),
                             [this, target] { running_.erase(target); });
  }
}

Awaitable<void> CrashChecks::Check(EngineHandle engine) {
  const base::TargetId target = QuarantineTarget(*engine);
  const base::Time lost_at = clock_();
  ConnectEnd finding = ConnectEnd::kNoAnswer;
  for (int i = 0; i < options_.max_connections; ++i) {
    if (i > 0) {
      co_await SleepFor(loop_, options_.interval);
    }
    finding = co_await ConnectTo(engine);
    if (finding == ConnectEnd::kRefused) {
      quarantine_.OnTargetCrashed(target, clock_());
      break;
    }
    if (finding == ConnectEnd::kConnected && i > 0) {
      quarantine_.OnTargetAlive(target, clock_());
      break;
    }
  }
  metrics_
      .GetCounter("lynxglade_crash_checks_total",
                  {{"finding", std::string(ToString(finding))}})
      .Add();
  base::Log(base::LogLevel::kInfo, "crash_check",
            {{"target", engine->entry.id.str()},
             {"address", target.str()},
             {"finding", ToString(finding)},
             {"in_flight", engine->in_flight},
             {"ms", base::ToMillis(clock_() - lost_at)}});
}

Awaitable<ConnectEnd> CrashChecks::ConnectTo(EngineHandle engine) {
  if (reach_) {
    co_return co_await reach_(std::move(engine));
  }
  const auto endpoint = EndpointOf(*engine);
  if (!endpoint) {
    co_return ConnectEnd::kNoAnswer;
  }
  const auto socket = std::make_shared<Tcp::socket>(loop_);
  const ConnectEnd end =
      co_await Connect(loop_, socket, *endpoint, options_.connect_timeout);
  connection::event::ResetSocket(*socket);
  co_return end;
}

std::string_view CrashChecks::ToString(ConnectEnd finding) noexcept {
  switch (finding) {
    case ConnectEnd::kConnected:
      return "alive";
    case ConnectEnd::kRefused:
      return "crashed";
    case ConnectEnd::kNoAnswer:
      break;
  }
  return "unknown";
}

}  // namespace lynxglade::request::passthrough
