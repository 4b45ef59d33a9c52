#ifndef SHALLOTLUG_BASE_FINDINGS_H_
#define SHALLOTLUG_BASE_FINDINGS_H_

#include <string>
#include <vector>

namespace shallotlug {

/// @brief One fault in an input, with its place.
struct Finding {
  std::string file;  ///< Empty when the input is not a file.
  std::string path;  ///< Place in the document, such as `/listeners/0/port`.
  int line = 0;      ///< Counted from 1; 0 when unknown.
  int column = 0;    ///< Counted from 1; 0 when unknown.
  std::string message;

  bool operator==(const Finding&) const = default;
};

/// @brief All faults of an input, reported together. Empty means valid.
using Findings = std::vector<Finding>;

/// @brief Formats a finding as `file:line:column: path: message`, leaving out
/// what is unknown.
std::string ToString(const Finding& finding);

/// @brief Formats all findings, one a line.
std::string ToString(const Findings& findings);

}  // namespace shallotlug

#endif  // SHALLOTLUG_BASE_FINDINGS_H_
