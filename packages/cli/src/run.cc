#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/time/time.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>

#include "command.h"
#include "help.h"
#include "shallotlug/cli/cli.h"
#include "shallotlug/net/http_fetch.h"

ABSL_FLAG(std::vector<std::string>,
          operators,
          {"127.0.0.1:7003"},
          "operator listeners of entries, tried in order");
ABSL_FLAG(std::string,
          token_file,
          "",
          "file with the operator token; without it the environment variable "
          "SHALLOTLUG_TOKEN is used");
ABSL_FLAG(std::string, output, "table", "table, json, or html for reports");
ABSL_FLAG(absl::Duration,
          timeout,
          absl::Seconds(5),
          "limit for the answer of one entry");
ABSL_FLAG(std::string, customer, "", "target set: whose work it is");
ABSL_FLAG(std::string, kind, "", "target set: live or batch");
ABSL_FLAG(absl::Duration,
          finish_within,
          absl::ZeroDuration(),
          "target set: time from acceptance to the whole answer");
ABSL_FLAG(double,
          objective,
          0.999,
          "target set: share that must finish in time");
ABSL_FLAG(std::optional<int>,
          accelerators,
          std::nullopt,
          "target set: for each live request (1); check-config: that all "
          "workers have together");
ABSL_FLAG(std::string,
          in_force,
          "",
          "check-config: file with the configuration in force");
ABSL_FLAG(std::string,
          guarantee,
          "",
          "target set: guaranteed shape, such as 2x8@rack");
ABSL_FLAG(std::int64_t,
          base_version,
          -1,
          "target set: version that the change is made from");
ABSL_FLAG(std::string,
          change_id,
          "",
          "target set: repeats a change whose outcome is unknown");
ABSL_FLAG(bool, remove, false, "target set: removes the class");

namespace shallotlug::cli {
namespace {

std::optional<std::string> ReadToken(const std::string& file) {
  if (file.empty()) {
    const char* token = std::getenv("SHALLOTLUG_TOKEN");
    return token ? token : "";
  }
  std::ifstream in(file);
  std::string token;
  if (!std::getline(in, token)) {
    return std::nullopt;
  }
  return token;
}

std::optional<Output> ParseOutput(const std::string& text) {
  if (text == "table") {
    return Output::kTable;
  }
  if (text == "json") {
    return Output::kJson;
  }
  if (text == "html") {
    return Output::kHtml;
  }
  return std::nullopt;
}

Options OptionsFromFlags() {
  Options options;
  options.operators = absl::GetFlag(FLAGS_operators);
  options.timeout = std::max(
      Millis(1), absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_timeout)));
  options.customer = absl::GetFlag(FLAGS_customer);
  options.kind = absl::GetFlag(FLAGS_kind);
  options.finish_within =
      absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_finish_within));
  options.objective = absl::GetFlag(FLAGS_objective);
  options.in_force = absl::GetFlag(FLAGS_in_force);
  if (const auto n = absl::GetFlag(FLAGS_accelerators)) {
    options.accelerators = *n;
    options.fleet_accelerators = *n;
  }
  options.guarantee = absl::GetFlag(FLAGS_guarantee);
  options.base_version = absl::GetFlag(FLAGS_base_version);
  options.change_id = absl::GetFlag(FLAGS_change_id);
  options.remove = absl::GetFlag(FLAGS_remove);
  return options;
}

FetchReply FetchOverNetwork(const FetchRequest& request) {
  net::HttpFetchOptions options;
  options.address = request.address;
  options.method = request.method;
  options.target = request.target;
  options.body = request.body;
  options.bearer_token = request.token;
  options.timeout = request.timeout;
  auto result = net::Fetch(options);
  FetchReply reply;
  if (!result) {
    reply.status = result.error() == net::FetchError::kNeverSent
                       ? FetchStatus::kNotSent
                       : FetchStatus::kUnknown;
    reply.error = request.address + ": " + result.error().message();
    return reply;
  }
  reply.status = FetchStatus::kOk;
  reply.http_status = result.value().status;
  reply.body = std::move(result.value().body);
  return reply;
}

std::vector<std::string> WordsBeforeFlags(int argc, char** argv) {
  std::vector<std::string> words;
  for (int n = 1; n < argc && argv[n][0] != '-'; ++n) {
    words.emplace_back(argv[n]);
  }
  return words;
}

bool WantsHelp(int argc, char** argv) {
  for (int n = 1; n < argc; ++n) {
    const std::string_view it = argv[n];
    if (it == "--help" || it == "-h" || it == "-help") {
      return true;
    }
  }
  return false;
}

int UsageError(const std::string& message) {
  std::cerr << "shallotlug: " << message << "\n";
  return kExitUsage;
}

std::ptrdiff_t CountWords(std::string_view words) {
  return std::count(words.begin(), words.end(), ' ') + 1;
}

}  // namespace

int Run(int argc,
        char** argv,
        const workload::ReadPolicyDocument& read_policy) {
  if (WantsHelp(argc, argv)) {
    std::cout << HelpText(WordsBeforeFlags(argc, argv));
    return kExitOk;
  }
  const std::vector<char*> rest = absl::ParseCommandLine(argc, argv);
  const std::vector<std::string> words(rest.begin() + 1, rest.end());
  const Command* command = FindCommand(words);
  if (!command) {
    if (!words.empty()) {
      std::cerr << "shallotlug: unknown command \"" << words.front()
                << "\"\n\n";
    }
    std::cerr << HelpText(words);
    return kExitUsage;
  }
  Context context{OptionsFromFlags(), {},        FetchOverNetwork,
                  std::cout,          std::cerr, read_policy};
  context.arguments.assign(words.begin() + CountWords(command->words),
                           words.end());
  const auto output = ParseOutput(absl::GetFlag(FLAGS_output));
  if (!output) {
    return UsageError("--output must be table, json or html");
  }
  context.options.output = *output;
  const auto token = ReadToken(absl::GetFlag(FLAGS_token_file));
  if (!token) {
    return UsageError("--token_file cannot be read");
  }
  context.options.token = *token;
  return command->run(context);
}

}  // namespace shallotlug::cli
