// The store turns a third of nine machines away, the one that watches it for
// the others among them, and drops its history after a change of the
// configuration. Fails if the other machines let the old service run requests.
#include <algorithm>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "review/stand_ins/deployment.h"

namespace lynxglade::review {
namespace {

constexpr std::size_t kInstances = 9;
constexpr std::size_t kTurnedAway = 3;
constexpr int kCallersPerInstance = 3;
constexpr double kTurnedAwayFor = 9;

// The machines by index, the one that watches the store for the others first.
// Empty if none does.
std::vector<std::size_t> PrimaryFirst(Deployment& deployment) {
  std::vector<std::size_t> order;
  for (std::size_t i = 0; i < kInstances; ++i) {
    order.push_back(i);
  }
  const auto primary = std::ranges::find_if(order, [&](std::size_t i) {
    return deployment.instance(i).Shows(
        R"(lynxglade_watch_role{role="primary"} 1)");
  });
  if (primary == order.end()) {
    return {};
  }
  std::iter_swap(order.begin(), primary);
  return order;
}

struct Times {
  double dropped = 0;
  double moved = 0;
  double left = 0;
};

int Judge(Deployment& deployment,
          const std::vector<CallerAttempt>& attempts,
          const Times& times) {
  std::map<std::string, CallerAttempt> by_id;
  for (const CallerAttempt& it : attempts) {
    by_id[it.id] = it;
  }
  int stale = 0;
  int late = 0;
  int lost = 0;
  for (const std::size_t old : {0, 1}) {
    for (const TargetRun& run : deployment.target(old).Runs()) {
      const CallerAttempt& attempt = by_id[run.id];
      if (attempt.sent <= times.dropped + kStableWindow) {
        continue;
      }
      const bool is_stale = attempt.sent > times.moved + kConfigApply;
      const bool is_late = old == 0 && run.began > times.left + kDrain;
      stale += is_stale ? 1 : 0;
      late += is_late ? 1 : 0;
      lost += is_late && attempt.status != 200 ? 1 : 0;
      if (is_stale || is_late) {
        deployment.record().Write("run by the old service: " + run.id +
                                  ", answered " +
                                  std::to_string(attempt.status));
      }
    }
  }
  const std::string summary =
      std::to_string(attempts.size()) + " requests; " + std::to_string(stale) +
      " were run by the old service later than the configuration had to be "
      "applied, " +
      std::to_string(late) +
      " of them by a target later than the drain time after it left, of "
      "which " +
      std::to_string(lost) + " got no success";
  deployment.record().Write(summary);
  std::puts(summary.c_str());
  return stale > 0 ? kBroken : kHeld;
}

int Run(const CaseArguments& arguments) {
  Deployment deployment(arguments,
                        {{.id = "t-0", .service = "portal"},
                         {.id = "t-1", .service = "portal"},
                         {.id = "t-2", .service = "archive"},
                         {.id = "t-3", .service = "archive"}},
                        kInstances);
  if (!deployment.Start(
          Configuration(3, {ReceiptsRoute("portal")}, {"portal", "archive"}))) {
    return kCannotRun;
  }
  Record& record = deployment.record();
  Sleep(5);
  const std::vector<std::size_t> order = PrimaryFirst(deployment);
  if (order.empty()) {
    std::puts("no machine watches the store for the others");
    return kCannotRun;
  }
  std::vector<std::uint16_t> ports;
  for (std::size_t i = kTurnedAway; i < kInstances; ++i) {
    ports.push_back(deployment.instance(order[i]).port());
  }
  Callers callers({}, ports, kCallersPerInstance, record);
  Sleep(5);
  const auto set_turned_away = [&](bool away) {
    for (std::size_t i = 0; i < kTurnedAway && arguments.trouble; ++i) {
      deployment.store_link(order[i]).SetBusy(away);
    }
  };
  Times times;
  record.Write("the store turns a third of the machines away");
  set_turned_away(true);
  Sleep(0.3);
  deployment.store().Put(
      "op/config",
      Configuration(7, {ReceiptsRoute("archive")}, {"portal", "archive"}));
  times.moved = record.Now();
  record.Write("the store has accepted the new configuration");
  if (arguments.trouble) {
    deployment.store().DropHistory();
    record.Write("the store has dropped its history");
  }
  times.dropped = record.Now();
  Sleep(3.2);
  Target& leaving = deployment.target(0);
  deployment.store().Remove(leaving.Key());
  times.left = record.Now();
  record.Write("the store has accepted that the target t-0 leaves");
  Sleep(kDrain + 0.8);
  leaving.End();
  Sleep(kTurnedAwayFor - 6.3);
  set_turned_away(false);
  record.Write("the store serves all machines");
  Sleep(3);
  callers.Stop();
  return Judge(deployment, callers.Attempts(), times);
}

}  // namespace
}  // namespace lynxglade::review

int main(int argc, char** argv) {
  return lynxglade::review::Run(lynxglade::review::ParseArguments(argc, argv));
}
