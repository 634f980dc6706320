#include "review/stand_ins/crashing_request.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

namespace lynxglade::review {

namespace {

constexpr int kCallers = 12;
constexpr std::size_t kTargets = 8;
constexpr int kAllowedRetries = 3;
constexpr int kCopies = 16;

int Judge(Deployment& deployment,
          const std::vector<CallerAttempt>& copies,
          const std::vector<CallerAttempt>& others) {
  std::map<std::string, double> sent;
  for (const CallerAttempt& it : copies) {
    sent[it.id] = it.sent;
  }
  std::map<std::string, int> status;
  for (const CallerAttempt& it : others) {
    status[it.id] = it.status;
  }
  std::vector<double> crashes;
  std::vector<double> crashing_sent;
  int lost = 0;
  for (std::size_t i = 0; i < kTargets; ++i) {
    for (const TargetRun& it : deployment.target(i).Runs()) {
      if (it.crashed) {
        crashes.push_back(it.began);
        crashing_sent.push_back(sent[it.id]);
      } else if (!it.done && status[it.id] != 200) {
        ++lost;
      }
    }
  }
  std::ranges::sort(crashes);
  const auto is_late = [&crashes](double it) {
    return crashes.size() >= 3 && it > crashes[2] + kStableWindow;
  };
  const auto retries = std::ranges::count_if(crashing_sent, is_late);
  const std::string summary =
      "the request crashed " + std::to_string(crashes.size()) + " targets, " +
      std::to_string(retries) +
      " of them sent later than the stable window after the third crash; " +
      std::to_string(lost) + " of " + std::to_string(others.size()) +
      " other requests were running at a target that crashed and got no "
      "success";
  deployment.record().Write(summary);
  std::puts(summary.c_str());
  return retries > kAllowedRetries ? kBroken : kHeld;
}

}  // namespace

int RunCrashingRequest(const CaseArguments& arguments,
                       const CrashingRequestOptions& options) {
  std::vector<TargetSettings> targets;
  for (std::size_t i = 0; i < kTargets; ++i) {
    targets.push_back({.id = "t-" + std::to_string(i),
                       .service = "portal",
                       .goes_dark = options.goes_dark});
  }
  Deployment deployment(arguments, targets);
  if (!deployment.Start(
          Configuration(3, {ReceiptsRoute("portal")}, {"portal"}))) {
    return kCannotRun;
  }
  Record& record = deployment.record();
  const std::uint16_t port = deployment.instance(0).port();
  Callers callers({}, {port}, kCallers, record);
  Sleep(8);
  if (options.on_begin) {
    options.on_begin(deployment);
  }
  Sleep(0.5);
  const CallerSettings crashing{.body = kCrashingBody};
  std::vector<CallerAttempt> copies;
  for (int i = 0; i < kCopies; ++i) {
    copies.push_back(
        SendOnce(crashing, port, "crashing-" + std::to_string(i), record));
    Sleep(1);
  }
  callers.Stop();
  return Judge(deployment, copies, callers.Attempts());
}

}  // namespace lynxglade::review
