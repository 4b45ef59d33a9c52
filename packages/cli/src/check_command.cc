#include "command.h"
#include "shallotlug/cli/cli.h"
#include "shallotlug/settings/settings.h"

namespace shallotlug::cli {
namespace {

// A settings file with a backend server is an agent's.
Findings CheckFile(const std::string& file) {
  auto agent = settings::LoadAgentSettings(file);
  auto* agent_findings = std::get_if<Findings>(&agent);
  if (!agent_findings) {
    return {};
  }
  auto entry = settings::LoadEntrySettings(file);
  auto* entry_findings = std::get_if<Findings>(&entry);
  if (!entry_findings) {
    return {};
  }
  // Reports the findings of the kind that the file is closer to.
  return agent_findings->size() < entry_findings->size() ? *agent_findings
                                                         : *entry_findings;
}

}  // namespace

int RunCheck(Context& context) {
  if (context.arguments.empty()) {
    context.err << "shallotlug: check takes one or more settings files\n";
    return kExitUsage;
  }
  std::size_t count = 0;
  for (const std::string& file : context.arguments) {
    const Findings findings = CheckFile(file);
    count += findings.size();
    context.err << ToString(findings);
  }
  if (count == 0) {
    context.out << "no findings\n";
  }
  return count == 0 ? kExitOk : kExitFindings;
}

}  // namespace shallotlug::cli
