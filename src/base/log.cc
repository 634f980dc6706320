#include "base/log.h"

#include <atomic>
#include <iostream>
#include <sstream>

#include <boost/log/core.hpp>
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

void InitLog(LogLevel threshold, std::string_view instance) {
  InstanceName() = std::string(instance);
  log_threshold = threshold;
  auto backend = boost::make_shared<sinks::text_ostream_backend>();
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::cerr, [](std::ostream*) {}));
  backend->auto_flush(true);
  boost::log::core::get()->add_sink(boost::make_shared<TextSink>(backend));
  initialized = true;
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
  // Bytes that are not UTF-8 (a caller's header, say) are replaced, so that a
  // log line never fails.
  const std::string text =
      FormatLine(level, event, fields)
          .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  BOOST_LOG(Logger()) << text;
}

}  // namespace lynxglade::base
