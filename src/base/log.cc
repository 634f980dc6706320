#include "base/log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <mutex>
#include <sstream>

#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <nlohmann/json.hpp>

#include "base/time.h"

namespace lynxglade::base {

namespace {

namespace sinks = boost::log::sinks;

using TextSink = sinks::synchronous_sink<sinks::text_ostream_backend>;

// Limits of standard output: the sustained rate, and the burst after a pause.
constexpr double kMaxLinesPerSecond = 500;
constexpr double kMaxBurstLines = 1000;

// Token bucket.
class LineRateLimiter {
 public:
  bool TryTake() {
    const Time now = BootClock::now();
    const double seconds =
        std::chrono::duration<double>(now - last_refill_).count();
    last_refill_ = now;
    tokens_ = std::min(kMaxBurstLines, tokens_ + seconds * kMaxLinesPerSecond);
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = kMaxBurstLines;
  Time last_refill_ = BootClock::now();
};

// Writes to standard output without blocking.
class NonBlockingBackend
    : public sinks::basic_formatted_sink_backend<char,
                                                 sinks::synchronized_feeding> {
 public:
  NonBlockingBackend() {
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }

  void consume(const boost::log::record_view&, const string_type& line) {
    if (!rate_limiter_.TryTake() || !Write(WithDroppedCount(line))) {
      ++dropped_;
      return;
    }
    dropped_ = 0;
  }

 private:
  // Inserts the number of dropped lines before the closing brace of the JSON
  // object.
  std::string WithDroppedCount(const std::string& line) const {
    if (dropped_ == 0 || !line.ends_with('}')) {
      return line + '\n';
    }
    return line.substr(0, line.size() - 1) +
           ",\"dropped_lines\":" + std::to_string(dropped_) + "}\n";
  }
  // A line of at most PIPE_BUF bytes is written to a pipe as a whole or not at
  // all.
  static bool Write(const std::string& text) {
    return ::write(STDOUT_FILENO, text.data(), text.size()) ==
           static_cast<ssize_t>(text.size());
  }

  LineRateLimiter rate_limiter_;
  std::uint64_t dropped_ = 0;
};

using NonBlockingSink = sinks::synchronous_sink<NonBlockingBackend>;

std::atomic<bool> initialized{false};
std::atomic<LogLevel> log_threshold{LogLevel::kInfo};

std::string& InstanceName() {
  static std::string name;
  return name;
}

boost::log::sources::logger_mt& Logger() {
  static boost::log::sources::logger_mt logger;
  return logger;
}

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      break;
  }
  return "error";
}

nlohmann::json FormatLine(LogLevel level,
                          std::string_view event,
                          std::initializer_list<LogField> fields) {
  nlohmann::json line;
  for (const LogField& field : fields) {
    std::visit([&](const auto& v) { line[std::string(field.name)] = v; },
               field.value);
  }
  line["time_ms"] = WallMillis();
  line["level"] = LevelName(level);
  line["instance"] = InstanceName();
  line["event"] = event;
  return line;
}

}  // namespace

void InitLog(LogLevel threshold, std::string_view instance, LogOutput output) {
  InstanceName() = std::string(instance);
  log_threshold = threshold;
  initialized = true;
  if (output == LogOutput::kStandardOutput) {
    boost::log::core::get()->add_sink(boost::make_shared<NonBlockingSink>());
    return;
  }
  auto backend = boost::make_shared<sinks::text_ostream_backend>();
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::cerr, [](std::ostream*) {}));
  backend->auto_flush(true);
  boost::log::core::get()->add_sink(boost::make_shared<TextSink>(backend));
}

bool ParseLogLevel(std::string_view text, LogLevel* level) noexcept {
  for (LogLevel candidate : {LogLevel::kDebug, LogLevel::kInfo,
                             LogLevel::kWarning, LogLevel::kError}) {
    if (text == LevelName(candidate)) {
      *level = candidate;
      return true;
    }
  }
  return false;
}

void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields) {
  if (!initialized || level < log_threshold) {
    return;
  }
  // Invalid UTF-8, such as bytes from a caller's header, is replaced instead of
  // throwing.
  const std::string text =
      FormatLine(level, event, fields)
          .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  BOOST_LOG(Logger()) << text;
}

}  // namespace lynxglade::base
