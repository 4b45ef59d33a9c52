#include "policy_report.h"

#include <algorithm>
#include <utility>

#include "shallotlug/cli/cli.h"

namespace shallotlug::cli {
namespace {

using workload::PolicyDocument;
using workload::PolicyFinding;
using workload::PolicyFindings;
using workload::Severity;

Findings& ListFor(Severity severity, PolicyReport& report) {
  switch (severity) {
    case Severity::kError:
      return report.errors;
    case Severity::kWarning:
      return report.warnings;
    case Severity::kNote:
      break;
  }
  return report.notes;
}

// Whether the place has a fault of its form, so that its value is unknown. A
// fault inside an entry leaves the other fields of the entry known.
bool IsFaulty(const Findings& errors,
              const std::string& path,
              workload::PolicyField field) {
  return std::any_of(errors.begin(), errors.end(), [&](const Finding& it) {
    return path == it.path || path.starts_with(it.path + "/") ||
           (field != workload::PolicyField::kNone &&
            it.path.starts_with(path + "/"));
  });
}

void AddFindings(const PolicyDocument& document,
                 const PolicyFindings& findings,
                 PolicyReport& report) {
  for (const PolicyFinding& it : findings) {
    Finding finding = document.locate(it.place);
    if (IsFaulty(document.errors, finding.path, it.place.field)) {
      continue;
    }
    finding.message = it.message;
    ListFor(it.severity, report).push_back(std::move(finding));
  }
}

void AppendLines(std::string_view weight,
                 const Findings& findings,
                 std::string& to) {
  for (const Finding& it : findings) {
    to += std::string(weight) + ": " + shallotlug::ToString(it) + "\n";
  }
}

std::string Count(std::size_t n, const std::string& what) {
  return std::to_string(n) + " " + what + (n == 1 ? "" : "s");
}

}  // namespace

PolicyReport ReportPolicy(const PolicyDocument& next,
                          std::optional<std::int64_t> accelerators) {
  PolicyReport report;
  report.errors = next.errors;
  report.warnings = next.warnings;
  if (next.locate) {
    AddFindings(next,
                workload::CheckPolicy(next.policy, {next.limits, accelerators}),
                report);
  }
  return report;
}

void AddDifferences(const PolicyDocument& next,
                    const PolicyDocument& in_force,
                    PolicyReport& report) {
  if (!in_force.locate) {
    report.errors.insert(report.errors.end(), in_force.errors.begin(),
                         in_force.errors.end());
    return;
  }
  if (!in_force.errors.empty()) {
    Finding finding = in_force.errors.front();
    finding.message = "the version in force has faults, this is the first (" +
                      finding.message + "); the differences may be incomplete";
    report.warnings.push_back(std::move(finding));
  }
  if (next.locate) {
    AddFindings(next, workload::ComparePolicies(next.policy, in_force.policy),
                report);
  }
}

std::string ToString(const PolicyReport& report) {
  std::string text;
  AppendLines("error", report.errors, text);
  AppendLines("warning", report.warnings, text);
  AppendLines("note", report.notes, text);
  if (report.errors.empty() && report.warnings.empty()) {
    return text + "no findings\n";
  }
  return text + Count(report.errors.size(), "error") + ", " +
         Count(report.warnings.size(), "warning") + "\n";
}

int ExitCodeOf(const PolicyReport& report) {
  if (!report.errors.empty()) {
    return kExitFindings;
  }
  return report.warnings.empty() ? kExitOk : kExitWarnings;
}

}  // namespace shallotlug::cli
