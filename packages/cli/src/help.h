#ifndef SHALLOTLUG_CLI_SRC_HELP_H_
#define SHALLOTLUG_CLI_SRC_HELP_H_

#include <string>
#include <vector>

#include "command.h"

namespace shallotlug::cli {

/// @brief The command whose words start `arguments`, or null.
const Command* FindCommand(const std::vector<std::string>& arguments);

/// @brief Help for the words given so far: the program, a group such as
/// `target`, or one command.
std::string HelpText(const std::vector<std::string>& arguments);

}  // namespace shallotlug::cli

#endif  // SHALLOTLUG_CLI_SRC_HELP_H_
