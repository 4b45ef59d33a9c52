#include "shallotlug/base/logging.h"

#include <algorithm>
#include <chrono>

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include "shallotlug/base/clock.h"

namespace shallotlug {
namespace {

// Lines of one process in a second; many times what a busy day needs.
constexpr int kLinesPerSecond = 2'000;
constexpr int kBufferedLines = 4'096;

bool json_lines = false;
std::string process_name;  // NOLINT(*-statically-constructed-objects)

/// @brief Lets so many lines a second pass, and counts the others.
struct LineLimit {
  std::int64_t second = 0;
  int lines = 0;
  std::int64_t left_out = 0;
};
LineLimit line_limit;

std::int64_t WallMillis() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

log4cxx::LevelPtr ToLog4cxx(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarning:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

const char* Name(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "info";
}

bool NeedsQuotes(const std::string& value) {
  return value.empty() || std::any_of(value.begin(), value.end(), [](char c) {
           return static_cast<unsigned char>(c) <= ' ' || c == '"' || c == '=';
         });
}

boost::json::object ToObject(const LogLine& line) {
  boost::json::object object;
  object["level"] = Name(line.level);
  object["event"] = line.event;
  for (const Label& it : line.fields) {
    object[it.name] = it.value;
  }
  return object;
}

}  // namespace

void SetUpLogging(const LoggingOptions& options) {
  json_lines = options.json;
  process_name = options.process;
  const log4cxx::LayoutPtr layout(new log4cxx::PatternLayout(
      options.json ? LOG4CXX_STR("%m%n")
                   : LOG4CXX_STR("%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p %m%n")));
  const log4cxx::AppenderPtr appender(new log4cxx::ConsoleAppender(
      layout, log4cxx::ConsoleAppender::getSystemOut()));
  const log4cxx::AsyncAppenderPtr buffer(new log4cxx::AsyncAppender);
  buffer->setBufferSize(kBufferedLines);
  buffer->setBlocking(false);
  buffer->addAppender(appender);
  const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(buffer);
  root->setLevel(ToLog4cxx(options.level));
}

namespace {

void WriteLine(const log4cxx::LoggerPtr& root,
               const log4cxx::LevelPtr& level,
               const LogLine& line) {
  std::string text;
  if (json_lines) {
    boost::json::object object = ToObject(line);
    // Wall-clock time serves the reader of the log only.
    object["time_ms"] = WallMillis();
    if (!process_name.empty()) {
      object["process"] = process_name;
    }
    text = boost::json::serialize(object);
  } else {
    text = ToText(line);
  }
  root->forcedLog(level, text);
}

}  // namespace

void WriteLog(const LogLine& line) {
  const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
  const log4cxx::LevelPtr level = ToLog4cxx(line.level);
  if (!root->isEnabledFor(level)) {
    return;
  }
  const std::int64_t second = WallMillis() / 1'000;
  if (second != line_limit.second) {
    line_limit.second = second;
    line_limit.lines = 0;
    if (line_limit.left_out > 0) {
      WriteLine(root, log4cxx::Level::getWarn(),
                {LogLevel::kWarning,
                 "log_lines_left_out",
                 {{"lines", std::to_string(line_limit.left_out)}}});
      line_limit.left_out = 0;
    }
  }
  if (line_limit.lines >= kLinesPerSecond) {
    ++line_limit.left_out;
    return;
  }
  ++line_limit.lines;
  WriteLine(root, level, line);
}

void FlushLogging() {
  log4cxx::LogManager::shutdown();
}

std::string ToText(const LogLine& line) {
  std::string text = line.event;
  for (const Label& it : line.fields) {
    text += " " + it.name + "=";
    text += NeedsQuotes(it.value)
                ? boost::json::serialize(boost::json::string(it.value))
                : it.value;
  }
  return text;
}

std::string ToJson(const LogLine& line) {
  return boost::json::serialize(ToObject(line));
}

}  // namespace shallotlug
