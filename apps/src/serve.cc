#include "serve.h"

#include <malloc.h>

#include <cstdint>
#include <iostream>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "shallotlug/net/agent_shell.h"
#include "shallotlug/net/entry_shell.h"
#include "shallotlug/net/role_loop.h"
#include "shallotlug/service/job_agent.h"
#include "shallotlug/service/job_entry.h"
#include "shallotlug/settings/job_settings.h"
#include "shallotlug/settings/settings.h"

ABSL_FLAG(std::string, settings, "", "serve: JSON file with the settings");
ABSL_FLAG(bool, check, false, "serve: only checks the settings");
ABSL_FLAG(std::int64_t,
          clock_offset_ms,
          0,
          "for tests: added to the machine's steady clock");

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

// Larger blocks are returned to the system when they are freed. Left to itself
// the allocator raises this with the first such block that is freed, and keeps
// in its heap what later requests have used of it.
constexpr int kMappedBlockBytes = 65'536;

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
  mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
  net::SetClockOffset(Millis(absl::GetFlag(FLAGS_clock_offset_ms)));
  return run(std::get<0>(loaded)) == 0 ? kServeDone : kServeListen;
}

/// @brief A command of a program that serves.
struct Command {
  std::string program;  ///< With the command, as the user types it.
  std::size_t words;    ///< Of the command line, without flags.
  std::string summary;
};

template <class Load, class Run>
int ServeCommand(const Command& command,
                 Load load,
                 Run run,
                 int argc,
                 char** argv) {
  if (WantsHelp(argc, argv)) {
    std::cout << "Usage: " << command.program
              << " --settings=FILE [--check]\n\n"
              << command.summary << "\n\n"
              << kFlagsHelp;
    return kServeDone;
  }
  const std::vector<char*> rest = absl::ParseCommandLine(argc, argv);
  if (rest.size() != command.words) {
    return UsageError(command.program, "unexpected argument " +
                                           std::string(rest[command.words]));
  }
  return Serve(command.program, load, run);
}

}  // namespace

int ServeEntry(int argc, char** argv) {
  return ServeCommand(
      {"shallotlug serve", 2,
       "Runs an entry: accepts callers' requests and plans jobs."},
      settings::LoadEntrySettings, net::RunEntry, argc, argv);
}

int ServeJobEntry(int argc, char** argv) {
  return ServeCommand(
      {"shallotlug serve-jobs", 2,
       "Runs an entry on a platform that keeps its state: accepts jobs,\n"
       "and schedules them while no other entry does."},
      settings::LoadJobEntrySettings, service::RunJobEntry, argc, argv);
}

int ServeAgent(int argc, char** argv) {
  return ServeCommand({"shallotlug-agent", 1,
                       "Runs the agent beside a backend server: it alone "
                       "decides what starts there."},
                      settings::LoadAgentSettings, net::RunAgent, argc, argv);
}

int ServeJobAgent(int argc, char** argv) {
  return ServeCommand(
      {"shallotlug-agent serve-jobs", 2,
       "Runs the agent beside a worker of a platform: carries out the\n"
       "scheduler's orders, and extends the worker's lease."},
      settings::LoadJobAgentSettings, service::RunJobAgent, argc, argv);
}

}  // namespace shallotlug
