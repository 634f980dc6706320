// Parses command-line flags and environment variables by a table of options.
//
// Include only from .cc files that define such a table, as this header includes
// TCLAP.
#ifndef LYNXGLADE_PROCESS_OPTION_TABLE_H_
#define LYNXGLADE_PROCESS_OPTION_TABLE_H_

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <functional>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include <tclap/CmdLine.h>

#include "base/log.h"
#include "base/whole_number.h"
#include "process/endpoint.h"
#include "process/settings_fault.h"

namespace lynxglade::process {

// Parses the text into the settings. Returns nullopt on success, else a
// description of the expected values.
template <typename S>
using OptionParser =
    std::function<std::optional<std::string>(S&, const std::string&)>;

// One setting.
template <typename S>
struct Option {
  std::string flag;
  std::string default_text;
  bool required = false;
  std::string description;
  OptionParser<S> parse;
};

// Returns "LYNXGLADE_LISTEN" for "listen".
inline std::string EnvironmentName(const std::string& flag) {
  std::string name = "LYNXGLADE_";
  std::ranges::transform(flag, std::back_inserter(name), [](unsigned char c) {
    return c == '-' ? '_' : static_cast<char>(std::toupper(c));
  });
  return name;
}

template <typename S>
std::string HelpText(const Option<S>& option) {
  std::string text = option.description;
  if (!option.default_text.empty()) {
    text += " [default: " + option.default_text + "]";
  }
  return text + " (" + EnvironmentName(option.flag) + ")";
}

// Returns the text of the flag, else of the environment variable, else the
// default.
template <typename S>
std::string ResolveText(const Option<S>& option,
                        const TCLAP::ValueArg<std::string>& arg) {
  if (arg.isSet()) {
    return arg.getValue();
  }
  const char* variable = std::getenv(EnvironmentName(option.flag).c_str());
  return variable != nullptr ? variable : option.default_text;
}

template <typename S>
void ApplyOption(const Option<S>& option,
                 const std::string& text,
                 S& settings,
                 SettingsFault& fault) {
  const std::string name = "--" + option.flag;
  if (text.empty()) {
    if (option.required) {
      fault.lines.push_back(name + " (or " + EnvironmentName(option.flag) +
                            ") is missing: " + option.description);
    }
    return;
  }
  if (const auto expected = option.parse(settings, text)) {
    fault.lines.push_back(name + ": invalid value '" + text + "'; expected " +
                          *expected);
  }
}

// --- Parsers shared by the tables -------------------------------------------

// Parses an IP address and a port into an Endpoint or an optional one.
template <typename S, typename T>
OptionParser<S> EndpointParser(T S::* member) {
  return [member](S& settings,
                  const std::string& text) -> std::optional<std::string> {
    const auto endpoint = ParseEndpoint(text);
    if (!endpoint) {
      return "an IP address and a port, such as 127.0.0.1:8080";
    }
    settings.*member = *endpoint;
    return std::nullopt;
  };
}

// Parses an integer number of `Unit` into any member that converts from it.
template <typename Unit, typename S, typename T>
OptionParser<S> IntegerParser(T S::* member,
                              std::int64_t min_value,
                              std::int64_t max_value) {
  return
      [=](S& settings, const std::string& text) -> std::optional<std::string> {
        const auto n = base::ParseWhole(text, min_value, max_value);
        if (!n) {
          constexpr bool kSeconds = std::is_same_v<Unit, std::chrono::seconds>;
          return std::string(kSeconds ? "whole seconds" : "a whole number") +
                 " from " + std::to_string(min_value) + " to " +
                 std::to_string(max_value);
        }
        settings.*member = static_cast<T>(Unit(*n));
        return std::nullopt;
      };
}

template <typename S>
OptionParser<S> LogLevelParser(base::LogLevel S::* member) {
  return [member](S& settings,
                  const std::string& text) -> std::optional<std::string> {
    if (!base::ParseLogLevel(text, &(settings.*member))) {
      return "debug, info, warning or error";
    }
    return std::nullopt;
  };
}

// --- Command line -----------------------------------------------------------

// Splits "--flag=value" into the two words that TCLAP expects.
inline std::vector<std::string> SplitAssignments(int argc,
                                                 const char* const* argv) {
  std::vector<std::string> words;
  for (const std::string_view word :
       std::vector<std::string_view>(argv, argv + argc)) {
    const std::size_t equals = word.find('=');
    if (!word.starts_with("--") || equals == std::string_view::npos) {
      words.emplace_back(word);
      continue;
    }
    words.emplace_back(word.substr(0, equals));
    words.emplace_back(word.substr(equals + 1));
  }
  return words;
}

// Reads argv, then the environment, then the defaults. Invalid values are added
// to `fault->lines`, which the caller must check. Returns nullopt if argv
// cannot be parsed or --help or --version was handled.
template <typename S>
std::optional<S> ParseOptions(const std::string& title,
                              const std::vector<Option<S>>& options,
                              int argc,
                              const char* const* argv,
                              SettingsFault* fault) {
  TCLAP::CmdLine command(title, ' ', "0.1.0");
  command.setExceptionHandling(false);
  // TCLAP keeps pointers to the arguments and prints them in reverse order.
  std::deque<TCLAP::ValueArg<std::string>> args;
  for (auto it = options.rbegin(); it != options.rend(); ++it) {
    args.emplace_front("", it->flag, HelpText(*it), false, "", "value",
                       command);
  }
  try {
    std::vector<std::string> words = SplitAssignments(argc, argv);
    command.parse(words);
  } catch (const TCLAP::ExitException&) {
    fault->handled = true;
    return std::nullopt;
  } catch (const TCLAP::ArgException& e) {
    fault->lines.push_back(e.argId() + ": " + e.error());
    return std::nullopt;
  }
  S settings;
  for (std::size_t i = 0; i < options.size(); ++i) {
    ApplyOption(options[i], ResolveText(options[i], args[i]), settings, *fault);
  }
  return settings;
}

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_OPTION_TABLE_H_
