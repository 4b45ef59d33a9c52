#include "shallotlug/base/logging.h"

#include <algorithm>
#include <chrono>

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

bool json_lines = false;

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
  const log4cxx::LayoutPtr layout(new log4cxx::PatternLayout(
      options.json ? LOG4CXX_STR("%m%n")
                   : LOG4CXX_STR("%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p %m%n")));
  const log4cxx::AppenderPtr appender(new log4cxx::ConsoleAppender(
      layout, log4cxx::ConsoleAppender::getSystemErr()));
  const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(appender);
  root->setLevel(ToLog4cxx(options.level));
}

void WriteLog(const LogLine& line) {
  const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
  const log4cxx::LevelPtr level = ToLog4cxx(line.level);
  if (!root->isEnabledFor(level)) {
    return;
  }
  std::string text;
  if (json_lines) {
    boost::json::object object = ToObject(line);
    // Wall-clock time serves the reader of the log only.
    object["time_ms"] = std::chrono::duration_cast<Millis>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count();
    text = boost::json::serialize(object);
  } else {
    text = ToText(line);
  }
  root->forcedLog(level, text);
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
