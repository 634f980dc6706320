#include "main/ctl_commands.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/bounded_json.h"
#include "main/ctl_render.h"

namespace lynxglade::ctl {
namespace {

using nlohmann::json;

constexpr int kHttpUnavailable = 503;

struct Input {
  const CtlOptions& options;
  // The argument after the subcommand's words; empty if it takes none.
  std::string argument;
  // Content of --file.
  std::string file;
};

struct Command {
  std::vector<std::string> words;
  // Name of the argument; empty if there is none.
  std::string argument;
  bool needs_file = false;
  const char* summary;
  CtlRequest (*request)(const Input&);
  std::string (*render)(const json&);
};

bool IsWhole(const std::string& text) {
  return !text.empty() && text.size() < 19 &&
         std::ranges::all_of(text, [](char c) { return c >= '0' && c <= '9'; });
}

// Ids become path segments, so they must not contain delimiters or escapes.
bool IsPathSegment(const std::string& text) {
  return !text.empty() && std::ranges::none_of(text, [](unsigned char c) {
    return c <= ' ' || c == '/' || c == '?' || c == '#' || c == '%';
  });
}

template <const char* kPath>
CtlRequest GetPath(const Input&) {
  return {"GET", kPath, ""};
}

constexpr char kPlans[] = "/v1/admin/plans";
constexpr char kStatus[] = "/v1/admin/config/status";
constexpr char kContracts[] = "/v1/admin/contracts";
constexpr char kFleet[] = "/v1/admin/fleet";
constexpr char kInstances[] = "/v1/admin/instances";
constexpr char kQuarantine[] = "/v1/admin/quarantine";
constexpr char kCheck[] = "/v1/admin/check";

CtlRequest ShowConfig(const Input& in) {
  const std::int64_t revision = in.options.revision;
  return {"GET",
          "/v1/admin/config" +
              (revision > 0 ? "?revision=" + std::to_string(revision) : ""),
          ""};
}

CtlRequest RollBack(const Input& in) {
  return {"POST", kPlans, R"({"rollback_to":)" + in.argument + "}"};
}

CtlRequest Target(const Input& in, const std::string& verb) {
  return {"POST", "/v1/admin/targets/" + in.argument + "/" + verb, "{}"};
}

const std::vector<Command>& Commands() {
  static const std::vector<Command> commands = {
      {{"plan"},
       "",
       true,
       "state a change (-f file.json); answers with its plan",
       [](const Input& in) { return CtlRequest{"POST", kPlans, in.file}; },
       RenderPlan},
      {{"plans"}, "", false, "plans that wait", GetPath<kPlans>, RenderPlans},
      {{"show"},
       "plan",
       false,
       "one plan",
       [](const Input& in) {
         return CtlRequest{"GET", std::string(kPlans) + "/" + in.argument, ""};
       },
       RenderPlan},
      {{"confirm"},
       "plan",
       false,
       "put a plan in force",
       [](const Input& in) {
         return CtlRequest{
             "POST", std::string(kPlans) + "/" + in.argument + "/confirm", ""};
       },
       RenderConfirmed},
      {{"config", "show"},
       "",
       false,
       "the configuration in force, or --revision n",
       ShowConfig,
       RenderConfig},
      {{"config", "status"},
       "",
       false,
       "the revision that each instance holds",
       GetPath<kStatus>,
       RenderStatus},
      {{"config", "rollback"},
       "revision",
       false,
       "plan to go back to a revision",
       RollBack,
       RenderPlan},
      {{"config", "restore"},
       "",
       false,
       "put the configuration back into a service that lost it",
       [](const Input&) {
         return CtlRequest{"POST", "/v1/admin/config/restore", ""};
       },
       RenderConfirmed},
      {{"contracts"},
       "",
       false,
       "contracts and their intents",
       GetPath<kContracts>,
       RenderContracts},
      {{"audit"},
       "",
       false,
       "who confirmed what (--limit n)",
       [](const Input& in) {
         return CtlRequest{
             "GET", "/v1/admin/audit?limit=" + std::to_string(in.options.limit),
             ""};
       },
       RenderAudit},
      {{"fleet"},
       "",
       false,
       "engines: intended, ordered, observed, and why nothing moves",
       GetPath<kFleet>,
       RenderFleet},
      {{"drain"},
       "target",
       false,
       "let a target run dry",
       [](const Input& in) { return Target(in, "drain"); },
       RenderObject},
      {{"undrain"},
       "target",
       false,
       "give a drained target work again",
       [](const Input& in) { return Target(in, "undrain"); },
       RenderObject},
      {{"quarantine", "list"},
       "",
       false,
       "contents that crash their targets",
       GetPath<kQuarantine>,
       RenderQuarantine},
      {{"quarantine", "lift"},
       "content",
       false,
       "lift a mark",
       [](const Input& in) {
         return CtlRequest{"DELETE",
                           std::string(kQuarantine) + "/" + in.argument, ""};
       },
       RenderObject},
      {{"instances"},
       "",
       false,
       "entry instances as one of them sees them",
       GetPath<kInstances>,
       RenderInstances},
      {{"check"},
       "",
       false,
       "settings, and which outside services are reachable",
       GetPath<kCheck>,
       RenderCheck},
  };
  return commands;
}

CtlResult Usage(const std::string& reason) {
  return {kExitUsage, "",
          "lynxgladectl: " + reason + "\nsubcommands:\n" + CommandSummary()};
}

const Command* Find(const std::vector<std::string>& words) {
  const auto it = std::ranges::find_if(Commands(), [&](const Command& c) {
    return words.size() >= c.words.size() &&
           std::equal(c.words.begin(), c.words.end(), words.begin());
  });
  return it == Commands().end() ? nullptr : &*it;
}

// Whether the answer lists a service as not reachable.
bool AnyUnreachable(const json& body) {
  const json services = body.value("services", json::array());
  return std::ranges::any_of(services, [](const json& it) {
    const auto reachable = it.is_object() ? it.find("reachable") : it.end();
    return reachable != it.end() && *reachable == false;
  });
}

int ExitCodeOf(int status, const json& body) {
  if (status == kHttpUnavailable || AnyUnreachable(body)) {
    return kExitUnreachable;
  }
  return status >= 200 && status < 300 ? kExitOk : kExitRejected;
}

CtlResult Show(const CtlOptions& options,
               const Command& command,
               const CtlAnswer& answer) {
  const json body = base::ParseBoundedJson(answer.body).value_or(json());
  if (!body.is_object()) {
    return {kExitUnreachable, "",
            "lynxgladectl: " + options.server + " gave HTTP " +
                std::to_string(answer.status) + " without a JSON object\n"};
  }
  const int code = ExitCodeOf(answer.status, body);
  if (options.json) {
    return {code, body.dump(2) + "\n", ""};
  }
  if (body.contains("error")) {
    return {code, "", "lynxgladectl: " + RenderError(answer.status, body)};
  }
  return {code, command.render(body), ""};
}

// Checks the arguments and reads the file that the command needs. Returns why
// the usage is wrong, or nothing.
std::optional<std::string> ParseInput(const Command& command,
                                      const ReadFile& read_file,
                                      Input* input) {
  const std::vector<std::string>& words = input->options.words;
  const std::size_t expected_words =
      command.words.size() + (command.argument.empty() ? 0 : 1);
  if (words.size() != expected_words) {
    return command.argument.empty()
               ? command.words.front() + " takes no more arguments"
               : command.words.back() +
                     " takes one argument: " + command.argument;
  }
  if (!command.argument.empty()) {
    input->argument = words.back();
    const bool valid = command.argument == "revision"
                           ? IsWhole(input->argument)
                           : IsPathSegment(input->argument);
    if (!valid) {
      return "'" + input->argument + "' is no " + command.argument;
    }
  }
  if (!command.needs_file) {
    return std::nullopt;
  }
  if (input->options.file.empty()) {
    return command.words.front() + " needs -f file.json";
  }
  std::optional<std::string> text = read_file(input->options.file);
  if (!text) {
    return "cannot read " + input->options.file;
  }
  input->file = std::move(*text);
  return std::nullopt;
}

}  // namespace

CtlResult RunCommand(const CtlOptions& options,
                     const CtlSend& send,
                     const ReadFile& read_file) {
  if (options.words.empty()) {
    return Usage("a subcommand is missing");
  }
  const Command* command = Find(options.words);
  if (command == nullptr) {
    return Usage("there is no subcommand " + options.words.front());
  }
  Input input{options, {}, {}};
  if (const auto fault = ParseInput(*command, read_file, &input)) {
    return Usage(*fault);
  }
  const std::optional<CtlAnswer> answer = send(command->request(input));
  if (!answer) {
    return {kExitUnreachable, "",
            "lynxgladectl: no answer from " + options.server + "\n"};
  }
  return Show(options, *command, *answer);
}

std::string CommandSummary() {
  std::string text;
  for (const Command& it : Commands()) {
    std::string name = "  ";
    for (const std::string& word : it.words) {
      name += word + " ";
    }
    if (!it.argument.empty()) {
      name += "<" + it.argument + "> ";
    }
    name.resize(std::max<std::size_t>(name.size(), 30), ' ');
    text += name + it.summary + "\n";
  }
  return text;
}

}  // namespace lynxglade::ctl
