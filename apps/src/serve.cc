#include "serve.h"

#include <iostream>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "shallotlug/net/agent_shell.h"
#include "shallotlug/net/entry_shell.h"
#include "shallotlug/settings/settings.h"

ABSL_FLAG(std::string, settings, "", "serve: JSON file with the settings");
ABSL_FLAG(bool, check, false, "serve: only checks the settings");

namespace shallotlug {
namespace {

constexpr std::string_view kFlagsHelp =
    "  --settings=FILE  JSON file with the settings; docs/operators.md lists\n"
    "                   them\n"
    "  --check          checks the settings, prints every finding and stops\n"
    "  --help           prints this\n"
    "\n"
    "Exit codes: 0 after a graceful shutdown (SIGTERM or SIGINT; a second one\n"
    "ends the program at once); 1 wrong command line; 3 findings in the\n"
    "settings; 4 a listener cannot be opened.\n";

bool WantsHelp(int argc, char** argv) {
  for (int n = 1; n < argc; ++n) {
    const std::string_view it = argv[n];
    if (it == "--help" || it == "-help" || it == "-h") {
      return true;
    }
  }
  return false;
}

int UsageError(const std::string& program, const std::string& message) {
  std::cerr << program << ": " << message << "; try " << program << " --help\n";
  return kServeUsage;
}

template <class Load, class Run>
int Serve(const std::string& program, Load load, Run run) {
  const std::string file = absl::GetFlag(FLAGS_settings);
  if (file.empty()) {
    return UsageError(program, "--settings=FILE is missing");
  }
  const auto loaded = load(file);
  if (const auto* findings = std::get_if<Findings>(&loaded)) {
    std::cerr << ToString(*findings);
    return kServeFindings;
  }
  if (absl::GetFlag(FLAGS_check)) {
    std::cout << file << ": no findings\n";
    return kServeDone;
  }
  return run(std::get<0>(loaded)) == 0 ? kServeDone : kServeListen;
}

}  // namespace

int ServeEntry(int argc, char** argv) {
  const std::string program = "shallotlug serve";
  if (WantsHelp(argc, argv)) {
    std::cout << "Usage: shallotlug serve --settings=FILE [--check]\n\n"
              << "Runs an entry: accepts callers' requests and plans jobs.\n\n"
              << kFlagsHelp;
    return kServeDone;
  }
  const std::vector<char*> rest = absl::ParseCommandLine(argc, argv);
  if (rest.size() != 2) {
    return UsageError(program, "unexpected argument " + std::string(rest[2]));
  }
  return Serve(program, settings::LoadEntrySettings, net::RunEntry);
}

int ServeAgent(int argc, char** argv) {
  const std::string program = "shallotlug-agent";
  if (WantsHelp(argc, argv)) {
    std::cout << "Usage: shallotlug-agent --settings=FILE [--check]\n\n"
              << "Runs the agent beside a backend server: it alone decides "
                 "what starts there.\n\n"
              << kFlagsHelp;
    return kServeDone;
  }
  const std::vector<char*> rest = absl::ParseCommandLine(argc, argv);
  if (rest.size() != 1) {
    return UsageError(program, "unexpected argument " + std::string(rest[1]));
  }
  return Serve(program, settings::LoadAgentSettings, net::RunAgent);
}

}  // namespace shallotlug
