// A process is stopped while targets work on requests for longer than its grace
// period. Fails if a signal ends it instead of an exit. No rule of the pages is
// broken by that.
#include <cstdio>
#include <string>

#include "review/stand_ins/deployment.h"

namespace lynxglade::review {
namespace {

constexpr int kCallers = 20;
constexpr Millis kLongWork{15'000};
constexpr Millis kShortWork{1000};

std::string LongRoute() {
  return R"({"name": "long", "pathPrefix": "/long/", "type": "non_idempotent",
             "timeoutMs": 20000, "targetLatencyMs": 800, "priority": 2,
             "maxAttempts": 1, "backend": "portal"})";
}

int Run(const CaseArguments& arguments) {
  Deployment deployment(arguments,
                        {{.id = "t-0",
                          .service = "portal",
                          .work = arguments.trouble ? kLongWork : kShortWork,
                          .slots = 24}},
                        1);
  if (!deployment.Start(Configuration(3, {LongRoute()}, {"portal"}))) {
    return kCannotRun;
  }
  Record& record = deployment.record();
  Callers callers({.path = "/long/1", .timeout = Millis(20'000)},
                  deployment.ports(), kCallers, record);
  Sleep(2);
  record.Write("SIGTERM");
  const int signal = deployment.instance(0).Terminate();
  callers.Stop();
  const std::string summary =
      signal == 0 ? "the process exited"
                  : "signal " + std::to_string(signal) + " ended the process";
  record.Write(summary);
  std::puts(summary.c_str());
  return signal == 0 ? kHeld : kBroken;
}

}  // namespace
}  // namespace lynxglade::review

int main(int argc, char** argv) {
  return lynxglade::review::Run(lynxglade::review::ParseArguments(argc, argv));
}
