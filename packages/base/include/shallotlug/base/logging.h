#ifndef SHALLOTLUG_BASE_LOGGING_H_
#define SHALLOTLUG_BASE_LOGGING_H_

#include <string>

#include "shallotlug/base/log_line.h"

namespace shallotlug {

struct LoggingOptions {
  LogLevel level = LogLevel::kInfo;
  bool json = false;    ///< One JSON object a line instead of text.
  std::string process;  ///< Name that goes with each JSON line; may be empty.
};

/// @brief Directs the log of this process to standard output.
///
/// A reader that is slow never delays the process: lines that do not fit into
/// the buffer, or go beyond a rate, are left out and counted in a later line.
void SetUpLogging(const LoggingOptions& options);

/// @brief Writes a line, unless its level is below the one set up.
void WriteLog(const LogLine& line);

/// @brief Writes out what is buffered; for the end of the process.
void FlushLogging();

/// @brief Formats a line as `event name=value ...`; values with spaces, quotes
/// or control characters are quoted.
std::string ToText(const LogLine& line);

/// @brief Formats a line as a JSON object with `level`, `event` and the fields.
std::string ToJson(const LogLine& line);

}  // namespace shallotlug

#endif  // SHALLOTLUG_BASE_LOGGING_H_
