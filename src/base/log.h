// Structured logging: one JSON object per line, written through Boost.Log.
//
// This header includes no Boost header, to keep it cheap to include.
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

// A named value of a log line. Must not contain a secret.
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

enum class LogOutput {
  // Blocks while the reader is slow.
  kStandardError,
  // Never blocks: a line that exceeds the rate limit or does not fit into the
  // pipe is dropped and counted. The next line that is written states the
  // number
  // of dropped lines in "dropped_lines".
  kStandardOutput,
};

// Writes lines of `threshold` and above to `output`, each with the Unix time in
// milliseconds, the level, the instance and the event. Call once, before any
// other thread starts; until then Log() discards its lines.
void InitLog(LogLevel threshold,
             std::string_view instance,
             LogOutput output = LogOutput::kStandardError);

// Parses "debug", "info", "warning" or "error"; returns false for other text.
bool ParseLogLevel(std::string_view text, LogLevel* level) noexcept;

// `event` is a stable lower_snake_case name. Thread-safe.
void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields = {});

}  // namespace lynxglade::base

#endif  // LYNXGLADE_BASE_LOG_H_
