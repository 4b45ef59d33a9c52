#ifndef SHALLOTLUG_CLI_SRC_POLICY_REPORT_H_
#define SHALLOTLUG_CLI_SRC_POLICY_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "shallotlug/base/findings.h"
#include "shallotlug/workload/policy_check.h"

namespace shallotlug::cli {

/// @brief Findings about a configuration by their weight, each with its place
/// in the file.
struct PolicyReport {
  Findings errors;
  Findings warnings;
  Findings notes;  ///< Differences from the configuration in force.
};

/// @brief Checks a configuration as it was read.
/// @param accelerators That all workers have, if the operator states them.
PolicyReport ReportPolicy(const workload::PolicyDocument& next,
                          std::optional<std::int64_t> accelerators);

/// @brief Adds what differs from the configuration in force.
void AddDifferences(const workload::PolicyDocument& next,
                    const workload::PolicyDocument& in_force,
                    PolicyReport& report);

/// @brief Text with one line for each finding, led by its weight.
std::string ToString(const PolicyReport& report);

/// @brief The exit code that the findings call for.
int ExitCodeOf(const PolicyReport& report);

}  // namespace shallotlug::cli

#endif  // SHALLOTLUG_CLI_SRC_POLICY_REPORT_H_
