#ifndef SHALLOTLUG_CLI_CLI_H_
#define SHALLOTLUG_CLI_CLI_H_

#include "shallotlug/workload/policy_check.h"

namespace shallotlug::cli {

/// @brief Exit codes of the operator's commands.
enum ExitCode {
  kExitOk = 0,
  kExitUsage = 1,        ///< The command line is wrong; nothing was sent.
  kExitRefused = 2,      ///< The system refused; the message says why.
  kExitFindings = 3,     ///< `check` found faults in the file.
  kExitUnreachable = 4,  ///< No entry was reached; nothing was changed.
  kExitUnknown = 5,      ///< The change may or may not be accepted.
  kExitWarnings = 6,     ///< `check-config` found warnings and no faults.
};

/// @brief Runs an operator's command (everything but `serve`).
/// @param read_policy Reads the configurations of the platform.
/// @return The exit code of the process.
int Run(int argc, char** argv, const workload::ReadPolicyDocument& read_policy);

}  // namespace shallotlug::cli

#endif  // SHALLOTLUG_CLI_CLI_H_
