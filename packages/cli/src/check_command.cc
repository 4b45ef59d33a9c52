#include <algorithm>
#include <variant>
#include <vector>

#include "command.h"
#include "shallotlug/cli/cli.h"
#include "shallotlug/settings/job_settings.h"
#include "shallotlug/settings/settings.h"

namespace shallotlug::cli {
namespace {

template <class Loaded>
Findings FindingsOf(const Loaded& loaded) {
  const auto* findings = std::get_if<Findings>(&loaded);
  return findings == nullptr ? Findings{} : *findings;
}

// The findings of the kind of settings that the file is closest to.
Findings CheckFile(const std::string& file) {
  const std::vector<Findings> kinds = {
      FindingsOf(settings::LoadEntrySettings(file)),
      FindingsOf(settings::LoadAgentSettings(file)),
      FindingsOf(settings::LoadJobEntrySettings(file)),
      FindingsOf(settings::LoadJobAgentSettings(file))};
  return *std::min_element(
      kinds.begin(), kinds.end(),
      [](const Findings& a, const Findings& b) { return a.size() < b.size(); });
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
