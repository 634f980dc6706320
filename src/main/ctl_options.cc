#include "main/ctl_options.h"

#include <cstdlib>
#include <iostream>

#include <tclap/CmdLine.h>

#include "main/ctl_commands.h"

namespace lynxglade::ctl {
namespace {

constexpr char kDefaultServer[] = "http://127.0.0.1:8081";

std::string Environment(const char* name, const std::string& fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : text;
}

}  // namespace

std::optional<CtlOptions> ParseCtlOptions(int argc,
                                          const char* const* argv,
                                          int* exit_code) {
  CtlOptions options;
  *exit_code = kExitUsage;
  try {
    TCLAP::CmdLine line("Drives a lynxglade system. Subcommands:\n" +
                            CommandSummary() +
                            "Exit codes: 0 done, 1 refused or conflict, 2 "
                            "wrong usage, 3 unreachable.",
                        ' ', "0.1.0");
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> server(
        "", "server",
        "operators' port of any instance (LYNXGLADE_SERVER; default " +
            std::string(kDefaultServer) + ")",
        false, Environment("LYNXGLADE_SERVER", kDefaultServer), "url", line);
    TCLAP::ValueArg<std::string> key(
        "", "operator-key",
        "operator key; better given as LYNXGLADE_OPERATOR_KEY, since other "
        "users can read a command line",
        false, "", "key", line);
    TCLAP::ValueArg<std::string> ca(
        "", "ca-file", "authority to trust for https (LYNXGLADE_CA_FILE)",
        false, Environment("LYNXGLADE_CA_FILE", ""), "file", line);
    TCLAP::SwitchArg json("", "json", "print the answer as JSON", line);
    TCLAP::ValueArg<std::string> file(
        "f", "file", "plan: the statement, JSON; - for standard input", false,
        "", "file", line);
    TCLAP::ValueArg<std::int64_t> revision("", "revision",
                                           "config show: an older revision",
                                           false, 0, "number", line);
    TCLAP::ValueArg<std::int64_t> limit("", "limit", "audit: how many records",
                                        false, 50, "number", line);
    TCLAP::UnlabeledMultiArg<std::string> words("subcommand",
                                                "what to do, and its arguments",
                                                false, "subcommand", line);
    line.parse(argc, argv);
    options = {server.getValue(),
               key.isSet() ? key.getValue()
                           : Environment("LYNXGLADE_OPERATOR_KEY", ""),
               json.getValue(),
               file.getValue(),
               revision.getValue(),
               limit.getValue(),
               ca.getValue(),
               words.getValue()};
  } catch (const TCLAP::ArgException& e) {
    std::cerr << "lynxgladectl: " << e.argId() << ": " << e.error() << "\n";
    return std::nullopt;
  } catch (const TCLAP::ExitException& e) {
    // Thrown for --help and --version.
    *exit_code = e.getExitStatus();
    return std::nullopt;
  }
  return options;
}

}  // namespace lynxglade::ctl
