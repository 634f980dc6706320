// Structured logs: one JSON object a line.
//
// The sink is Boost.Log; this header names none of its types, so that it is
// cheap to include.
#ifndef LYNXGLADE_BASE_LOG_H_
#define LYNXGLADE_BASE_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>

namespace lynxglade::base {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// One named value of a log line. Secrets must never be passed.
struct LogField {
  std::string_view name;
  std::variant<std::string, std::int64_t, double, bool> value;

  LogField(std::string_view n, std::string v) : name(n), value(std::move(v)) {}
  LogField(std::string_view n, std::string_view v)
      : name(n), value(std::string(v)) {}
  LogField(std::string_view n, const char* v)
      : name(n), value(std::string(v)) {}
  LogField(std::string_view n, double v) : name(n), value(v) {}
  LogField(std::string_view n, bool v) : name(n), value(v) {}
  template <typename Int>
    requires std::is_integral_v<Int>
  LogField(std::string_view n, Int v)
      : name(n), value(static_cast<std::int64_t>(v)) {}
};

// Where lines go.
enum class LogOutput {
  // Waits for whoever reads it.
  kStandardError,
  // Never waits: a line that does not fit the pipe, or that comes after too
  // many others within a second, is dropped and counted; the next line that is
  // written says how many were lost ("dropped_lines").
  kStandardOutput,
};

// Sends lines of `threshold` and above to `output`, each with the time in Unix
// milliseconds, the level, the instance and the event. Call once, before the
// first thread starts; without it Log() drops its lines.
void InitLog(LogLevel threshold,
             std::string_view instance,
             LogOutput output = LogOutput::kStandardError);

// Reads "debug", "info", "warning" or "error"; returns false on other text.
bool ParseLogLevel(std::string_view text, LogLevel* level) noexcept;

// Writes one line. `event` is a stable lower_snake_case name. Thread-safe.
void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields = {});

}  // namespace lynxglade::base

#endif  // LYNXGLADE_BASE_LOG_H_
