#include "shallotlug/base/findings.h"

namespace shallotlug {

std::string ToString(const Finding& finding) {
  std::string text;
  if (!finding.file.empty()) {
    text += finding.file + ":";
  }
  if (finding.line > 0) {
    text += std::to_string(finding.line) + ":";
    if (finding.column > 0) {
      text += std::to_string(finding.column) + ":";
    }
  }
  if (!text.empty()) {
    text += " ";
  }
  if (!finding.path.empty()) {
    text += finding.path + ": ";
  }
  return text + finding.message;
}

std::string ToString(const Findings& findings) {
  std::string text;
  for (const Finding& finding : findings) {
    text += ToString(finding) + "\n";
  }
  return text;
}

}  // namespace shallotlug
