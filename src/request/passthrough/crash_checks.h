// Finds out whether a target that broke a connection has crashed.
//
// A lost answer, a broken network path and a crashed process look the same to
// the request that was in flight. Nothing listens at the address of a crashed
// target, so a refused connection confirms the crash; one that is accepted some
// time after the loss refutes it. Neither is known if the address does not
// answer.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_CRASH_CHECKS_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_CRASH_CHECKS_H_

#include <functional>
#include <set>
#include <string_view>

#include "base/ids.h"
#include "base/metrics.h"
#include "base/time.h"
#include "connection/event/connect.h"
#include "connection/event/http_types.h"
#include "request/passthrough/engine_table.h"
#include "request/quarantine.h"

namespace lynxglade::request::passthrough {

struct CrashCheckOptions {
  base::Duration connect_timeout = std::chrono::milliseconds(300);
  // Between the connections of one check. The first may be accepted by a
  // process that is about to exit.
  base::Duration interval = std::chrono::milliseconds(250);
  // Connections of one check, unless one is refused.
  int max_connections = 3;
};

// Whether the target accepts connections.
using ReachTarget =
    std::function<connection::event::Awaitable<connection::event::ConnectEnd>(
        EngineHandle)>;

// What the quarantine takes as the target: its address. A restarted process has
// another id, but the same machine may crash again and again.
base::TargetId QuarantineTarget(const Engine& engine);

// Not thread-safe: runs on the event loop.
class CrashChecks {
 public:
  // `reach` connects to a target and closes the connection; empty: directly.
  CrashChecks(connection::event::asio::io_context& loop,
              Quarantine& quarantine,
              CrashCheckOptions options,
              base::Clock clock,
              base::Metrics& metrics,
              ReachTarget reach = {});
  CrashChecks(const CrashChecks&) = delete;
  CrashChecks& operator=(const CrashChecks&) = delete;

  // A connection to the engine was lost. One check of an engine runs at a time.
  void Start(const EngineHandle& engine);

 private:
  static std::string_view ToString(
      connection::event::ConnectEnd finding) noexcept;

  connection::event::Awaitable<void> Check(EngineHandle engine);
  connection::event::Awaitable<connection::event::ConnectEnd> ConnectTo(
      EngineHandle engine);

  connection::event::asio::io_context& loop_;
  Quarantine& quarantine_;
  const CrashCheckOptions options_;
  const base::Clock clock_;
  base::Metrics& metrics_;
  const ReachTarget reach_;
  std::set<base::TargetId> running_;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_CRASH_CHECKS_H_
