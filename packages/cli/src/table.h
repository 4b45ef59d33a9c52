#ifndef SHALLOTLUG_CLI_SRC_TABLE_H_
#define SHALLOTLUG_CLI_SRC_TABLE_H_

#include <string>
#include <vector>

namespace shallotlug::cli {

using TableRow = std::vector<std::string>;

/// @brief Formats rows in aligned columns; the first row is the heading.
std::string FormatTable(const std::vector<TableRow>& rows);

/// @brief Formats a number with a fixed count of decimals.
std::string FormatNumber(double n, int decimals);

}  // namespace shallotlug::cli

#endif  // SHALLOTLUG_CLI_SRC_TABLE_H_
