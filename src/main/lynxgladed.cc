// lynxgladed, the daemon: runs one entry instance. `lynxgladed entry` runs the
// variant for platforms whose store holds the configuration and the targets.
#include <pthread.h>
#include <signal.h>

#include <iostream>
#include <string_view>

#include "base/log.h"
#include "connection/http_limits.h"
#include "main/daemon.h"
#include "main/entry_daemon.h"
#include "main/exit_status.h"
#include "process/settings.h"

namespace {

// Each caller's stream occupies a thread, and the C library's default would
// reserve a stack of 8 MB for each.
void UseSmallThreadStacks() {
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes,
                            lynxglade::connection::kConnectionStackBytes);
  pthread_setattr_default_np(&attributes);
  pthread_attr_destroy(&attributes);
}

// Blocks the signals in this thread and all threads started by it, so that
// WaitForStop() receives them.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

// Reloads on each SIGHUP. Returns the signal that requests the stop.
int WaitForStop(const sigset_t& signals, lynxglade::Daemon& daemon) {
  int number = 0;
  while (sigwait(&signals, &number) == 0 && number == SIGHUP) {
    daemon.Reload();
  }
  return number;
}

}  // namespace

int main(int argc, char** argv) {
  using lynxglade::base::Log;
  using lynxglade::base::LogLevel;

  if (argc > 1 && std::string_view(argv[1]) == "entry") {
    return lynxglade::RunEntryDaemon(argc - 1, argv + 1);
  }
  lynxglade::process::SettingsFault fault;
  const auto settings = lynxglade::process::ParseSettings(argc, argv, &fault);
  if (!settings) {
    return lynxglade::ReportBadSettings(fault);
  }
  signal(SIGPIPE, SIG_IGN);
  const sigset_t signals = BlockSignals();
  UseSmallThreadStacks();
  lynxglade::base::InitLog(settings->log_level, settings->instance.str());

  lynxglade::Daemon daemon(*settings);
  if (!daemon.Start()) {
    Log(LogLevel::kError, "start_failed", {{"reason", daemon.last_reason()}});
    std::cerr << "lynxgladed: " << daemon.last_reason() << "\n";
    return lynxglade::kExitCannotStart;
  }
  Log(LogLevel::kInfo, "started", {{"zone", settings->zone.str()}});
  const int number = WaitForStop(signals, daemon);
  Log(LogLevel::kInfo, "stopping", {{"signal", number}});
  daemon.Stop();
  Log(LogLevel::kInfo, "stopped");
  return lynxglade::kExitOk;
}
