// The subcommands of lynxgladectl: the API call that each makes, and how its
// answer is printed.
#ifndef LYNXGLADE_MAIN_CTL_COMMANDS_H_
#define LYNXGLADE_MAIN_CTL_COMMANDS_H_

#include <functional>
#include <optional>
#include <string>

#include "main/ctl_client.h"
#include "main/ctl_options.h"

namespace lynxglade::ctl {

struct CtlResult {
  int exit_code = kExitOk;
  // Text for standard output and standard error.
  std::string out;
  std::string err;
};

// Returns the content of a file ("-": standard input), or nothing if it cannot
// be read.
using ReadFile = std::function<std::optional<std::string>(const std::string&)>;

// Runs the subcommand in options.words. Has no side effects besides the calls
// of `send` and `read_file`.
CtlResult RunCommand(const CtlOptions& options,
                     const CtlSend& send,
                     const ReadFile& read_file);

// One line per subcommand, for --help.
std::string CommandSummary();

}  // namespace lynxglade::ctl

#endif  // LYNXGLADE_MAIN_CTL_COMMANDS_H_
