// A target leaves, and a route is moved to another service, after a short
// outage of the store. Fails if requests reach the target later than the drain
// time after the store accepted its leaving.
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "review/stand_ins/deployment.h"

namespace lynxglade::review {
namespace {

constexpr int kCallersPerInstance = 10;
constexpr int kMovedCallersPerInstance = 4;
constexpr double kOutage = 1;

std::string NotesRoute(const std::string& service) {
  return R"({"name": "notes", "pathPrefix": "/notes/",
             "type": "non_idempotent", "timeoutMs": 1000,
             "targetLatencyMs": 150, "priority": 2, "maxAttempts": 1,
             "backend": ")" +
         service + "\"}";
}

std::string ConfigurationWithNotes(int version, const std::string& service) {
  return Configuration(version, {ReceiptsRoute("portal"), NotesRoute(service)},
                       {"portal", "archive"});
}

// When what happened, in seconds since the start.
struct Times {
  // The store has been back for so long that machines are in touch.
  double stable = 0;
  double moved = 0;
  double left = 0;
};

std::map<std::string, CallerAttempt> ById(
    const std::vector<CallerAttempt>& attempts) {
  std::map<std::string, CallerAttempt> by_id;
  for (const CallerAttempt& it : attempts) {
    by_id[it.id] = it;
  }
  return by_id;
}

// Requests that callers sent to machines in touch, and that reached the target
// too late.
bool IsDrainBroken(Deployment& deployment,
                   Target& leaving,
                   const std::vector<CallerAttempt>& attempts,
                   const Times& times) {
  auto by_id = ById(attempts);
  int late = 0;
  int lost = 0;
  for (const TargetRun& run : leaving.Runs()) {
    const auto attempt = by_id.find(run.id);
    if (attempt == by_id.end() || run.began <= times.left + kDrain ||
        attempt->second.sent <= times.stable) {
      continue;
    }
    ++late;
    lost += attempt->second.status == 200 ? 0 : 1;
    deployment.record().Write("late at the target: " + run.id + ", answered " +
                              std::to_string(attempt->second.status));
  }
  const std::string summary =
      std::to_string(attempts.size()) + " requests; " + std::to_string(late) +
      " reached the target later than the drain time after its leaving was "
      "accepted, of these " +
      std::to_string(lost) + " got no success";
  deployment.record().Write(summary);
  std::puts(summary.c_str());
  return late > 0;
}

// Requests of the route that moved which targets of the old service ran too
// late. They break another rule, and are only recorded.
void CountStale(Deployment& deployment,
                const std::vector<CallerAttempt>& attempts,
                const Times& times) {
  auto by_id = ById(attempts);
  int stale = 0;
  for (const std::size_t old : {0, 1, 2, 3}) {
    for (const TargetRun& run : deployment.target(old).Runs()) {
      const auto attempt = by_id.find(run.id);
      if (attempt == by_id.end() ||
          attempt->second.sent <= times.moved + kConfigApply ||
          attempt->second.sent <= times.stable) {
        continue;
      }
      ++stale;
      deployment.record().Write("run by the old service: " + run.id +
                                ", answered " +
                                std::to_string(attempt->second.status));
    }
  }
  const std::string summary =
      std::to_string(attempts.size()) + " requests of the route that moved; " +
      std::to_string(stale) +
      " were run by the old service later than the configuration had to be "
      "applied";
  deployment.record().Write(summary);
  std::puts(summary.c_str());
}

void HaveOutage(Deployment& deployment, bool trouble) {
  Record& record = deployment.record();
  if (trouble) {
    record.Write("the store is down");
    deployment.SetStoreDown(true);
  }
  Sleep(kOutage);
  if (trouble) {
    record.Write("the store is back");
    deployment.SetStoreDown(false);
  }
}

int Run(const CaseArguments& arguments) {
  Deployment deployment(arguments, {{.id = "t-0", .service = "portal"},
                                    {.id = "t-1", .service = "portal"},
                                    {.id = "t-2", .service = "portal"},
                                    {.id = "t-3", .service = "portal"},
                                    {.id = "t-4", .service = "archive"},
                                    {.id = "t-5", .service = "archive"}});
  if (!deployment.Start(ConfigurationWithNotes(3, "portal"))) {
    return kCannotRun;
  }
  Record& record = deployment.record();
  Callers callers({}, deployment.ports(), kCallersPerInstance, record);
  Callers moved({.path = "/notes/1", .name = "notes"}, deployment.ports(),
                kMovedCallersPerInstance, record);
  Sleep(5);
  // A change of the configuration, after which each instance pauses for 0.8 s
  // before it watches the store again.
  deployment.store().Put("op/config", ConfigurationWithNotes(7, "portal"));
  record.Write("the store has accepted a configuration with the same routes");
  Sleep(0.1);
  HaveOutage(deployment, arguments.trouble);
  Times times;
  times.stable = record.Now() + kStableWindow;
  Sleep(0.1);
  deployment.store().Put("op/config", ConfigurationWithNotes(12, "archive"));
  times.moved = record.Now();
  record.Write("the store has accepted that the route notes moves");
  Sleep(kStableWindow);
  Target& leaving = deployment.target(0);
  deployment.store().Remove(leaving.Key());
  times.left = record.Now();
  record.Write("the store has accepted that the target t-0 leaves");
  Sleep(kDrain + 0.8);
  leaving.End();
  Sleep(3);
  callers.Stop();
  moved.Stop();
  CountStale(deployment, moved.Attempts(), times);
  return IsDrainBroken(deployment, leaving, callers.Attempts(), times) ? kBroken
                                                                       : kHeld;
}

}  // namespace
}  // namespace lynxglade::review

int main(int argc, char** argv) {
  return lynxglade::review::Run(lynxglade::review::ParseArguments(argc, argv));
}
