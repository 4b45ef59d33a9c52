#include <fstream>
#include <iterator>
#include <string>
#include <utility>

#include "command.h"
#include "policy_report.h"
#include "shallotlug/cli/cli.h"

namespace shallotlug::cli {
namespace {

workload::PolicyDocument ReadFile(const Context& context,
                                  const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  const std::string text(std::istreambuf_iterator<char>(in), {});
  if (!in.is_open() || in.bad()) {
    Finding finding;
    finding.file = file;
    finding.message = "cannot be read";
    workload::PolicyDocument unread;
    unread.errors.push_back(std::move(finding));
    return unread;
  }
  return context.read_policy(text, file);
}

}  // namespace

int RunCheckConfig(Context& context) {
  if (context.arguments.size() != 1 || !context.read_policy) {
    context.err << "shallotlug: check-config takes one configuration file\n";
    return kExitUsage;
  }
  const Options& options = context.options;
  if (options.fleet_accelerators && *options.fleet_accelerators < 0) {
    context.err << "shallotlug: --accelerators must not be negative\n";
    return kExitUsage;
  }
  const workload::PolicyDocument next =
      ReadFile(context, context.arguments.front());
  PolicyReport report = ReportPolicy(next, options.fleet_accelerators);
  if (!options.in_force.empty()) {
    AddDifferences(next, ReadFile(context, options.in_force), report);
  }
  context.out << ToString(report);
  return ExitCodeOf(report);
}

}  // namespace shallotlug::cli
