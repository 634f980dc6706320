// The subcommands of lynxgladectl: which call each makes, and how its answer
// is shown.
#ifndef LYNXGLADE_MAIN_CTL_COMMANDS_H_
#define LYNXGLADE_MAIN_CTL_COMMANDS_H_

#include <functional>
#include <optional>
#include <string>

#include "main/ctl_client.h"
#include "main/ctl_options.h"

namespace lynxglade::ctl {

// What a run of the tool comes to.
struct CtlResult {
  int exit_code = kExitOk;
  // For standard output and standard error.
  std::string out;
  std::string err;
};

// Reads a file ("-": standard input); nothing when it cannot be read.
using ReadFile = std::function<std::optional<std::string>(const std::string&)>;

// Makes the call that the options ask for. Pure but for its hooks.
CtlResult RunCommand(const CtlOptions& options,
                     const CtlSend& send,
                     const ReadFile& read_file);

// One line a subcommand, for --help.
std::string CommandSummary();

}  // namespace lynxglade::ctl

#endif  // LYNXGLADE_MAIN_CTL_COMMANDS_H_
