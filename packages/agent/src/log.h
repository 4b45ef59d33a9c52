#ifndef SHALLOTLUG_AGENT_SRC_LOG_H_
#define SHALLOTLUG_AGENT_SRC_LOG_H_

#include <string>
#include <utility>
#include <vector>

#include "state.h"

namespace shallotlug::agent {

/// @brief Adds a log line about a change of state.
inline void Log(Outbox& out,
                LogLevel level,
                std::string event,
                std::vector<Label> fields = {}) {
  out.log_lines.push_back({level, std::move(event), std::move(fields)});
}

inline std::string ToText(const Attempt& attempt) {
  return attempt.job.value + "/" + std::to_string(attempt.number);
}

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_LOG_H_
