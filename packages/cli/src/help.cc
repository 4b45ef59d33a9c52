#include "help.h"

#include "table.h"

namespace shallotlug::cli {
namespace {

constexpr std::string_view kCommonFlags =
    "Flags of every command that asks an entry:\n"
    "  --operators=ADDR[,ADDR...]  operator listeners, tried in order\n"
    "                              (default 127.0.0.1:7003)\n"
    "  --token_file=FILE           file with the operator token; without it "
    "the\n"
    "                              environment variable SHALLOTLUG_TOKEN\n"
    "  --output=table|json         json prints the reply as it is\n"
    "  --timeout=DURATION          for each entry, such as 5s\n";

constexpr std::string_view kExitCodes =
    "Exit codes: 0 done; 1 wrong command line; 2 refused by the system;\n"
    "3 findings in a file; 4 no entry reached, nothing changed;\n"
    "5 outcome unknown; 6 warnings only (check-config).\n";

constexpr std::string_view kTargetSetHelp =
    "Sets the target of a class of work.\n\n"
    "  --customer=NAME         whose work it is\n"
    "  --kind=live|batch       callers wait for it, or not\n"
    "  --finish_within=TIME    such as 400ms or 6h\n"
    "  --objective=SHARE       share that must finish in time (0.999)\n"
    "  --accelerators=N        for each live request (1)\n"
    "  --guarantee=GxN@WITHIN  G groups of N adjacent accelerators, each "
    "within\n"
    "                          a worker, rack or data_centre, such as "
    "2x8@rack\n"
    "  --remove                removes the class instead\n"
    "  --base_version=N        version that the change is made from; without\n"
    "                          it the current one is looked up\n"
    "  --change_id=ID          repeats a change whose outcome is unknown\n\n"
    "The change is refused when the class has changed since, or when all\n"
    "guarantees together exceed what exists.\n";

constexpr std::string_view kExplainHelp =
    "Prints, in order of time and across processes, every decision that\n"
    "touched the job, with what it was based on. The logs are JSON lines, "
    "from\n"
    "files or standard input; text before a line's object is taken as the "
    "name\n"
    "of the process.\n";

constexpr std::string_view kCheckConfigHelp =
    "Checks a configuration of the platform before it is sent: its form,\n"
    "entries without effect, and limits that contradict each other. Asks no\n"
    "entry and sends nothing; keys are counted, never printed.\n\n"
    "  --in_force=FILE         configuration in force: prints what differs\n"
    "  --accelerators=N        that all workers have together: the "
    "guarantees\n"
    "                          must not add up to more\n";

bool StartsWith(const std::vector<std::string>& arguments,
                std::string_view words) {
  std::size_t n = 0;
  while (!words.empty()) {
    const std::size_t end = words.find(' ');
    if (n >= arguments.size() || arguments[n] != words.substr(0, end)) {
      return false;
    }
    ++n;
    words.remove_prefix(end == std::string_view::npos ? words.size() : end + 1);
  }
  return true;
}

std::string ListCommands(std::string_view group) {
  std::vector<TableRow> rows;
  for (const Command& it : AllCommands()) {
    if (group.empty() || it.words.starts_with(group)) {
      rows.push_back({"  shallotlug " + std::string(it.words) + " " +
                          std::string(it.arguments),
                      std::string(it.summary)});
    }
  }
  return FormatTable(rows);
}

}  // namespace

const std::vector<Command>& AllCommands() {
  static const std::vector<Command> commands = {
      {"target set", "CLASS", "sets the target of a class", kTargetSetHelp,
       RunTargetSet},
      {"target get", "CLASS", "shows the target of a class",
       "Shows one target and its version.\n", RunTargetGet},
      {"target list", "", "lists all targets", "Lists all targets.\n",
       RunTargetList},
      {"target history", "CLASS", "lists the changes of a class",
       "Lists accepted and rejected changes, as far as the log keeps them.\n",
       RunTargetHistory},
      {"status", "", "shows an entry and its workers",
       "Shows what the first entry that answers sees.\n", RunStatus},
      {"report burn", "", "reports how fast error budgets are used",
       "Adds up all entries that answer, and names those that do not.\n"
       "--output=html prints a page with a plot.\n",
       RunReportBurn},
      {"check", "FILE...", "checks settings files",
       "Prints every finding with its file, line and path. Starts nothing.\n",
       RunCheck},
      {"check-config", "FILE", "checks a configuration of the platform",
       kCheckConfigHelp, RunCheckConfig},
      {"explain", "JOB [FILE...]",
       "tells the life of a job from the logs of all processes", kExplainHelp,
       RunExplain},
  };
  return commands;
}

const Command* FindCommand(const std::vector<std::string>& arguments) {
  for (const Command& it : AllCommands()) {
    if (StartsWith(arguments, it.words)) {
      return &it;
    }
  }
  return nullptr;
}

std::string HelpText(const std::vector<std::string>& arguments) {
  if (const Command* it = FindCommand(arguments)) {
    return "Usage: shallotlug " + std::string(it->words) + " " +
           std::string(it->arguments) + " [flags]\n\n" + std::string(it->help) +
           "\n" + std::string(kCommonFlags) + "\n" + std::string(kExitCodes);
  }
  const std::string group = arguments.empty() ? "" : arguments.front();
  const std::string listed = ListCommands(group);
  return "Usage: shallotlug COMMAND [flags]\n\n" +
         (listed.empty() ? ListCommands("") : listed) +
         (group.empty() || listed.empty()
              ? "  shallotlug serve --settings=FILE       runs an entry\n"
                "  shallotlug serve-jobs --settings=FILE  runs an entry on a "
                "platform\n"
              : "") +
         "\n" + std::string(kCommonFlags) + "\n" + std::string(kExitCodes);
}

}  // namespace shallotlug::cli
