// A route is moved to another service just after a short outage of the store.
// Fails if machines that are in touch let the old service run requests.
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "review/stand_ins/deployment.h"

namespace lynxglade::review {
namespace {

constexpr int kCallersPerInstance = 4;
constexpr double kOutage = 1;

int Judge(Deployment& deployment,
          const std::vector<CallerAttempt>& attempts,
          double stable_at,
          double moved_at) {
  std::map<std::string, CallerAttempt> by_id;
  for (const CallerAttempt& it : attempts) {
    by_id[it.id] = it;
  }
  int stale = 0;
  for (const std::size_t old : {0, 1}) {
    for (const TargetRun& run : deployment.target(old).Runs()) {
      const CallerAttempt& attempt = by_id[run.id];
      if (attempt.sent > moved_at + kConfigApply && attempt.sent > stable_at) {
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
  const auto configure = [](int version, const std::string& service) {
    return Configuration(version, {ReceiptsRoute(service)},
                         {"portal", "archive"});
  };
  if (!deployment.Start(configure(3, "portal"))) {
    return kCannotRun;
  }
  Record& record = deployment.record();
  Callers callers({}, deployment.ports(), kCallersPerInstance, record);
  Sleep(5);
  // After a change each instance pauses for 0.8 s before it watches the store
  // again.
  deployment.store().Put("op/config", configure(7, "portal"));
  record.Write("the store has accepted a configuration with the same route");
  Sleep(0.1);
  if (arguments.trouble) {
    record.Write("the store is down");
    deployment.SetStoreDown(true);
  }
  Sleep(kOutage);
  if (arguments.trouble) {
    record.Write("the store is back");
    deployment.SetStoreDown(false);
  }
  const double stable_at = record.Now() + kStableWindow;
  Sleep(0.1);
  deployment.store().Put("op/config", configure(12, "archive"));
  const double moved_at = record.Now();
  record.Write("the store has accepted that the route moves");
  Sleep(8);
  callers.Stop();
  return Judge(deployment, callers.Attempts(), stable_at, moved_at);
}

}  // namespace
}  // namespace lynxglade::review

int main(int argc, char** argv) {
  return lynxglade::review::Run(lynxglade::review::ParseArguments(argc, argv));
}
