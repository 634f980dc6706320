#include "request/passthrough/crash_checks.h"

#include <memory>
#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/error.hpp>

#include "base/log.h"
#include "connection/event/sleep.h"
#include "connection/event/socket_probe.h"
#include "request/passthrough/engine_address.h"

namespace lynxglade::request::passthrough {

namespace {

using connection::event::Awaitable;
using connection::event::ErrorCode;
using connection::event::Into;
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
                         base::Metrics& metrics)
    : loop_(loop),
      quarantine_(quarantine),
      options_(options),
      clock_(std::move(clock)),
      metrics_(metrics) {}

void CrashChecks::Start(const EngineHandle& engine) {
  if (running_.insert(QuarantineTarget(*engine)).second) {
    asio::co_spawn(loop_, Check(engine), asio::detached);
  }
}

Awaitable<void> CrashChecks::Check(EngineHandle engine) {
  const base::TargetId target = QuarantineTarget(*engine);
  const base::Time lost_at = clock_();
  const auto endpoint = EndpointOf(*engine);
  Finding finding = Finding::kNoAnswer;
  for (int i = 0; endpoint && i < options_.max_connections; ++i) {
    if (i > 0) {
      co_await SleepFor(loop_, options_.interval);
    }
    finding = co_await Connect(*endpoint);
    if (finding == Finding::kRefused) {
      quarantine_.OnTargetCrashed(target, clock_());
      break;
    }
    if (finding == Finding::kAccepted && i > 0) {
      quarantine_.OnTargetAlive(target, clock_());
      break;
    }
  }
  running_.erase(target);
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

Awaitable<CrashChecks::Finding> CrashChecks::Connect(Tcp::endpoint endpoint) {
  const auto socket = std::make_shared<Tcp::socket>(loop_);
  asio::steady_timer timer(loop_, options_.connect_timeout);
  timer.async_wait([socket](const ErrorCode& ec) {
    if (!ec) {
      connection::event::CloseSocket(*socket);
    }
  });
  ErrorCode ec;
  co_await socket->async_connect(endpoint, Into(ec));
  if (!ec) {
    connection::event::ResetSocket(*socket);
    co_return Finding::kAccepted;
  }
  connection::event::CloseSocket(*socket);
  co_return ec == asio::error::connection_refused ||
          ec == asio::error::connection_reset
      ? Finding::kRefused
      : Finding::kNoAnswer;
}

std::string_view CrashChecks::ToString(Finding finding) noexcept {
  switch (finding) {
    case Finding::kAccepted:
      return "alive";
    case Finding::kRefused:
      return "crashed";
    case Finding::kNoAnswer:
      break;
  }
  return "unknown";
}

}  // namespace lynxglade::request::passthrough
