#include "process/entry_settings.h"

#include <chrono>
#include <cstdlib>
#include <sstream>
#include <string>
#include <vector>

#include "base/whole_number.h"
#include "process/option_table.h"

namespace lynxglade::process {

namespace {

using OptionParser = process::OptionParser<EntrySettings>;
using Option = process::Option<EntrySettings>;
using ParseError = std::optional<std::string>;

constexpr std::size_t kMaxNameLength = 128;
constexpr std::int64_t kMaxConnections = 20'000;
constexpr double kMinSeconds = 0.1;
constexpr double kMaxSeconds = 3600;
constexpr double kMaxMillis = 600'000;
constexpr double kMaxAllowance = 1'000'000;
constexpr double kMaxLinkMbps = 1'000'000;

template <typename Id>
OptionParser IdParser(Id EntrySettings::* member) {
  return
      [member](EntrySettings& settings, const std::string& text) -> ParseError {
        if (text.size() > kMaxNameLength) {
          return "a name of at most 128 bytes";
        }
        settings.*member = Id(text);
        return std::nullopt;
      };
}

// Parses any form of number that strtod accepts.
std::optional<double> ParseNumber(const std::string& text,
                                  double min_value,
                                  double max_value) {
  char* end = nullptr;
  const double n = std::strtod(text.c_str(), &end);
  if (end != text.c_str() + text.size() ||
      !(n >= min_value && n <= max_value)) {
    return std::nullopt;
  }
  return n;
}

std::string NumberRange(double min_value, double max_value) {
  return "a number from " + std::to_string(min_value) + " to " +
         std::to_string(max_value);
}

OptionParser NumberParser(double EntrySettings::* member,
                          double min_value,
                          double max_value) {
  return [=](EntrySettings& settings, const std::string& text) -> ParseError {
    const auto n = ParseNumber(text, min_value, max_value);
    if (!n) {
      return NumberRange(min_value, max_value);
    }
    settings.*member = *n;
    return std::nullopt;
  };
}

// Accepts fractions of seconds, as platforms may pass them.
OptionParser SecondsParser(base::Duration EntrySettings::* member,
                           double min_value,
                           double max_value) {
  return [=](EntrySettings& settings, const std::string& text) -> ParseError {
    const auto n = ParseNumber(text, min_value, max_value);
    if (!n) {
      return NumberRange(min_value, max_value) + " of seconds";
    }
    settings.*member = std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(*n));
    return std::nullopt;
  };
}

// The same in milliseconds.
OptionParser MillisParser(base::Duration EntrySettings::* member,
                          double min_value,
                          double max_value) {
  return [=](EntrySettings& settings, const std::string& text) -> ParseError {
    const auto n = ParseNumber(text, min_value, max_value);
    if (!n) {
      return NumberRange(min_value, max_value) + " of milliseconds";
    }
    settings.*member = base::FromFineMillis(*n);
    return std::nullopt;
  };
}

// Duties that this version does not know are kept: a platform may have more.
OptionParser DutiesParser() {
  return [](EntrySettings& settings, const std::string& text) -> ParseError {
    settings.duties.clear();
    std::istringstream names(text);
    for (std::string name; std::getline(names, name, ',');) {
      if (name.empty() || name.size() > kMaxNameLength) {
        return "comma-separated names of at most 128 bytes";
      }
      settings.duties.insert(name);
    }
    return std::nullopt;
  };
}

std::vector<Option> AllOptions() {
  return {
      {"instance-id", "", true, "name of this instance",
       IdParser(&EntrySettings::instance)},
      {"zone", "", true, "availability zone of this instance",
       IdParser(&EntrySettings::zone)},
      {"listen", "", true, "address and port for callers",
       EndpointParser(&EntrySettings::listen)},
      {"health-listen", "", true,
       "address and port for readiness checks and metrics",
       EndpointParser(&EntrySettings::health_listen)},
      {"store", "", true, "address and port of the platform's key-value store",
       EndpointParser(&EntrySettings::store)},
      {"peer-listen", "", false,
       "address and port for messages of other instances; without it this "
       "instance uses only its own observations",
       EndpointParser(&EntrySettings::peer_listen)},
      {"link-mbps", "0", false,
       "rate of this instance's link in Mbit/s, 0 if unknown; instances with "
       "faster links relay changes of the store to the others",
       NumberParser(&EntrySettings::link_mbps, 0, kMaxLinkMbps)},
      {"store-link-mbps", "1000", false,
       "rate of the store's link in Mbit/s; instances that no relay serves "
       "list "
       "the store in turns, so that they do not exceed it",
       NumberParser(&EntrySettings::store_link_mbps, 1, kMaxLinkMbps)},
      {"log-level", "info", false, "debug, info, warning or error",
       LogLevelParser(&EntrySettings::log_level)},
      {"max-connections", "1500", false,
       "maximum number of concurrent caller connections; further ones are "
       "closed",
       IntegerParser<std::int64_t>(&EntrySettings::max_connections, 1,
                                   kMaxConnections)},
      {"stop-grace", "8", false, "maximum seconds from SIGTERM to exit",
       SecondsParser(&EntrySettings::stop_grace, kMinSeconds, kMaxSeconds)},
      {"order-quiet-ms", "4500", false,
       "milliseconds from acquiring the authority over engines to the first "
       "order; more than the platform's minimum gap between two holders",
       IntegerParser<std::chrono::milliseconds>(
           &EntrySettings::order_takeover_delay, 1, 600'000)},
      {"target-heartbeat-ms", "1200", false,
       "interval at which targets write their entries to the store",
       MillisParser(&EntrySettings::target_heartbeat, 0, kMaxMillis)},
      {"holder-gap-ms", "3000", false,
       "the platform's minimum gap, in milliseconds, between calls of two "
       "holders of the duties",
       MillisParser(&EntrySettings::holder_gap, 0, kMaxMillis)},
      {"duty-calls", "", false,
       "address and port of the platform's calls that one instance at a time "
       "makes; without it none are made",
       EndpointParser(&EntrySettings::duty_calls)},
      {"duties", "", false,
       "comma-separated duties that the platform expects: usage, scaling",
       DutiesParser()},
      {"usage-window", "5", false,
       "length in seconds of the windows of usage reports",
       SecondsParser(&EntrySettings::usage_window, kMinSeconds, kMaxSeconds)},
      {"usage-due", "10", false,
       "seconds after the end of a window by which its usage report must have "
       "arrived",
       SecondsParser(&EntrySettings::usage_due, kMinSeconds, kMaxSeconds)},
      {"usage-tolerance", "0.05", false,
       "relative error of a usage report that the platform tolerates",
       NumberParser(&EntrySettings::usage_tolerance, 0, 1)},
      {"retry-ratio", "0.2", false,
       "arrivals at targets beyond the first of each request, per request, "
       "over all instances",
       NumberParser(&EntrySettings::retry_ratio, 0, 10)},
      {"decode-share", "0.25", false,
       "minimum fraction of a service's engines that decode; the others "
       "prefill",
       NumberParser(&EntrySettings::decode_share, 0, 1)},
      {"retry-allowance", "50", false,
       "such arrivals per window that are allowed in addition to the ratio",
       NumberParser(&EntrySettings::retry_allowance, 0, kMaxAllowance)},
      {"retry-window", "10", false,
       "sliding window of the retry budget, in seconds",
       SecondsParser(&EntrySettings::retry_window, kMinSeconds, kMaxSeconds)},
  };
}

}  // namespace

std::optional<EntrySettings> ParseEntrySettings(int argc,
                                                const char* const* argv,
                                                SettingsFault* fault) {
  const auto settings = ParseOptions<EntrySettings>(
      "One entry instance of lynxglade on a platform whose store holds the "
      "targets and the configuration. Each flag can be given by the "
      "environment variable named in parentheses; the flag takes precedence.",
      AllOptions(), argc, argv, fault);
  if (!settings || !fault->lines.empty()) {
    return std::nullopt;
  }
  return settings;
}

}  // namespace lynxglade::process
