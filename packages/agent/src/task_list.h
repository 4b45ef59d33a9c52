#ifndef SHALLOTLUG_AGENT_SRC_TASK_LIST_H_
#define SHALLOTLUG_AGENT_SRC_TASK_LIST_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Results and checkpoints of several tasks in one string.
namespace shallotlug::agent {

/// @brief Joins strings as netstrings: `<length>:<bytes>,` for each.
std::string JoinTasks(const std::vector<std::string>& parts);

/// @brief Splits what JoinTasks made; none for anything else.
std::optional<std::vector<std::string>> SplitTasks(std::string_view text);

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_TASK_LIST_H_
