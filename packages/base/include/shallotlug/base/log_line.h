#ifndef SHALLOTLUG_BASE_LOG_LINE_H_
#define SHALLOTLUG_BASE_LOG_LINE_H_

#include <string>
#include <vector>

#include "shallotlug/base/counters.h"

namespace shallotlug {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// @brief A structured log line that a core package hands to its shell. Written
/// only on a change of state; repeated events are counted instead.
struct LogLine {
  LogLevel level = LogLevel::kInfo;
  std::string event;  ///< Stable name, such as `link_closed`.
  std::vector<Label> fields;
};

}  // namespace shallotlug

#endif  // SHALLOTLUG_BASE_LOG_LINE_H_
