// A route is moved to another service shortly after the open connections to the
// store went silent. Fails if machines that are in touch again let the old
// service run requests.
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "review/stand_ins/deployment.h"

namespace lynxglade::review {
namespace {

constexpr int kCallersPerInstance = 4;

int Judge(Deployment& deployment,
          const std::vector<CallerAttempt>& attempts,
          double silent_at,
          double moved_at) {
  std::map<std::string, CallerAttempt> by_id;
  for (const CallerAttempt& it : attempts) {
    by_id[it.id] = it;
  }
  int stale = 0;
  for (const std::size_t old : {0, 1}) {
    for (const TargetRun& run : deployment.target(old).Runs()) {
      const CallerAttempt& attempt = by_id[run.id];
      if (attempt.sent > moved_at + kConfigApply &&
          attempt.sent > silent_at + kStableWindow) {
        ++stale;
        deployment.record().Write("run by the old service: " + run.id +
                                  ", answered " +
                                  std::to_string(attempt.status));
      }
    }
  }
  const std::string summary =
      std::to_string(attempts.size()) + " requests; " + std::to_string(stale) +
      " were run by the old service later than the configuration had to be "
      "applied";
  deployment.record().Write(summary);
  std::puts(summary.c_str());
  return stale > 0 ? kBroken : kHeld;
}

int Run(const CaseArguments& arguments) {
  Deployment deployment(arguments, {{.id = "t-0", .service = "portal"},
                                    {.id = "t-1", .service = "portal"},
                                    {.id = "t-2", .service = "archive"},
                                    {.id = "t-3", .service = "archive"}});
  if (!deployment.Start(
          Configuration(3, {ReceiptsRoute("portal")}, {"portal", "archive"}))) {
    return kCannotRun;
  }
  Record& record = deployment.record();
  Callers callers({}, deployment.ports(), kCallersPerInstance, record);
  deployment.BeginHeartbeats(deployment.target(3));
  // Each instance has been waiting for changes for 0.2 s by then: they pause
  // for 0.8 s after each one.
  Sleep(8.2);
  const double silent_at = record.Now();
  if (arguments.trouble) {
    record.Write("open connections to the store go silent");
    for (std::size_t i = 0; i < deployment.instance_count(); ++i) {
      deployment.store_link(i).SilenceOpenConnections();
    }
  }
  Sleep(0.5);
  deployment.store().Put(
      "op/config",
      Configuration(7, {ReceiptsRoute("archive")}, {"portal", "archive"}));
  const double moved_at = record.Now();
  record.Write("the store has accepted the new configuration");
  Sleep(8);
  callers.Stop();
  return Judge(deployment, callers.Attempts(), silent_at, moved_at);
}

}  // namespace
}  // namespace lynxglade::review

int main(int argc, char** argv) {
  return lynxglade::review::Run(lynxglade::review::ParseArguments(argc, argv));
}
