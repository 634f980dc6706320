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
// The system refused, or somebody else's change came first.
inline constexpr int kExitRefused = 1;
inline constexpr int kExitUsage = 2;
// No instance answered, or it could not reach what it needed.
inline constexpr int kExitUnreachable = 3;

struct CtlOptions {
  // "http://address:port" or "https://address:port" of any instance's
  // operators' port.
  std::string server;
  // From the flag or the environment; never printed.
  std::string operator_key;
  bool json = false;
  // plan: the statement's file, "-" for standard input.
  std::string file;
  // config show: the revision; 0 for the one in force.
  std::int64_t revision = 0;
  // audit: how many records.
  std::int64_t limit = 50;
  // https: file with the authority to trust; empty for the system's.
  std::string ca_file;
  // The subcommand and its arguments.
  std::vector<std::string> words;
};

// Reads argv and the environment. On nothing, `exit_code` says how to end:
// help and version were printed, or the fault was.
std::optional<CtlOptions> ParseCtlOptions(int argc,
                                          const char* const* argv,
                                          int* exit_code);

}  // namespace lynxglade::ctl

#endif  // LYNXGLADE_MAIN_CTL_OPTIONS_H_
