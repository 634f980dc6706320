// A target leaves 3.1 s after a short outage of the store. Fails if requests
// reach it later than the drain time after the store accepted its leaving.
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "review/stand_ins/deployment.h"

namespace lynxglade::review {
namespace {

constexpr int kCallersPerInstance = 10;
constexpr double kOutage = 1;

// Requests that callers sent to machines in touch, and that reached the target
// too late.
int Judge(Deployment& deployment,
          Target& leaving,
          const std::vector<CallerAttempt>& attempts,
          double stable_at,
          double left_at) {
  std::map<std::string, CallerAttempt> by_id;
  for (const CallerAttempt& it : attempts) {
    by_id[it.id] = it;
  }
  int late = 0;
  int lost = 0;
  for (const TargetRun& run : leaving.Runs()) {
    const CallerAttempt& attempt = by_id[run.id];
    if (run.began <= left_at + kDrain || attempt.sent <= stable_at) {
      continue;
    }
    ++late;
    lost += attempt.status == 200 ? 0 : 1;
    deployment.record().Write("late at the target: " + run.id + ", answered " +
                              std::to_string(attempt.status));
  }
  const std::string summary =
      std::to_string(attempts.size()) + " requests; " + std::to_string(late) +
      " reached the target later than the drain time after its leaving was "
      "accepted, of these " +
      std::to_string(lost) + " got no success";
  deployment.record().Write(summary);
  std::puts(summary.c_str());
  return late > 0 ? kBroken : kHeld;
}

int Run(const CaseArguments& arguments) {
  Deployment deployment(arguments, {{.id = "t-0", .service = "portal"},
                                    {.id = "t-1", .service = "portal"},
                                    {.id = "t-2", .service = "portal"},
                                    {.id = "t-3", .service = "portal"}});
  if (!deployment.Start(
          Configuration(3, {ReceiptsRoute("portal")}, {"portal"}))) {
    return kCannotRun;
  }
  Record& record = deployment.record();
  Callers callers({}, deployment.ports(), kCallersPerInstance, record);
  Sleep(5);
  // A change of the configuration, after which each instance pauses for 0.8 s
  // before it watches the store again.
  deployment.store().Put(
      "op/config", Configuration(7, {ReceiptsRoute("portal")}, {"portal"}));
  record.Write("the store has accepted a new configuration");
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
  Sleep(kStableWindow + 0.1);
  Target& leaving = deployment.target(0);
  deployment.store().Remove(leaving.Key());
  const double left_at = record.Now();
  record.Write("the store has accepted that the target t-0 leaves");
  Sleep(kDrain + 0.8);
  leaving.End();
  Sleep(3);
  callers.Stop();
  return Judge(deployment, leaving, callers.Attempts(), stable_at, left_at);
}

}  // namespace
}  // namespace lynxglade::review

int main(int argc, char** argv) {
  return lynxglade::review::Run(lynxglade::review::ParseArguments(argc, argv));
}
