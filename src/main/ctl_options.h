// The command line of lynxgladectl.
#ifndef LYNXGLADE_MAIN_CTL_OPTIONS_H_
#define LYNXGLADE_MAIN_CTL_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lynxglade::ctl {

// Exit codes, for scripts.
inline constexpr int kExitOk = 0;
// The system rejected the request, also because of a conflicting change.
inline constexpr int kExitRejected = 1;
inline constexpr int kExitUsage = 2;
// No instance answered, or the instance could not reach a service that it
// needs.
inline constexpr int kExitUnreachable = 3;

struct CtlOptions {
  // "http://address:port" or "https://address:port" of the administration port
  // of any instance.
  std::string server;
  // From the flag or the environment. Must never be printed.
  std::string operator_key;
  bool json = false;
  // plan: the file with the changes, "-" for standard input.
  std::string file;
  // config show: the revision, 0 for the one in force.
  std::int64_t revision = 0;
  // audit: maximum number of records.
  std::int64_t limit = 50;
  // https: file with the trusted CA certificate; empty for the system's.
  std::string ca_file;
  // The subcommand and its arguments.
  std::vector<std::string> words;
};

// Parses argv and the environment. If nothing is returned, the help, version or
// error was printed and the process should exit with `*exit_code`.
std::optional<CtlOptions> ParseCtlOptions(int argc,
                                          const char* const* argv,
                                          int* exit_code);

}  // namespace lynxglade::ctl

#endif  // LYNXGLADE_MAIN_CTL_OPTIONS_H_
